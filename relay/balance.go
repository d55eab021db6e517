package relay

import (
	"context"
	"maps"
	"slices"
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
	// asksLeast is the requests that keepers were asked for before the balance is
	// judged: the mean of so many is off by a tenth.
	asksLeast = 20
	// asksCounted is the asks that a keeper's mean is made of at most.
	asksCounted = 50
	// loadLife is how long a keeper's word counts, which comes with its answers.
	loadLife = 10 * time.Second
	// settleTime is how long the engines must have had the same stages.
	settleTime = 2 * time.Second
	// burstMost is how long engines that are all full are taken for a burst: twice
	// what a change of stages takes, which would come too late for a shorter one.
	burstMost = 12 * time.Second
	// orderTime is how long engines are left to change their stage, which takes
	// them 6 s and what they have under way before.
	orderTime = 12 * time.Second
)

// engineLoad is what the keepers of one service's engines last said of the requests
// that they were asked for, by all relays.
type engineLoad struct {
	keepers map[ident.EndpointName]heard
	slots   int
	// stages is how many engines read prompts, of how many, since changed.
	stages  [2]int
	changed time.Time
	// ordered is when engines were last asked to change their stage.
	ordered time.Time
	// calm is when most engines last had room.
	calm time.Time
}

// heard is one keeper's answer.
type heard struct {
	at     time.Time
	load   place.Load
	memory ident.TokenCount
	step   time.Duration
	// full is set if one more run would have to wait.
	full bool
}

// observe takes over what a keeper said.
func (r *Relay) observe(m pool.Member, answer place.Answer) {
	if answer.Memory <= 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, ok := r.loads[m.Service]
	if !ok {
		l = &engineLoad{keepers: map[ident.EndpointName]heard{}}
		r.loads[m.Service] = l
	}
	l.slots = m.Slots
	l.keepers[m.Name] = heard{at: time.Now(), load: answer.Load, memory: answer.Memory, step: answer.Step, full: answer.Wait > 0}
}

// mean is the mean of what the keepers said lately, by their asks, and how many
// asks that were.
func (l *engineLoad) mean(now time.Time) (mean split.Load, asks int) {
	maps.DeleteFunc(l.keepers, func(_ ident.EndpointName, h heard) bool { return now.Sub(h.at) > loadLife })
	var prompt, answer, weights float64
	steps := make([]time.Duration, 0, len(l.keepers))
	for _, h := range l.keepers {
		weight := float64(min(h.load.Asks, asksCounted))
		weights += weight
		prompt += weight * h.load.Prompt
		answer += weight * h.load.Answer
		asks += h.load.Asks
		steps = append(steps, h.step)
		mean.Memory = h.memory
	}
	if weights == 0 {
		return split.Load{}, 0
	}
	slices.Sort(steps)
	mean.Prompt, mean.Output = ident.TokenCount(prompt/weights), ident.TokenCount(answer/weights)
	// Engines that read prompts themselves make tokens slowly, which is no reason
	// to have fewer read; one keeper may be far off.
	mean.Step, mean.Slots = steps[len(steps)/4], l.slots
	mean.Reading, mean.Setup = pool.PrefillPerToken, pool.PrefillSetup
	return mean, asks
}

// burst reports whether most engines are full, but were not a while ago.
func (l *engineLoad) burst(now time.Time) bool {
	full := 0
	for _, h := range l.keepers {
		if h.full {
			full++
		}
	}
	if 2*full < len(l.keepers) || l.calm.IsZero() {
		l.calm = now
	}
	return 2*full >= len(l.keepers) && now.Sub(l.calm) < burstMost
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
		order := place.StageOrder{Endpoint: e.Name, Born: e.Born, Stage: change.To, Want: want}
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
