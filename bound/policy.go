package bound

import (
	"crocusstep/ident"
	"crocusstep/memory"
)

// lateMaxWait is how long a request that misses its target anyway waits for an engine,
// as in relays.
const lateMaxWait = Seconds(1.2)

// Policy assigns requests to decode engines.
type Policy interface {
	// Name returns the policy's name for reports.
	Name() string
	// selectEngine returns the decode engine for a request, or nil if it has to wait.
	selectEngine(s *simulation, j *job) *engine
	// maxWait returns how long a request waits for an engine before it is refused.
	maxWait(s *simulation, j *job) Seconds
}

// RoundRobin assigns requests to the decode engines in turn, whatever their load.
type RoundRobin struct{ next int }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round robin" }

func (r *RoundRobin) selectEngine(s *simulation, _ *job) *engine {
	r.next++
	return s.decodeEngines[r.next%len(s.decodeEngines)]
}

// maxWait is zero, as requests wait in the engines' queues.
func (*RoundRobin) maxWait(*simulation, *job) Seconds { return 0 }

// PeakMemory assigns requests by the engines' expected peak memory, as keepers do.
type PeakMemory struct {
	// SafetyFactor is the margin in standard deviations.
	SafetyFactor float64
	// KnownLengths replaces the estimates by the true lengths of outputs.
	KnownLengths bool
}

// Name implements Policy.
func (p PeakMemory) Name() string {
	if p.KnownLengths {
		return "peak memory, known lengths"
	}
	return "peak memory"
}

// selectEngine returns the engine with the most headroom, if the request fits there.
func (p PeakMemory) selectEngine(s *simulation, j *job) *engine {
	policy := memory.Policy{Capacity: s.Engine.Capacity, Slots: s.Engine.Slots, SafetyFactor: p.SafetyFactor}
	var best *engine
	maxHeadroom := ident.TokenCount(-1)
	for _, e := range s.decodeEngines {
		runs := make([]memory.Run, len(e.running))
		for i, r := range e.running {
			runs[i] = p.memoryUse(r)
		}
		if headroom := policy.Headroom(runs, p.memoryUse(j)); headroom > maxHeadroom {
			best, maxHeadroom = e, headroom
		}
	}
	return best
}

func (p PeakMemory) memoryUse(j *job) memory.Run {
	generated := ident.TokenCount(j.generated)
	if p.KnownLengths {
		return memory.Run{Held: j.Prompt + generated, Remaining: j.Output - generated}
	}
	return memory.LengthEstimate{Median: j.EstimatedOutput, Spread: j.Spread}.Run(j.Prompt+generated, generated)
}

// maxWait lasts until the target for the first token can no longer be met. A request
// that arrives after that waits lateMaxWait.
func (PeakMemory) maxWait(s *simulation, j *job) Seconds {
	if remaining := j.At + seconds(s.Engine.FirstTokenTarget) - prefillTime(j.Prompt) - transferTime - j.arrived; remaining > 0 {
		return remaining
	}
	return lateMaxWait
}
