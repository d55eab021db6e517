package relay

import (
	"maps"
	"slices"
	"time"

	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/split"
)

const (
	// asksCounted is the asks that a keeper's mean is made of at most.
	asksCounted = 50
	// loadLife is how long a keeper's word counts, which comes with its answers.
	loadLife = 10 * time.Second
	// burstMost is how long engines that are all full are taken for a burst: twice
	// what a change of stages takes, which would come too late for a shorter one.
	burstMost = 12 * time.Second
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
	load   keeper.Load
	memory ident.TokenCount
	step   time.Duration
	// full is set if one more run would have to wait.
	full bool
}

// observe takes over what a keeper said.
func (r *Relay) observe(m pool.Member, answer keeper.ReserveResponse) {
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
	mean.Reading, mean.Setup = pool.PrefillPerToken, pool.PrefillOverhead
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
