package retry

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 20
	// usableShare is the part of the limits that is used: the limits apply to windows
	// that start at any moment, and the number of processes is an estimate.
	usableShare = 0.8
)

// Limits limits the retries of a service within a sliding window, over all processes.
type Limits struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of retries beyond the ratio, shared by all processes.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Limiter counts this process's requests and retries of one service. It is safe for
// concurrent use.
type Limiter struct {
	limits Limits

	mutex    sync.Mutex
	requests [buckets]int
	retries  [buckets]int
	// origin is the time of the first call, from which buckets are counted by the steady
	// clock: the wall clock may jump.
	origin time.Time
	// newest is the number of the newest bucket.
	newest int64
}

// NewLimiter returns a limiter with an empty window.
func NewLimiter(l Limits) *Limiter { return &Limiter{limits: l} }

// SetLimits changes the limits except the length of the window.
func (l *Limiter) SetLimits(limits Limits) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limits.Window = l.limits.Window
	l.limits = limits
}

// RecordRequest counts a caller's request.
func (l *Limiter) RecordRequest(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests[l.advance(now)]++
}

// TryAcquire counts one retry if the limits allow it, with the slack divided by the
// number of processes. It reports whether they do.
func (l *Limiter) TryAcquire(now time.Time, processes int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	i := l.advance(now)
	requests, retries := 0, 0
	for j := range buckets {
		requests += l.requests[j]
		retries += l.retries[j]
	}
	slack := l.limits.Slack / float64(max(1, processes))
	if float64(retries+1) > usableShare*(l.limits.Ratio*float64(requests)+slack) {
		return false
	}
	l.retries[i]++
	return true
}

// Return takes back retries that were counted at a time and not made.
func (l *Limiter) Return(at, now time.Time, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	bucket := int64(at.Sub(l.origin) / (l.limits.Window / buckets))
	if bucket < 0 || bucket > l.newest || l.newest-bucket >= buckets {
		return
	}
	i := bucket % buckets
	l.retries[i] -= min(count, l.retries[i])
}

// advance clears the buckets that have left the window and returns the index of the
// current one.
func (l *Limiter) advance(now time.Time) int {
	if l.origin.IsZero() {
		l.origin = now
	}
	current := int64(now.Sub(l.origin) / (l.limits.Window / buckets))
	for next := max(l.newest+1, current-buckets+1); next <= current; next++ {
		l.requests[next%buckets] = 0
		l.retries[next%buckets] = 0
	}
	l.newest = max(l.newest, current)
	return int(l.newest % buckets)
}
