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
	maxKeeperWeight = 50
	// loadLife is how long a keeper's word counts, which comes with its answers.
	keeperLoadTTL = 10 * time.Second
	// burstMost is how long engines that are all full are taken for a burst: twice
	// what a change of stages takes, which would come too late for a shorter one.
	maxBurst = 12 * time.Second
)

// engineLoad is what the keepers of one service's engines last said of the requests
// that they were asked for, by all relays.
type serviceLoad struct {
	keepers map[ident.EndpointName]keeperLoad
	slots   int
	// stages is how many engines read prompts, of how many, since changed.
	stageCounts   [2]int
	stagesChanged time.Time
	// ordered is when engines were last asked to change their stage.
	lastOrder time.Time
	// calm is when most engines last had room.
	lastNotFull time.Time
}

// heard is one keeper's answer.
type keeperLoad struct {
	at       time.Time
	load     keeper.Load
	memory   ident.TokenCount
	stepTime time.Duration
	// full is set if one more run would have to wait.
	full bool
}

// observe takes over what a keeper said.
func (r *Relay) recordKeeperLoad(m pool.Member, answer keeper.Answer) {
	if answer.Memory <= 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, ok := r.loads[m.Service]
	if !ok {
		l = &serviceLoad{keepers: map[ident.EndpointName]keeperLoad{}}
		r.loads[m.Service] = l
	}
	l.slots = m.Slots
	l.keepers[m.Name] = keeperLoad{at: time.Now(), load: answer.Load, memory: answer.Memory, stepTime: answer.Step, full: answer.Wait > 0}
}

// mean is the mean of what the keepers said lately, by their asks, and how many
// asks that were.
func (l *serviceLoad) mean(now time.Time) (mean split.Load, requests int) {
	maps.DeleteFunc(l.keepers, func(_ ident.EndpointName, h keeperLoad) bool { return now.Sub(h.at) > keeperLoadTTL })
	var prompt, output, weights float64
	stepTimes := make([]time.Duration, 0, len(l.keepers))
	for _, h := range l.keepers {
		weight := float64(min(h.load.Asks, maxKeeperWeight))
		weights += weight
		prompt += weight * h.load.Prompt
		output += weight * h.load.Answer
		requests += h.load.Asks
		stepTimes = append(stepTimes, h.stepTime)
		mean.Memory = h.memory
	}
	if weights == 0 {
		return split.Load{}, 0
	}
	slices.Sort(stepTimes)
	mean.Prompt, mean.Output = ident.TokenCount(prompt/weights), ident.TokenCount(output/weights)
	// Engines that read prompts themselves make tokens slowly, which is no reason
	// to have fewer read; one keeper may be far off.
	mean.StepTime, mean.Slots = stepTimes[len(stepTimes)/4], l.slots
	mean.PrefillPerToken, mean.PrefillSetup = pool.PrefillPerToken, pool.PrefillSetup
	return mean, requests
}

// burst reports whether most engines are full, but were not a while ago.
func (l *serviceLoad) inBurst(now time.Time) bool {
	full := 0
	for _, h := range l.keepers {
		if h.full {
			full++
		}
	}
	if 2*full < len(l.keepers) || l.lastNotFull.IsZero() {
		l.lastNotFull = now
	}
	return 2*full >= len(l.keepers) && now.Sub(l.lastNotFull) < maxBurst
}
