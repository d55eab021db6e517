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
	// maxKeeperWeight limits a keeper's weight to about the number of requests that its
	// moving average covers.
	maxKeeperWeight = 50
	// keeperLoadTTL is how long a load is used that a keeper sent with a response.
	keeperLoadTTL = 10 * time.Second
	// minMeasuredKeepers is how many keepers must have measured the step time, or half of
	// them if there are few. Most loads of a large service are older than that.
	minMeasuredKeepers = 4
	// maxBurst is how long a service whose engines are full counts as in a burst: twice
	// what a change of stage takes, since the change would come too late for a shorter
	// burst.
	maxBurst = 12 * time.Second
)

// serviceLoad is what the keepers of one service's engines last reported about the
// requests of all relays.
type serviceLoad struct {
	keepers map[ident.EndpointName]keeperLoad
	slots   int
	// stageCounts holds the number of prefill engines and of all engines, stagesChanged
	// the time of its last change.
	stageCounts   [2]int
	stagesChanged time.Time
	// lastStageRequest is when a keeper was last asked to change its engine's stage.
	lastStageRequest time.Time
	// lastNotFull is when most engines last had free memory.
	lastNotFull time.Time
}

// keeperLoad is the load in one keeper's response.
type keeperLoad struct {
	at       time.Time
	load     keeper.MeanRequest
	capacity ident.TokenCount
	// stepTime is zero until the keeper has measured it.
	stepTime time.Duration
	// full is set if another request would have to wait.
	full bool
}

// recordKeeperLoad stores the load in a keeper's response.
func (r *Relay) recordKeeperLoad(m pool.Member, response keeper.ReserveResponse) {
	if response.Capacity <= 0 {
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
	l.keepers[m.Name] = keeperLoad{at: time.Now(), load: response.MeanRequest, capacity: response.Capacity, stepTime: response.StepTime, full: response.ExpectedWait > 0}
}

// mean returns the mean of the current keeper loads, weighted by their requests, and
// the number of these requests. The number is zero until several keepers have measured the
// speed of their engines, as a single one may be far off.
func (l *serviceLoad) mean(now time.Time) (mean split.Load, requests int) {
	maps.DeleteFunc(l.keepers, func(_ ident.EndpointName, h keeperLoad) bool { return now.Sub(h.at) > keeperLoadTTL })
	var prompt, output, weights float64
	stepTimes := make([]time.Duration, 0, len(l.keepers))
	for _, h := range l.keepers {
		weight := float64(min(h.load.Count, maxKeeperWeight))
		weights += weight
		prompt += weight * h.load.Prompt
		output += weight * h.load.Output
		requests += h.load.Count
		if h.stepTime > 0 {
			stepTimes = append(stepTimes, h.stepTime)
		}
		mean.Capacity = h.capacity
	}
	if weights == 0 || len(stepTimes) < min(minMeasuredKeepers, (len(l.keepers)+1)/2) {
		return split.Load{}, 0
	}
	slices.Sort(stepTimes)
	mean.Prompt, mean.Output = ident.TokenCount(prompt/weights), ident.TokenCount(output/weights)
	// The lower quartile: decode engines that also prefill have long steps, which is no
	// reason for fewer prefill engines, and a single keeper may be far off.
	mean.StepTime, mean.Slots = stepTimes[len(stepTimes)/4], l.slots
	mean.PrefillPerToken, mean.PrefillOverhead = pool.PrefillPerToken, pool.PrefillOverhead
	return mean, requests
}

// inBurst reports whether most engines are full, and have been for less than maxBurst.
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
