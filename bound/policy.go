package bound

import (
	"crocusstep/ident"
	"crocusstep/memory"
)

// lateWait is how long a late request waits for a place, as in relays.
const lateWait = Seconds(1.2)

// Policy places requests at engines.
type Policy interface {
	// Name of the policy, for tables.
	Name() string
	// place returns the decode engine that a request goes to now, or nil.
	place(p *play, j *job) *engine
	// patience is how long a request that arrives now waits for a place; if it is
	// over, the request is refused.
	patience(p *play, j *job) Seconds
}

// RoundRobin deals requests to the decode engines in turn, whatever they hold.
type RoundRobin struct{ next int }

// Name returns the policy's name.
func (*RoundRobin) Name() string { return "round robin" }

// place returns the next engine.
func (r *RoundRobin) place(p *play, _ *job) *engine {
	r.next++
	return p.decodes[r.next%len(p.decodes)]
}

// patience is zero: who waits does so in an engine.
func (*RoundRobin) patience(*play, *job) Seconds { return 0 }

// Ahead places requests by the memory that runs will hold at the highest point
// ahead, as keepers do.
type Ahead struct {
	// Risk is the margin in standard deviations.
	Risk float64
	// Known is set if the lengths of answers are known beforehand.
	Known bool
}

// Name returns the policy's name.
func (a Ahead) Name() string {
	if a.Known {
		return "memory ahead, lengths known"
	}
	return "memory ahead"
}

// place returns the engine with the most memory left, if the request fits there.
func (a Ahead) place(p *play, j *job) *engine {
	policy := memory.Policy{Capacity: p.Engine.Memory, Slots: p.Engine.Slots, SafetyFactor: a.Risk}
	var best *engine
	most := ident.TokenCount(-1)
	for _, e := range p.decodes {
		runs := make([]memory.Run, len(e.runs))
		for i, r := range e.runs {
			runs[i] = a.expected(r)
		}
		if free := policy.Headroom(runs, a.expected(j)); free > most {
			best, most = e, free
		}
	}
	return best
}

func (a Ahead) expected(j *job) memory.Run {
	made := ident.TokenCount(j.made)
	if a.Known {
		return memory.Run{Held: j.Prompt + made, Remaining: j.Made - made}
	}
	return memory.LengthEstimate{Median: j.Expected, Spread: j.Spread}.Run(j.Prompt+made, made)
}

// patience is as long as the objective can be met, and that of a late request
// then.
func (Ahead) patience(p *play, j *job) Seconds {
	if left := j.At + seconds(p.Engine.Objective) - reading(j.Prompt) - moving - j.arrived; left > 0 {
		return left
	}
	return lateWait
}
