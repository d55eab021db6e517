package rate

import (
	"maps"
	"sync"
	"time"
)

const (
	// grantRatio is the part of a limit that is granted centrally; the rest is in the shares.
	grantRatio = 1 - shareRatio
	// maxCredit limits the unused time that later grants may make up for.
	maxCredit = 250 * time.Millisecond
	// IdleWait is a wait that is granted only if a permit has been unused for a while, because
	// no urgent request took it.
	IdleWait = -maxCredit / 2
	// grantTTL is how long the schedule of an idle key is kept.
	grantTTL = time.Minute
)

// Grants grants permits of the limits of many endpoints, beside the equal shares, to
// processes whose share does not suffice. It is safe for concurrent use.
type Grants[Key comparable] struct {
	mutex sync.Mutex
	// next holds when each key's next permit becomes valid.
	next map[Key]time.Time
}

// NewGrants returns grants that start without credit.
func NewGrants[Key comparable]() *Grants[Key] { return &Grants[Key]{next: map[Key]time.Time{}} }

// Reserve reserves a permit and returns the time until it becomes valid, which is negative for
// one that has been valid for a while. It reserves none if that is more than maxWait.
func (g *Grants[Key]) Reserve(now time.Time, key Key, limit PerSecond, maxWait time.Duration) (wait time.Duration, granted bool) {
	limit = min(max(limit, Lowest), Highest)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	next, known := g.next[key]
	if !known {
		maps.DeleteFunc(g.next, func(_ Key, at time.Time) bool { return now.Sub(at) > grantTTL })
		next = now.Add(limit.period(grantRatio))
		g.next[key] = next
	}
	if earliest := now.Add(-maxCredit); next.Before(earliest) {
		next = earliest
	}
	wait = next.Sub(now)
	if wait > maxWait {
		return wait, false
	}
	g.next[key] = next.Add(limit.period(grantRatio))
	return wait, true
}
