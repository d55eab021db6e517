package agent

import (
	"sync"
	"time"

	"crocusstep/ident"
)

const (
	// breakFor is the first pause after a stalled transfer; it doubles up to
	// breakMost.
	breakFor  = 4 * time.Second
	breakMost = 32 * time.Second
)

// breaker keeps new requests away from an endpoint whose transfers stall, since
// each would cost a prefill. After a pause it lets one through to find out.
type breaker struct {
	mutex sync.Mutex
	// failures counts the stalls since the last transfer that arrived.
	failures int
	until    time.Time
	// probe is the attempt that was let through; probeEnds bounds the wait for
	// what becomes of it.
	probe     ident.AttemptID
	probeEnds time.Time
}

// allow reports whether an attempt may reserve a slot now, and if not, when to
// ask again.
func (b *breaker) allow(attempt ident.AttemptID, now time.Time, probeFor time.Duration) (wait time.Duration, allowed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case b.failures == 0:
		return 0, true
	case now.Before(b.until):
		return b.until.Sub(now), false
	case b.probe != "" && now.Before(b.probeEnds):
		return b.probeEnds.Sub(now), false
	}
	b.probe = attempt
	b.probeEnds = now.Add(probeFor)
	return 0, true
}

// stalled notes a transfer that did not arrive.
func (b *breaker) stalled(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.until = now.Add(min(breakFor<<min(b.failures, 8), breakMost))
	b.failures++
	b.probe = ""
}

// arrived notes a transfer that worked.
func (b *breaker) arrived() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures = 0
	b.probe = ""
}
