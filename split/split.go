// Package split decides how many of a service's engines read prompts and how
// many make answers, so that neither waits for the other.
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
	// slack is how far the engines may be off the balance before one changes its
	// stage, in engines. Half an engine is what rounding leaves; the rest keeps a
	// load that varies from moving engines to and fro.
	tolerance = 0.6
	// slackInBurst is the same while a burst may be on: an engine that changes its
	// stage is missing for as long as that lasts, unless it is not needed at all.
	burstTolerance = 1.0
	// slackShare is how much more for each engine that should read prompts, as the
	// mean of some 50 requests is off by a tenth.
	tolerancePerEngine = 0.12
	// exactUpTo is the number of engines up to which only rounding counts.
	minScaledTarget = 3
	// atOnce is the part of the engines that changes its stage at one time: one in
	// this many, as an engine does nothing for seconds meanwhile.
	changeDivisor = 8
	// usable is the share of an engine's memory that runs fill on average.
	meanMemoryUse = 0.9
)

// Load is the mean request and what the engines take for it.
type Load struct {
	Prompt ident.TokenCount
	Output ident.TokenCount
	// Memory is one engine's in tokens.
	Memory ident.TokenCount
	// Slots is how many runs an engine works on at once; zero is no bound.
	Slots int
	// PrefillPerToken is the time to read one prompt token.
	PrefillPerToken time.Duration
	// PrefillSetup is what a reading takes beside its tokens.
	PrefillSetup time.Duration
	// StepTime is the time to make one token of every run.
	StepTime time.Duration
	// Burst is set if the engines have become full a short time ago.
	Burst bool
}

// PrefillEngines returns how many of the engines should read prompts, as a fraction
// still to be rounded. A reading takes an engine alone for its time; an answer
// takes a share of an engine's memory, or a slot, for as long as it is made.
func PrefillEngines(engines int, l Load) float64 {
	prefill := (time.Duration(l.Prompt)*l.PrefillPerToken + l.PrefillSetup).Seconds()
	tokens := float64(l.Prompt) + float64(l.Output)/2
	share := tokens / (meanMemoryUse * float64(max(1, l.Memory)))
	if l.Slots > 0 {
		share = max(share, 1/float64(l.Slots))
	}
	decode := share * (time.Duration(l.Output) * l.StepTime).Seconds()
	if prefill+decode <= 0 {
		return 0
	}
	return float64(engines) * prefill / (prefill + decode)
}

// Change is how many engines should work on another stage.
type Change struct {
	To    pool.Stage
	Count int
	// Candidates is all engines that can, those first in the zones that have the most
	// of the stage that has too many.
	Candidates []pool.Endpoint
}

// PlanChange returns the change of stages that the engines need; its count may be
// zero. At least one engine stays in each stage.
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

// crowdedFirst orders engines so that taking them from the front leaves the zones
// evenly served.
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
