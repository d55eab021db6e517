package agent

import (
	"sync"
	"time"

	"crocusstep/ident"
)

const (
	// minOpenDuration is how long the breaker stays open after the first stalled
	// transfer; it doubles with each further stall up to maxOpenDuration.
	minOpenDuration = 4 * time.Second
	maxOpenDuration = 32 * time.Second
)

// breaker is a circuit breaker that rejects reservations at an endpoint whose KV
// transfers stall, since each would cost a prefill. After the open duration it
// admits one attempt as a probe.
type breaker struct {
	mutex sync.Mutex
	// failures counts the stalls since the last successful transfer.
	failures  int
	openUntil time.Time
	// probe is the attempt admitted as a probe; after probeDeadline its outcome is
	// no longer waited for.
	probe         ident.AttemptID
	probeDeadline time.Time
}

// allow reports whether an attempt may reserve a slot now, and if not, after what
// time to retry.
func (b *breaker) allow(attempt ident.AttemptID, now time.Time, probeTimeout time.Duration) (wait time.Duration, allowed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case b.failures == 0:
		return 0, true
	case now.Before(b.openUntil):
		return b.openUntil.Sub(now), false
	case b.probe != "" && now.Before(b.probeDeadline):
		return b.probeDeadline.Sub(now), false
	}
	b.probe = attempt
	b.probeDeadline = now.Add(probeTimeout)
	return 0, true
}

// recordStall records a transfer that timed out.
func (b *breaker) recordStall(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.openUntil = now.Add(min(minOpenDuration<<min(b.failures, 8), maxOpenDuration))
	b.failures++
	b.probe = ""
}

// recordSuccess records a successful transfer and closes the breaker.
func (b *breaker) recordSuccess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures = 0
	b.probe = ""
}
