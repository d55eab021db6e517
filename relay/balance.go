package relay

import (
	"context"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/split"
)

const (
	// balanceInterval is the time between two looks at the balance.
	balanceInterval = time.Second
	// asksLeast is the requests that keepers were asked for before the balance is
	// judged: the mean of so many is off by a tenth.
	asksLeast = 20
	// settleTime is how long the engines must have had the same stages.
	settleTime = 2 * time.Second
	// orderTime is how long engines are left to change their stage, which takes
	// them 6 s and what they have under way before.
	orderTime = 12 * time.Second
)

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
		mean, asks := l.mean(now)
		if asks < asksLeast || now.Sub(l.changed) < settleTime || now.Sub(l.ordered) < orderTime {
			continue
		}
		mean.Burst = l.burst(now)
		mean.Reading = time.Duration(readingPace(r.config.Pool.Members(service, pool.Prefill)) * float64(mean.Reading))
		loads[service] = mean
	}
	return loads
}

// readingPace is how long the engines that read prompts take by the usual time.
func readingPace(prefills []pool.Member) float64 {
	sum, known := 0.0, 0
	for _, m := range prefills {
		if m.Load.Pace > 0 {
			sum += m.Load.Pace
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return sum / float64(known)
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
	change := split.Changes(engines, want, load.Burst)
	for _, e := range change.Candidates {
		if change.Count == 0 {
			return
		}
		order := keeper.StageRequest{Endpoint: e.Name, Born: e.Born, Stage: change.To, Want: want}
		answer, err := r.config.Places.ChangeStage(ctx, e.Address, order)
		r.Log.Info("an engine should change its stage", "service", service, "endpoint", order.Endpoint, "stage", order.Stage,
			"want", want, "engines", len(engines), "prompt", load.Prompt, "output", load.Output, "memory", load.Memory,
			"step", load.Step, "burst", load.Burst, "taken", answer.Taken, "why", answer.Why, "error", err)
		if err == nil && !answer.Sent {
			// The engine is down, or has changed lately.
			continue
		}
		r.noteOrder(service)
		change.Count--
	}
}

func (r *Relay) noteOrder(service ident.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loads[service].ordered = time.Now()
}
