package relay

import (
	"context"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/place"
	"crocusstep/pool"
	"crocusstep/split"
)

const (
	// balanceInterval is the time between two looks at the balance.
	balanceInterval = time.Second
	// samplesLeast is the requests seen before the balance is judged.
	samplesLeast = 8
	// loadShare is the weight of the newest request in the mean, so that some 50
	// requests make it up.
	loadShare = 0.02
	// settleTime is how long the engines must have had the same stages.
	settleTime = 2 * time.Second
	// orderTime is how long engines are left to change their stage, which takes
	// them 6 s and what they have under way before.
	orderTime = 12 * time.Second
)

// meanLoad is the mean request of one service, the newest counting most.
type meanLoad struct {
	samples int
	prompt  float64
	output  float64
	// memory is as an engine's keeper said last, step the mean of all in seconds.
	memory ident.TokenCount
	step   float64
	slots  int
	// stages is how many engines read prompts, of how many, since changed.
	stages  [2]int
	changed time.Time
	// ordered is when engines were last asked to change their stage.
	ordered time.Time
}

// observe adds a request and what a keeper said of its engine.
func (r *Relay) observe(service ident.ServiceName, p *Prompt, slots int, answer place.Answer) {
	if answer.Memory <= 0 {
		return
	}
	output := float64(r.lengths(service).Expect(p.Output, p.Most).Run(0, 0).Left)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, ok := r.loads[service]
	if !ok {
		l = &meanLoad{}
		r.loads[service] = l
	}
	l.samples++
	share := max(loadShare, 1/float64(l.samples))
	l.prompt += share * (float64(p.Tokens) - l.prompt)
	l.output += share * (output - l.output)
	l.step += share * (answer.Step.Seconds() - l.step)
	l.memory, l.slots = answer.Memory, slots
}

// Balance has engines change their stage where too many read prompts or too
// many make answers, as long as this relay leads.
func (r *Relay) Balance(ctx context.Context, leads func() bool) {
	for ctx.Err() == nil {
		common.Pause(ctx, balanceInterval)
		if ctx.Err() != nil || !leads() {
			continue
		}
		for service, load := range r.settled(time.Now()) {
			r.balance(ctx, service, load)
		}
	}
}

// settled returns the loads of services whose engines have kept their stages.
func (r *Relay) settled(now time.Time) map[ident.ServiceName]split.Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	loads := map[ident.ServiceName]split.Load{}
	for service, l := range r.loads {
		prefills := len(r.config.Pool.Members(service, pool.Prefill))
		stages := [2]int{prefills, prefills + len(r.config.Pool.Members(service, pool.Decode))}
		if stages != l.stages {
			l.stages, l.changed = stages, now
		}
		if l.samples < samplesLeast || now.Sub(l.changed) < settleTime || now.Sub(l.ordered) < orderTime {
			continue
		}
		loads[service] = split.Load{
			Prompt: ident.TokenCount(l.prompt), Output: ident.TokenCount(l.output),
			Memory: l.memory, Slots: l.slots, Step: time.Duration(l.step * float64(time.Second)),
			Reading: pool.PrefillPerToken, Setup: pool.PrefillSetup,
		}
	}
	return loads
}

func (r *Relay) balance(ctx context.Context, service ident.ServiceName, load split.Load) {
	var engines []pool.Endpoint
	for _, stage := range []pool.Stage{pool.Prefill, pool.Decode} {
		for _, m := range r.config.Pool.Members(service, stage) {
			if !m.Lapsed {
				engines = append(engines, m.Endpoint)
			}
		}
	}
	want := split.Prefills(len(engines), load)
	changes := split.Changes(engines, want)
	if len(changes) > 0 {
		r.noteOrder(service)
	}
	for _, change := range changes {
		order := place.StageOrder{Endpoint: change.Endpoint.Name, Born: change.Endpoint.Born, Stage: change.To, Want: want}
		answer, err := r.config.Places.ChangeStage(ctx, change.Endpoint.Address, order)
		r.Log.Info("an engine should change its stage", "service", service, "endpoint", order.Endpoint, "stage", order.Stage,
			"want", want, "engines", len(engines), "prompt", load.Prompt, "output", load.Output, "memory", load.Memory,
			"step", load.Step, "taken", answer.Taken, "why", answer.Why, "error", err)
	}
}

func (r *Relay) noteOrder(service ident.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loads[service].ordered = time.Now()
}
