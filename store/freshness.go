package store

import (
	"context"
	"math"
	"sync"
	"time"

	"crocusstep/common"
)

// Freshness is how recent a process's knowledge of a kind is. The zero value knows nothing. It is
// safe for concurrent use.
type Freshness struct {
	mutex sync.Mutex
	// asOf is a moment such that all that the store acknowledged before it is known. It is zero if
	// nothing is known, and never goes back.
	asOf time.Time
}

// Confirm records that all that the store acknowledged before a moment is known.
func (f *Freshness) Confirm(at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if at.After(f.asOf) {
		f.asOf = at
	}
}

// AsOf returns the moment before which everything is known, zero if nothing is known.
func (f *Freshness) AsOf() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.asOf
}

// Age returns how long ago a change may have been acknowledged that is not known. It is an upper
// bound: it may be too high, as after a step of the wall clock, but never too low.
func (f *Freshness) Age(now time.Time) time.Duration {
	asOf := f.AsOf()
	if asOf.IsZero() {
		return math.MaxInt64
	}
	return Elapsed(asOf, now)
}

// Elapsed returns the longest time that may have passed between two readings of this process's clocks.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), wallTime(to).Sub(wallTime(from)))
}

// awaitAge waits until the age has reached a limit. It reports false if the context has ended before.
func (f *Freshness) awaitAge(ctx context.Context, limit time.Duration) bool {
	for ctx.Err() == nil {
		left := limit - f.Age(time.Now())
		if left <= 0 {
			return true
		}
		common.Sleep(ctx, left)
	}
	return false
}

// Lead returns by how much the knowledge is more recent than a moment, negative if it is older. It is a lower
// bound. It reports false if nothing is known.
func (f *Freshness) Lead(moment time.Time) (lead time.Duration, known bool) {
	asOf := f.AsOf()
	return min(asOf.Sub(moment), wallTime(asOf).Sub(wallTime(moment))), !asOf.IsZero()
}

// wallTime returns a time without its reading of the steady clock, which stands still while an
// instance is suspended.
func wallTime(t time.Time) time.Time { return t.Round(0) }
