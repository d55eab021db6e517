package quota

import "time"

// waitMargin is added to waits, which are rounded: a request must fit at their end.
const waitMargin = time.Microsecond

// slots is the number of parts of a bucket's window.
const slots = 32

// bucket is filled at a steady rate and emptied by requests. It also counts what is taken in a
// sliding window, since units that are given back could otherwise be added to a full bucket.
type bucket struct {
	terms terms
	// level is below zero after a request that overdraws the bucket.
	level Units
	// at is when level was computed.
	at time.Time
	// began is since when no other process has granted units instead.
	began time.Time
	// usedAt is the time of the last request.
	usedAt time.Time
	// taken holds the units of each slot of the window, and one slot more for those that are
	// partly in it. Number n is at n modulo the length.
	taken [slots + 1]Units
	// newest is the number of the newest slot, counted from origin.
	newest int64
	origin time.Time
	// promised is the time for which the last denied request was told to come back.
	promised time.Time
}

// newBucket returns an empty bucket whose earlier content is unknown.
func newBucket(t terms, began, now time.Time) *bucket {
	return &bucket{terms: t, at: now, began: began, origin: now}
}

// restarted reports whether the bucket has been in use for less than its window, so that another
// process may have granted units in it.
func (b *bucket) restarted(now time.Time) bool { return now.Sub(b.began) < b.terms.window }

// update fills the bucket and moves its window.
func (b *bucket) update(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.terms.capacity, b.level+b.terms.perSecond*Units(elapsed.Seconds()))
		b.at = now
	}
	newest := int64(now.Sub(b.origin) / b.slotLength())
	for b.newest < newest {
		if newest-b.newest > slots {
			b.taken, b.newest = [slots + 1]Units{}, newest
			return
		}
		b.newest++
		b.taken[b.newest%(slots+1)] = 0
	}
}

func (b *bucket) slotLength() time.Duration { return max(1, b.terms.window/slots) }

// setTerms changes the terms. The window starts again if its length changes.
func (b *bucket) setTerms(t terms, now time.Time) {
	if t == b.terms {
		return
	}
	if t.window != b.terms.window {
		b.taken, b.newest, b.origin = [slots + 1]Units{}, 0, now
	}
	if t.windowMax < b.terms.windowMax {
		// A lower limit applies to the windows that begin after it.
		b.taken = [slots + 1]Units{}
	}
	b.terms = t
	b.level = min(b.level, t.capacity)
}

// wait returns the time until units can be taken, zero if they can now. The last request may
// overdraw the bucket, as it may be larger than the capacity. After a restart a request must fit,
// so that restarts do not add up.
func (b *bucket) wait(now time.Time, need Units) time.Duration {
	wait := time.Duration(0)
	floor := Units(0)
	if b.restarted(now) {
		floor = min(need, b.terms.capacity)
	}
	if b.level < floor {
		wait = seconds((floor-b.level)/b.terms.perSecond) + waitMargin
	}
	sum := need
	for _, taken := range b.taken {
		sum += taken
	}
	for i := int64(1); sum > b.terms.windowMax && i <= slots+1; i++ {
		sum -= b.taken[(b.newest+i)%(slots+1)]
		wait = max(wait, b.origin.Add(time.Duration(b.newest+i)*b.slotLength()).Sub(now))
	}
	return wait
}

// take takes the needed units, and as many of the extra ones as do not overdraw the bucket. If it
// takes none, it returns the time until they can be taken.
func (b *bucket) take(now time.Time, need, extra Units) (taken Units, wait time.Duration) {
	b.update(now)
	if wait = b.wait(now, need); wait > 0 {
		return 0, wait
	}
	taken = need
	if extra = min(extra, b.level-need); extra > 0 && b.wait(now, need+extra) == 0 {
		taken += extra
	}
	b.level -= taken
	b.taken[b.newest%(slots+1)] += taken
	return taken, 0
}

// promise returns the time until a denied request would fit, behind those that were denied
// before it.
func (b *bucket) promise(now time.Time, need Units, wait time.Duration) time.Duration {
	first := now.Add(wait)
	if b.promised.Before(first) {
		b.promised = first
	}
	promised := b.promised.Sub(now)
	b.promised = now.Add(min(promised+seconds(need/b.terms.perSecond), b.terms.window))
	return promised
}

// giveBack undoes part of what was taken some time ago.
func (b *bucket) giveBack(now time.Time, amount Units, age time.Duration) {
	b.update(now)
	number := int64(now.Add(-age).Sub(b.origin) / b.slotLength())
	if age < 0 || number < 0 || b.newest-number > slots {
		return
	}
	slot := &b.taken[number%(slots+1)]
	*slot -= min(amount, *slot)
	b.level = min(b.terms.capacity, b.level+amount)
}

func seconds(s Units) time.Duration {
	const longest = 1e6
	return time.Duration(float64(min(s, longest)) * float64(time.Second))
}
