package keeper

import "time"

const (
	// lapseTTL is how long after the last lapse an engine is avoided; then a prompt finds out
	// whether its caches can be fetched again.
	lapseTTL = 3 * time.Second
	// minLapses is the number of lapses in a row from which on an engine is avoided: a single
	// prompt may have waited too long.
	minLapses = 2
)

// lapses counts the prompts whose KV cache could not be fetched from the engine, as reported by all
// relays, so that each relay need not find out by itself.
type lapses struct {
	count int
	last  time.Time
}

func (l *lapses) add(now time.Time) {
	if now.Sub(l.last) > lapseTTL {
		l.count = 0
	}
	l.count++
	l.last = now
}

// lapsing reports whether prompts that the engine prefills now are likely to be lost.
func (l *lapses) lapsing(now time.Time) bool {
	return l.count >= minLapses && now.Sub(l.last) <= lapseTTL
}
