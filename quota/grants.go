package quota

import (
	"maps"
	"sync"
	"time"
)

// grantsTTL is how long the buckets of an idle key are kept.
const grantsTTL = 10 * time.Minute

// Request asks for units of a quota.
type Request struct {
	// Limit is the quota in a version of the configuration; the granter uses the newest one.
	Limit   Limit `json:"limit"`
	Version int64 `json:"version"`
	// Need is granted wholly or not at all, Extra only if the quota is not used up.
	Need  Units `json:"need"`
	Extra Units `json:"extra,omitempty"`
	// Emergency is set if the granter does not respond and another one is asked.
	Emergency bool `json:"emergency,omitempty"`
	// ViewAge is how long the relay has known this granter as that of the key. Changed is set if
	// it replaced another one then.
	ViewAge time.Duration `json:"view-age-ns,omitempty"`
	Changed bool          `json:"changed,omitempty"`
}

// Response grants units or says when they can be granted.
type Response struct {
	Granted Units `json:"granted"`
	// Wait is the time until any request can be granted, RetryAfter until this one fits behind
	// those that were denied before it. Both are zero if the request is granted.
	Wait       time.Duration `json:"wait-ns,omitempty"`
	RetryAfter time.Duration `json:"retry-after-ns,omitempty"`
	// Restarted is set if the granter has not been in use for a whole window.
	Restarted bool `json:"restarted,omitempty"`
	// Level is what the granter's bucket holds.
	Level Units `json:"level"`
	// Version is the newest version of the limit that the granter knows.
	Version int64 `json:"version"`
}

// Grants grants units of the quotas of many keys to relays whose shares do not suffice. It is
// safe for concurrent use.
type Grants[Key comparable] struct {
	// began is when the process started.
	began time.Time

	mutex sync.Mutex
	keys  map[Key]*grants
}

// grants are the buckets of a key. A bucket is nil before its first use.
type grants struct {
	limit              Limit
	version            int64
	granted, emergency *bucket
	usedAt             time.Time
}

func (g *grants) bucket(emergency bool) **bucket {
	if emergency {
		return &g.emergency
	}
	return &g.granted
}

// NewGrants returns the grants of a process that starts now.
func NewGrants[Key comparable](now time.Time) *Grants[Key] {
	return &Grants[Key]{began: now, keys: map[Key]*grants{}}
}

// Take grants the units that a request needs if the quota allows it.
func (g *Grants[Key]) Take(now time.Time, key Key, r Request) Response {
	if !r.Limit.valid() || !(r.Need > 0) || !(r.Extra >= 0) || r.ViewAge < 0 {
		return Response{Wait: LeaseTTL, RetryAfter: LeaseTTL}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	k := g.update(now, key, r)
	b := g.updateBucket(now, k, r)
	granted, wait := b.take(now, r.Need, r.Extra)
	response := Response{Granted: granted, Wait: wait, Level: b.level, Version: k.version, Restarted: b.restarted(now)}
	if wait > 0 {
		response.RetryAfter = b.promise(now, r.Need, wait)
	}
	return response
}

// update returns the grants of a key under the newest limit.
func (g *Grants[Key]) update(now time.Time, key Key, r Request) *grants {
	k, known := g.keys[key]
	if !known {
		maps.DeleteFunc(g.keys, func(_ Key, k *grants) bool { return now.Sub(k.usedAt) > grantsTTL })
		k = &grants{limit: r.Limit, version: r.Version}
		g.keys[key] = k
	}
	k.usedAt = now
	if r.Version > k.version || r.Version == k.version && r.Limit != k.limit {
		k.limit, k.version = r.Limit, r.Version
		for _, emergency := range []bool{false, true} {
			if b := *k.bucket(emergency); b != nil {
				b.update(now)
				b.setTerms(k.limit.terms(emergency), now)
			}
		}
	}
	return k
}

// updateBucket returns the bucket for a request. Its level is at most what it has received since
// the relay knows this granter: another one may have been in use before.
func (g *Grants[Key]) updateBucket(now time.Time, k *grants, r Request) *bucket {
	b := k.bucket(r.Emergency)
	changedAt := now.Add(-r.ViewAge)
	switch {
	case *b == nil:
		*b = newBucket(k.limit.terms(r.Emergency), later(g.began, changedAt), now)
		(*b).level = min((*b).terms.capacity, (*b).terms.received(now.Sub(g.began)), (*b).terms.receivedSince(r))
	case r.Changed && changedAt.After((*b).usedAt) && now.Sub((*b).usedAt) > maxOverlap:
		(*b).update(now)
		(*b).began, (*b).level = changedAt, min((*b).level, (*b).terms.receivedSince(r))
	}
	(*b).usedAt = now
	return *b
}

// received returns what a bucket receives in a time, without its capacity.
func (t terms) received(span time.Duration) Units { return t.perSecond * Units(span.Seconds()) }

// receivedSince returns what a bucket has received since the relay knows its granter. If that
// replaced another one, some relays have used the other one for maxOverlap more.
func (t terms) receivedSince(r Request) Units {
	received := t.received(r.ViewAge - maxOverlap)
	if !r.Changed {
		received = max(0, received)
	}
	return received
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// GiveBack returns units that were granted some time ago and not used.
func (g *Grants[Key]) GiveBack(now time.Time, key Key, amount Units, age time.Duration, emergency bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	k, known := g.keys[key]
	if !known || !(amount > 0) {
		return
	}
	if b := *k.bucket(emergency); b != nil {
		b.giveBack(now, amount, age)
	}
}
