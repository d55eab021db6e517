package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// requestDelayFactor multiplies the delay that differs by tracker: the first try of a request
	// should be known everywhere before the next tracker's time has come.
	requestDelayFactor = 8
	// maxTries is how often a blocked request is tried. If all of these crash endpoints, it stays
	// blocked until its crashes expire. The users allow three tries; one is left for trackers that
	// try at the same time.
	maxTries = 2
	// quarantineGrowth multiplies the quarantine after a try that crashed an endpoint.
	quarantineGrowth = 4
	// delaySpread multiplies the difference between two trackers' delays.
	delaySpread = 7
)

// request is what is known of a request that was in a crash.
type request struct {
	crashes map[crashKey]*storedCrash
	// succeededAt is when the request last completed; earlier crashes do not count.
	succeededAt time.Time
	// probedAt is when the request was last tried while it was blocked.
	probedAt time.Time
}

// rank orders crashes by how long they matter.
func (c *storedCrash) rank() int {
	if c.Blocked || len(c.Parts) > 0 {
		return 1
	}
	return 0
}

// counting returns the crashes since the request last completed, the oldest first.
func (r *request) counting() []*storedCrash {
	var list []*storedCrash
	for _, c := range r.crashes {
		if c.at.After(r.succeededAt) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *storedCrash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.Attempt, b.Attempt)) })
	return list
}

// hasBlocked reports whether the request was blocked, whether or not it has completed since.
func (r *request) hasBlocked() bool {
	for _, c := range r.crashes {
		if c.Blocked {
			return true
		}
	}
	return false
}

// markBlocked marks the crashes that block the request, which count for longer than others: the first
// maxCrashes within requestCrashTTL and all later ones.
func (r *request) markBlocked() {
	list := r.counting()
	first := slices.IndexFunc(list, func(c *storedCrash) bool { return c.Blocked })
	for i := maxCrashes - 1; i < len(list) && first < 0; i++ {
		if list[i].at.Sub(list[i-maxCrashes+1].at) < requestCrashTTL {
			first = i - maxCrashes + 1
		}
	}
	if first < 0 {
		return
	}
	for _, c := range list[first:] {
		c.Blocked = true
	}
}

func (t *Tracker) requestBlocked(f Fingerprint, now time.Time) bool {
	r, known := t.requests[f]
	return known && slices.ContainsFunc(r.counting(), func(c *storedCrash) bool { return c.Blocked && !c.expired(now) })
}

// quarantined reports whether it is too early to try a blocked request. The crashes that blocked it
// may be followed by others of the same time; those after a pause are of tries, as each comes after a
// quarantine. With each of them, the delay of the tracker changes, so that the same trackers are not
// always next to each other.
func (r *request) quarantined(now time.Time, delay time.Duration) bool {
	list := slices.DeleteFunc(r.counting(), func(c *storedCrash) bool { return !c.Blocked })
	last, tries, factor := list[0].at, 0, time.Duration(1)
	for i, c := range list {
		if tries > 0 || i >= maxCrashes && c.at.Sub(last) >= quarantine/2 {
			tries++
			factor *= quarantineGrowth
			delay = delay * delaySpread % quarantine
		}
		last = c.at
	}
	span := factor * (quarantine + requestDelayFactor*delay)
	return tries >= maxTries || now.Before(last.Add(span)) || now.Before(r.probedAt.Add(probeInterval))
}
