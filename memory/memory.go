// Package memory decides whether one more run fits into an engine's memory. A run
// holds its prompt and every token made so far, so that memory grows until runs
// end; what counts is the highest point that lies ahead.
package memory

import (
	"math"
	"slices"

	"crocusstep/ident"
)

// block is the unit in which engines give out memory, in tokens.
const blockTokens = 16

// Run is one request in an engine.
type Run struct {
	// Held is the tokens that it holds.
	Held ident.TokenCount
	// Remaining is the tokens that it is expected still to make.
	Remaining ident.TokenCount
	// StdDev is the standard deviation of Left.
	StdDev ident.TokenCount
}

// Policy is how much risk of running out is taken.
type Policy struct {
	// Capacity is the engine's memory in tokens.
	Capacity ident.TokenCount
	// Slots is how many requests run at once; zero is no bound.
	Slots int
	// SafetyFactor is the margin in standard deviations of the expected peak.
	SafetyFactor float64
}

// Fits reports whether another run may start beside those that are there.
func (p Policy) Fits(runs []Run, next Run) bool { return p.Headroom(runs, next) >= 0 }

// Headroom returns the memory left at the highest point ahead if another run
// started now; it is negative if the run does not fit.
func (p Policy) Headroom(runs []Run, next Run) ident.TokenCount {
	all := append(slices.Clone(runs), next)
	free := p.Capacity - peak(all) - p.margin(all)
	if p.Slots > 0 && len(all) > p.Slots {
		return min(free, -1)
	}
	return free
}

// StepsUntilFit returns after how many tokens of each run another one would fit.
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

// margin is the part of the memory kept for answers longer than expected.
func (p Policy) margin(runs []Run) ident.TokenCount {
	sum := 0.0
	for _, r := range runs {
		sum += float64(r.StdDev) * float64(r.StdDev)
	}
	return ident.TokenCount(p.SafetyFactor * math.Sqrt(sum))
}

// peak returns the most memory that the runs hold together at any time ahead,
// all growing at one pace. The highest points are the ends of runs.
func peak(runs []Run) ident.TokenCount {
	slices.SortFunc(runs, func(a, b Run) int { return int(b.Remaining - a.Remaining) })
	var held, highest ident.TokenCount
	for i, r := range runs {
		// At the end of this run it and all with more left are there.
		held += r.Held + blockTokens
		highest = max(highest, held+r.Remaining*ident.TokenCount(i+1))
	}
	return highest
}
