// Package memory decides whether one more request fits into an engine's KV memory. A
// request holds its prompt and all tokens generated so far, so that memory use grows
// until requests end; the decision is based on the expected peak.
package memory

import (
	"math"
	"slices"

	"crocusstep/ident"
)

// blockTokens is the allocation unit of an engine's KV memory.
const blockTokens = 16

// Run is the memory use of one request in an engine, in tokens.
type Run struct {
	Held ident.TokenCount
	// Remaining is the expected number of tokens still to be generated.
	Remaining ident.TokenCount
	// StdDev is the standard deviation of Remaining.
	StdDev ident.TokenCount
}

// Policy holds an engine's limits and the safety margin.
type Policy struct {
	// Capacity is the engine's KV memory in tokens.
	Capacity ident.TokenCount
	// Slots limits the concurrent requests; zero means no limit.
	Slots int
	// SafetyFactor is the margin in standard deviations of the expected peak.
	SafetyFactor float64
}

// Fits reports whether another request fits in addition to the running ones.
func (p Policy) Fits(runs []Run, next Run) bool { return p.Headroom(runs, next) >= 0 }

// Headroom returns the memory left at the expected peak if another request started now,
// in tokens. It is negative if the request does not fit.
func (p Policy) Headroom(runs []Run, next Run) ident.TokenCount {
	all := append(slices.Clone(runs), next)
	headroom := p.Capacity - peak(all) - p.margin(all)
	if p.Slots > 0 && len(all) > p.Slots {
		return min(headroom, -1)
	}
	return headroom
}

// StepsUntilFit returns after how many decode steps another request would fit, if the
// running ones generate their expected tokens.
func (p Policy) StepsUntilFit(runs []Run, next Run) ident.TokenCount {
	rest := slices.Clone(runs)
	slices.SortFunc(rest, func(a, b Run) int { return int(a.Remaining - b.Remaining) })
	var steps ident.TokenCount
	for len(rest) > 0 && !p.Fits(rest, next) {
		step := rest[0].Remaining
		steps += step
		rest = rest[1:]
		for i := range rest {
			rest[i].Held += step
			rest[i].Remaining -= step
		}
	}
	return steps
}

// margin is the memory kept free for outputs longer than expected.
func (p Policy) margin(runs []Run) ident.TokenCount {
	sum := 0.0
	for _, r := range runs {
		sum += float64(r.StdDev) * float64(r.StdDev)
	}
	return ident.TokenCount(p.SafetyFactor * math.Sqrt(sum))
}

// peak returns the highest expected memory use of the requests, which all grow by one
// token a step. The maxima are at the ends of requests.
func peak(runs []Run) ident.TokenCount {
	slices.SortFunc(runs, func(a, b Run) int { return int(b.Remaining - a.Remaining) })
	var held, highest ident.TokenCount
	for i, r := range runs {
		// When this request ends, it and all with more tokens remaining hold memory.
		held += r.Held + blockTokens
		highest = max(highest, held+r.Remaining*ident.TokenCount(i+1))
	}
	return highest
}
