package bound

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/split"
)

const (
	// tick is the time step of a simulation.
	tick = Seconds(0.005)
	// minRetryDelay and maxRetryDelay limit the delay after which a refused caller
	// retries, as in the relays' Retry-After.
	minRetryDelay = Seconds(0.5)
	maxRetryDelay = Seconds(4)
	// maxPrefillWait is how long a prompt waits for a prefill engine before the decode
	// engine prefills it, as in relays. A prefill there takes localPrefillSlowdown times
	// as long.
	maxPrefillWait       = Seconds(0.25)
	localPrefillSlowdown = 2
	// transferTime is the time between the end of a prefill and the first token.
	transferTime = Seconds(0.02)
)

// job is an attempt of a request in a simulation.
type job struct {
	*Request
	index   int
	attempt int
	arrived Seconds
	// prefillEnd is when the prompt's KV cache is at the decode engine.
	prefillEnd Seconds
	generated  float64
	// firstToken is when the first token was generated.
	firstToken Seconds
	// stalled is set if a preemption interrupted the output.
	stalled bool
}

func (j *job) held() float64 { return float64(j.Prompt) + j.generated }

// engine is a simulated decode engine.
type engine struct {
	// running holds the jobs in memory, in prefill or decode; queue holds those that wait
	// in the engine.
	running []*job
	queue   []*job
	// prefillsUntil is the end of the engine's own prefills, which block decoding.
	prefillsUntil Seconds
}

func (e *engine) held() float64 {
	sum := 0.0
	for _, j := range e.running {
		sum += j.held()
	}
	return sum
}

// simulation is the state of a simulated workload.
type simulation struct {
	*Workload
	policy        Policy
	now           Seconds
	decodeEngines []*engine
	// prefillFree is when each prefill engine has finished its backlog.
	prefillFree []Seconds
	waiting     []*job
	rng         *rand.Rand
	outcomes    []Outcome
}

// Simulate runs the workload under a policy, with the given number of the engines as
// prefill engines, and returns the outcome of each request. The number of engines stays
// that at the start of the log; later changes are ignored.
func (w *Workload) Simulate(policy Policy, prefillEngines int, seed uint64) []Outcome {
	s := &simulation{Workload: w, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), outcomes: make([]Outcome, len(w.Requests))}
	count := w.engines(0)
	prefillEngines = max(1, min(count-1, prefillEngines))
	s.prefillFree = make([]Seconds, prefillEngines)
	for range count - prefillEngines {
		s.decodeEngines = append(s.decodeEngines, &engine{})
	}
	arrivals := make([]*job, len(w.Requests))
	for i := range w.Requests {
		arrivals[i] = &job{Request: &w.Requests[i], index: i, arrived: w.Requests[i].At}
	}
	end := w.Duration + seconds(w.Engine.CallerTimeout)
	for ; s.now < end; s.now += tick {
		for len(arrivals) > 0 && arrivals[0].arrived <= s.now {
			s.waiting = append(s.waiting, arrivals[0])
			arrivals = arrivals[1:]
		}
		arrivals = s.dispatch(arrivals)
		for _, e := range s.decodeEngines {
			s.advance(e)
		}
	}
	return s.outcomes
}

// balancedPrefillEngines returns the number of prefill engines that balances both stages
// for the workload's mean request.
func (w *Workload) balancedPrefillEngines() int {
	var prompt, output ident.TokenCount
	for _, r := range w.Requests {
		prompt += r.Prompt
		output += r.Output
	}
	n := ident.TokenCount(max(1, len(w.Requests)))
	return int(0.5 + split.PrefillEngines(w.engines(0), split.Load{
		Prompt: prompt / n, Output: output / n, Capacity: w.Engine.Capacity, Slots: w.Engine.Slots,
		PrefillPerToken: pool.PrefillPerToken, PrefillOverhead: pool.PrefillOverhead, StepTime: time.Duration(float64(w.fullStepTime()) * float64(time.Second)),
	}))
}

// dispatch assigns the waiting jobs to engines. Those that waited too long are refused
// and retry once; dispatch inserts their retries into the arrivals.
func (s *simulation) dispatch(arrivals []*job) []*job {
	var kept []*job
	for _, j := range s.waiting {
		if e := s.policy.selectEngine(s, j); e != nil {
			e.queue = append(e.queue, j)
			continue
		}
		if s.now-j.arrived < s.policy.maxWait(s, j) {
			kept = append(kept, j)
			continue
		}
		if j.attempt > 0 {
			continue
		}
		retry := *j
		retry.attempt++
		retry.arrived = s.now + minRetryDelay + Seconds(s.rng.Float64())*(maxRetryDelay-minRetryDelay)
		position, _ := slices.BinarySearchFunc(arrivals, retry.arrived, func(j *job, t Seconds) int { return cmp.Compare(j.arrived, t) })
		arrivals = slices.Insert(arrivals, position, &retry)
	}
	s.waiting = kept
	return arrivals
}

// start prefills the prompt at the prefill engine that is free first, or at the decode
// engine if none is free soon.
func (s *simulation) start(e *engine, j *job) {
	e.running = append(e.running, j)
	first := 0
	for i := range s.prefillFree {
		if s.prefillFree[i] < s.prefillFree[first] {
			first = i
		}
	}
	if s.prefillFree[first] > s.now+maxPrefillWait {
		e.prefillsUntil = max(e.prefillsUntil, s.now) + localPrefillSlowdown*prefillTime(j.Prompt)
		j.prefillEnd = e.prefillsUntil
		return
	}
	s.prefillFree[first] = max(s.prefillFree[first], s.now) + prefillTime(j.Prompt)
	j.prefillEnd = s.prefillFree[first] + transferTime
}

// advance starts queued jobs and generates the tokens of one tick.
func (s *simulation) advance(e *engine) {
	for len(e.queue) > 0 && len(e.running) < s.Engine.Slots && e.held()+e.queue[0].held() <= float64(s.Engine.Capacity) {
		s.start(e, e.queue[0])
		e.queue = e.queue[1:]
	}
	for e.held() > float64(s.Engine.Capacity) && len(e.running) > 1 {
		// Out of memory: the newest run is preempted and prefilled again.
		newest := e.running[len(e.running)-1]
		newest.stalled = newest.generated > 0
		e.running = e.running[:len(e.running)-1]
		e.queue = append([]*job{newest}, e.queue...)
	}
	if s.now < e.prefillsUntil {
		return
	}
	running, held := 0, 0.0
	for _, j := range e.running {
		if j.prefillEnd <= s.now {
			running++
			held += j.held()
		}
	}
	tokens := float64(tick / s.Engine.stepTime(running, held))
	kept := e.running[:0]
	for _, j := range e.running {
		if j.prefillEnd <= s.now {
			if j.generated == 0 {
				j.firstToken = s.now
			}
			j.generated += tokens
		}
		if j.generated < float64(j.Output) {
			kept = append(kept, j)
			continue
		}
		s.outcomes[j.index] = Outcome{
			Answered:   s.now-j.At <= seconds(s.Engine.CallerTimeout),
			InTime:     j.firstToken-j.At <= seconds(s.Engine.FirstTokenTarget) && !j.stalled,
			FirstToken: j.firstToken - j.arrived, ResponseTime: s.now - j.arrived,
		}
	}
	e.running = kept
}
