// Package split decides how many of a service's engines prefill and how many decode, so
// that neither stage is the bottleneck.
package split

import (
	"cmp"
	"math"
	"slices"
	"time"

	"crocusstep/ident"
	"crocusstep/pool"
)

const (
	// tolerance is the deviation from the target, in engines, up to which no engine
	// changes its stage. Half an engine is due to rounding; the rest keeps a varying
	// load from moving engines back and forth.
	tolerance = 0.6
	// burstTolerance is the tolerance during a burst: an engine that changes its stage
	// is missing until the burst is over, unless it is entirely surplus.
	burstTolerance = 1.0
	// tolerancePerEngine widens the tolerance for each prefill engine of the target
	// above minScaledTarget, as the mean of about 50 requests is off by a tenth.
	tolerancePerEngine = 0.12
	// minScaledTarget is the number of prefill engines up to which rounding dominates
	// the error of the mean.
	minScaledTarget = 3
	// changeDivisor limits concurrent changes to one in so many engines, as an engine
	// serves nothing for seconds during its change.
	changeDivisor = 8
	// meanMemoryUse is the mean share of an engine's memory in use under full load.
	meanMemoryUse = 0.9
)

// Load is the mean request and the engines' speed.
type Load struct {
	Prompt ident.TokenCount
	Output ident.TokenCount
	// Capacity is the KV memory of one engine in tokens.
	Capacity ident.TokenCount
	// Slots limits the concurrent requests of an engine; zero means no limit.
	Slots int
	// PrefillPerToken is the prefill time for each prompt token.
	PrefillPerToken time.Duration
	// PrefillOverhead is the fixed part of the prefill time.
	PrefillOverhead time.Duration
	// StepTime is the duration of a decode step, which generates one token for each
	// request.
	StepTime time.Duration
	// Burst is set if the engines have become full a short time ago.
	Burst bool
}

// PrefillEngines returns the number of engines that should prefill, not rounded. A
// prefill occupies one engine exclusively; decoding occupies a share of an engine's
// memory, or a slot, for as long as it lasts.
func PrefillEngines(engines int, l Load) float64 {
	prefill := (time.Duration(l.Prompt)*l.PrefillPerToken + l.PrefillOverhead).Seconds()
	tokens := float64(l.Prompt) + float64(l.Output)/2
	share := tokens / (meanMemoryUse * float64(max(1, l.Capacity)))
	if l.Slots > 0 {
		share = max(share, 1/float64(l.Slots))
	}
	decode := share * (time.Duration(l.Output) * l.StepTime).Seconds()
	if prefill+decode <= 0 {
		return 0
	}
	return float64(engines) * prefill / (prefill + decode)
}

// Change is a number of engines to move to another stage.
type Change struct {
	To    pool.Stage
	Count int
	// Candidates holds all engines of the other stage, those in its most crowded zones
	// first.
	Candidates []pool.Endpoint
}

// PlanChange returns the engines to move towards the target number of prefill engines,
// possibly none. At least one engine stays in each stage.
func PlanChange(engines []pool.Endpoint, target float64, burst bool) Change {
	byStage := map[pool.Stage][]pool.Endpoint{}
	for _, e := range engines {
		byStage[e.Stage] = append(byStage[e.Stage], e)
	}
	current := float64(len(byStage[pool.Prefill]))
	from, to := pool.Prefill, pool.Decode
	if target > current {
		from, to = pool.Decode, pool.Prefill
	}
	deviation := math.Abs(current - target)
	allowed := tolerance
	if burst {
		allowed = burstTolerance
	}
	if deviation <= allowed+tolerancePerEngine*max(0, target-minScaledTarget) {
		return Change{}
	}
	count := min(int(math.Round(deviation)), len(byStage[from])-1, max(1, len(engines)/changeDivisor))
	return Change{To: to, Count: max(0, count), Candidates: crowdedFirst(byStage[from])}
}

// crowdedFirst orders engines so that removing them from the front keeps the zones
// balanced.
func crowdedFirst(engines []pool.Endpoint) []pool.Endpoint {
	slices.SortFunc(engines, func(a, b pool.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	perZone := map[ident.ZoneName]int{}
	for _, e := range engines {
		perZone[e.Zone]++
	}
	var order []pool.Endpoint
	rest := slices.Clone(engines)
	for len(rest) > 0 {
		next := 0
		for i, e := range rest {
			if perZone[e.Zone] > perZone[rest[next].Zone] {
				next = i
			}
		}
		perZone[rest[next].Zone]--
		order = append(order, rest[next])
		rest = slices.Delete(rest, next, next+1)
	}
	return order
}
