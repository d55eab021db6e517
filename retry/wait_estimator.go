package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// samplesOfRoute and samplesOfAll are the requests remembered: those of a route
	// for its usual patience, those of all routes for how far callers differ.
	samplesOfRoute = 64
	samplesOfAll   = 256
	// samplesLeast is the samples needed before anything is said.
	samplesLeast = 8
	// leastFirst is the quantile taken for the shortest patience of a first
	// attempt: while fewer requests than that are repeats it lies among the first.
	leastFirst = 0.1
)

// WaitEstimator tells callers who have come back from new ones by how long they still
// wait: the sum over a caller's attempts is one deadline, but deadlines differ
// from caller to caller. It is safe for concurrent use.
type WaitEstimator struct {
	mutex  sync.Mutex
	routes map[string]*samples
	// relative is each request's patience by the median of its route.
	relative *samples
}

// NewWaitEstimator returns an estimate that takes all callers for new ones.
func NewWaitEstimator() *WaitEstimator {
	return &WaitEstimator{routes: map[string]*samples{}, relative: &samples{most: samplesOfAll}}
}

// PriorWait learns from a request and returns how long its caller has certainly
// waited in attempts before: zero for those who may be new.
func (p *WaitEstimator) PriorWait(route string, patience time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	of, ok := p.routes[route]
	if !ok {
		of = &samples{most: samplesOfRoute}
		p.routes[route] = of
	}
	of.add(float64(patience))
	if len(of.values) < samplesLeast {
		return 0
	}
	usual := of.quantile(0.5)
	p.relative.add(float64(patience) / usual)
	if len(p.relative.values) < samplesLeast {
		return 0
	}
	return max(0, time.Duration(p.relative.quantile(leastFirst)*usual)-patience)
}

// samples is the newest of a series of figures.
type samples struct {
	most   int
	values []float64
	// next is the place of the oldest value once the series is full.
	next int
}

func (s *samples) add(value float64) {
	if len(s.values) < s.most {
		s.values = append(s.values, value)
		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % s.most
}

func (s *samples) quantile(share float64) float64 {
	sorted := slices.Sorted(slices.Values(s.values))
	return sorted[int(share*float64(len(sorted)))]
}
