package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxRouteSamples and maxRelativeSamples are the numbers of requests sampled: those
	// of one route for its median timeout, those of all routes for the spread of callers.
	maxRouteSamples    = 64
	maxRelativeSamples = 256
	// minSamples is the number of samples before an estimate is made.
	minSamples = 8
	// minFirstQuantile is the quantile that is taken as the shortest timeout of a first
	// attempt. It lies among the first attempts as long as a smaller share of requests
	// are retries.
	minFirstQuantile = 0.1
)

// WaitEstimator distinguishes returning callers from new ones by the timeouts that they
// send: a caller's attempts share one deadline, but deadlines differ between callers.
// It is safe for concurrent use.
type WaitEstimator struct {
	mutex  sync.Mutex
	routes map[string]*samples
	// relative is the ratio of each request's timeout to the median of its route.
	relative *samples
}

// NewWaitEstimator returns an estimator that treats all callers as new until it has
// enough samples.
func NewWaitEstimator() *WaitEstimator {
	return &WaitEstimator{routes: map[string]*samples{}, relative: &samples{limit: maxRelativeSamples}}
}

// PriorWait adds a request's timeout to the samples. It returns a lower bound of the time
// that its caller has waited in earlier attempts, zero for callers that may be new.
func (e *WaitEstimator) PriorWait(route string, timeout time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	routeSamples, ok := e.routes[route]
	if !ok {
		routeSamples = &samples{limit: maxRouteSamples}
		e.routes[route] = routeSamples
	}
	routeSamples.add(float64(timeout))
	if len(routeSamples.values) < minSamples {
		return 0
	}
	median := routeSamples.quantile(0.5)
	e.relative.add(float64(timeout) / median)
	if len(e.relative.values) < minSamples {
		return 0
	}
	return max(0, time.Duration(e.relative.quantile(minFirstQuantile)*median)-timeout)
}

// samples is a ring buffer of the newest values.
type samples struct {
	limit  int
	values []float64
	// next is the index of the oldest value once the buffer is full.
	next int
}

func (s *samples) add(value float64) {
	if len(s.values) < s.limit {
		s.values = append(s.values, value)
		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % s.limit
}

func (s *samples) quantile(share float64) float64 {
	sorted := slices.Sorted(slices.Values(s.values))
	return sorted[int(share*float64(len(sorted)))]
}
