package retry

import (
	"sync"
	"time"
)

const (
	// buckets is how finely a window slides.
	buckets = 20
	// safety is the part of the allowance that is used: windows of the judge
	// begin at any moment, and other processes' shares are estimates.
	safety = 0.8
)

// Limits bounds repeats over a sliding window, for one service and for all
// processes that share it.
type Limits struct {
	// Ratio is the repeats per request.
	Ratio float64
	// Slack is the repeats beyond the ratio, over all processes.
	Slack float64
	// Window is the window's length.
	Window time.Duration
}

// Limiter counts the requests and the repeats of this process to one service.
// It is safe for concurrent use.
type Limiter struct {
	allowance Limits

	mutex    sync.Mutex
	requests [buckets]int
	repeats  [buckets]int
	// at is the bucket number of the newest count, from the Unix epoch.
	at int64
}

// NewLimiter returns an empty window.
func NewLimiter(a Limits) *Limiter { return &Limiter{allowance: a} }

// SetLimits changes the allowance; the length of the window stays.
func (w *Limiter) SetLimits(a Limits) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	a.Window = w.allowance.Window
	w.allowance = a
}

// RecordRequest counts a caller's request.
func (w *Limiter) RecordRequest(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests[w.slide(now)]++
}

// TryAcquire asks for one repeat where the slack is shared with other processes.
func (w *Limiter) TryAcquire(now time.Time, processes int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	i := w.slide(now)
	requests, repeats := 0, 0
	for j := range buckets {
		requests += w.requests[j]
		repeats += w.repeats[j]
	}
	share := w.allowance.Slack / float64(max(1, processes))
	if float64(repeats+1) > safety*(w.allowance.Ratio*float64(requests)+share) {
		return false
	}
	w.repeats[i]++
	return true
}

// slide clears the buckets that time has passed over and returns the current one.
func (w *Limiter) slide(now time.Time) int {
	at := now.UnixNano() / int64(w.allowance.Window/buckets)
	for next := max(w.at+1, at-buckets+1); next <= at; next++ {
		w.requests[next%buckets] = 0
		w.repeats[next%buckets] = 0
	}
	w.at = max(w.at, at)
	return int(w.at % buckets)
}
