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
	// tick is the time between two moments of a play.
	tick = Seconds(0.005)
	// returnLeast and returnMost bound the time after which a refused caller comes
	// back, as relays ask for.
	returnLeast = Seconds(0.5)
	returnMost  = Seconds(4)
	// turnWait is how long a prompt waits for a prefill engine before the decode
	// engine reads it, as in relays, and selfReading how much longer that takes.
	turnWait    = Seconds(0.25)
	selfReading = 2
	// moving is the time between a reading and the first token.
	moving = Seconds(0.02)
)

// job is a request on its way.
type job struct {
	*Request
	number  int
	attempt int
	arrived Seconds
	// read is when its prompt will have been read.
	read Seconds
	made float64
	// first is when its first token came.
	first Seconds
	// stalled is set if its answer stood still for longer than it may.
	stalled bool
}

func (j *job) held() float64 { return float64(j.Prompt) + j.made }

// engine is one engine in a play.
type engine struct {
	// runs are those with a place, reading or making their answer; queue waits in
	// the engine itself.
	runs  []*job
	queue []*job
	// reads is until when it reads a prompt itself; its runs stand still meanwhile.
	reads Seconds
}

func (e *engine) held() float64 {
	sum := 0.0
	for _, j := range e.runs {
		sum += j.held()
	}
	return sum
}

// play is one run through a day.
type play struct {
	*Workload
	policy  Policy
	now     Seconds
	decodes []*engine
	// free is when each prefill engine has read all that it was given.
	free    []Seconds
	waiting []*job
	random  *rand.Rand
	outcome []Seen
}

// Play runs the day under a policy and returns what becomes of each request, with
// some of the engines reading prompts. Engines that are lost or added in the day
// are left out: there are as many as at the start.
func (d *Workload) Play(policy Policy, prefills int, seed uint64) []Seen {
	p := &play{Workload: d, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), outcome: make([]Seen, len(d.Requests))}
	count := d.engines(0)
	prefills = max(1, min(count-1, prefills))
	p.free = make([]Seconds, prefills)
	for range count - prefills {
		p.decodes = append(p.decodes, &engine{})
	}
	coming := make([]*job, len(d.Requests))
	for i := range d.Requests {
		coming[i] = &job{Request: &d.Requests[i], number: i, arrived: d.Requests[i].At}
	}
	end := d.Length + seconds(d.Engine.Patience)
	for ; p.now < end; p.now += tick {
		for len(coming) > 0 && coming[0].arrived <= p.now {
			p.waiting = append(p.waiting, coming[0])
			coming = coming[1:]
		}
		coming = p.admit(coming)
		for _, e := range p.decodes {
			p.advance(e)
		}
	}
	return p.outcome
}

// prefills is the balance of stages for the day's mean request.
func (d *Workload) prefills() int {
	var prompt, made ident.TokenCount
	for _, r := range d.Requests {
		prompt += r.Prompt
		made += r.Made
	}
	n := ident.TokenCount(max(1, len(d.Requests)))
	return int(0.5 + split.PrefillEngines(d.engines(0), split.Load{
		Prompt: prompt / n, Output: made / n, Memory: d.Engine.Memory, Slots: d.Engine.Slots,
		PrefillPerToken: pool.PrefillPerToken, PrefillSetup: pool.PrefillOverhead, StepTime: time.Duration(float64(d.full()) * float64(time.Second)),
	}))
}

// admit places whom the policy places and refuses whom it refuses; those come
// back once.
func (p *play) admit(coming []*job) []*job {
	var kept []*job
	for _, j := range p.waiting {
		if e := p.policy.place(p, j); e != nil {
			e.queue = append(e.queue, j)
			continue
		}
		if p.now-j.arrived < p.policy.patience(p, j) {
			kept = append(kept, j)
			continue
		}
		if j.attempt > 0 {
			continue
		}
		again := *j
		again.attempt++
		again.arrived = p.now + returnLeast + Seconds(p.random.Float64())*(returnMost-returnLeast)
		at, _ := slices.BinarySearchFunc(coming, again.arrived, func(j *job, t Seconds) int { return cmp.Compare(j.arrived, t) })
		coming = slices.Insert(coming, at, &again)
	}
	p.waiting = kept
	return coming
}

// begin has the prompt read at the prefill engine that is free first, or at the
// decode engine if none is soon.
func (p *play) begin(e *engine, j *job) {
	e.runs = append(e.runs, j)
	first := 0
	for i := range p.free {
		if p.free[i] < p.free[first] {
			first = i
		}
	}
	if p.free[first] > p.now+turnWait {
		e.reads = max(e.reads, p.now) + selfReading*reading(j.Prompt)
		j.read = e.reads
		return
	}
	p.free[first] = max(p.free[first], p.now) + reading(j.Prompt)
	j.read = p.free[first] + moving
}

// advance makes tokens of every run for one tick.
func (p *play) advance(e *engine) {
	for len(e.queue) > 0 && len(e.runs) < p.Engine.Slots && e.held()+e.queue[0].held() <= float64(p.Engine.Memory) {
		p.begin(e, e.queue[0])
		e.queue = e.queue[1:]
	}
	for e.held() > float64(p.Engine.Memory) && len(e.runs) > 1 {
		// The newest run gives up its memory, and is read again.
		newest := e.runs[len(e.runs)-1]
		newest.stalled = newest.made > 0
		e.runs = e.runs[:len(e.runs)-1]
		e.queue = append([]*job{newest}, e.queue...)
	}
	if p.now < e.reads {
		return
	}
	running, held := 0, 0.0
	for _, j := range e.runs {
		if j.read <= p.now {
			running++
			held += j.held()
		}
	}
	tokens := float64(tick / p.Engine.step(running, held))
	kept := e.runs[:0]
	for _, j := range e.runs {
		if j.read <= p.now {
			if j.made == 0 {
				j.first = p.now
			}
			j.made += tokens
		}
		if j.made < float64(j.Made) {
			kept = append(kept, j)
			continue
		}
		p.outcome[j.number] = Seen{
			Answered: p.now-j.At <= seconds(p.Engine.Patience),
			InTime:   j.first-j.At <= seconds(p.Engine.Objective) && !j.stalled,
			First:    j.first - j.arrived, Whole: p.now - j.arrived,
		}
	}
	e.runs = kept
}
