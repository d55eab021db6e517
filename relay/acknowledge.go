package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocusstep/ident"
	"crocusstep/pool"
)

const (
	// acknowledgeTimeout is how long a request waits for the hubs if it has no other endpoints.
	acknowledgeTimeout = time.Second
	// acknowledgePause is how long requests do not wait after the hubs have failed to respond.
	acknowledgePause = 2 * time.Second
	// maxUnacknowledged is how long a software version stays unused for want of most hubs while
	// others serve. It is also how long another relay may be out of step.
	maxUnacknowledged = 15 * time.Second
	// maxHubSets limits the hubs of earlier endpoints that are remembered.
	maxHubSets = 8
)

// hubSet holds the hubs that relays with some endpoints choose.
type hubSet struct {
	hubs []pool.Endpoint
	// last is when this relay last chose them.
	last time.Time
}

// recentHubs remembers the hubs of a relay, as others may still choose earlier ones.
type recentHubs struct {
	mutex sync.Mutex
	// sets are in the order of their use; the last one is the present one.
	sets []hubSet
}

// record records the present hubs.
func (r *recentHubs) record(hubs []pool.Endpoint, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sets = slices.DeleteFunc(r.sets, func(s hubSet) bool { return sameHubs(s.hubs, hubs) || now.Sub(s.last) > maxUnacknowledged })
	if n := len(r.sets); n > 0 {
		r.sets[n-1].last = now
	}
	r.sets = append(r.sets, hubSet{hubs: hubs, last: now})
	r.sets = r.sets[max(0, len(r.sets)-maxHubSets):]
}

// all returns the recent sets, the present one last.
func (r *recentHubs) all() []hubSet {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.sets)
}

func sameHubs(a, b []pool.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y pool.Endpoint) bool { return x.Address == y.Address })
}

// acknowledger lets requests share the rounds in which hubs are told of software versions.
type acknowledger struct {
	lock lock
	// failed is when most hubs last did not respond, or zero.
	failed time.Time
}

// Acknowledge tells the hubs of software versions that most of them may not know, and waits until
// most know them. It does not wait if that has failed lately.
func (g *Gossip) Acknowledge(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	if !g.acknowledger.lock.acquire(ctx) {
		return
	}
	defer g.acknowledger.lock.release()
	if time.Since(g.acknowledger.failed) < acknowledgePause {
		return
	}
	g.tellVersions(ctx)
}

// acknowledge does so whether or not it has failed lately.
func (g *Gossip) acknowledge(ctx context.Context) {
	if versions, _ := g.pool.Unacknowledged(maxUnacknowledged); len(versions) == 0 || !g.acknowledger.lock.acquire(ctx) {
		return
	}
	defer g.acknowledger.lock.release()
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	g.tellVersions(ctx)
}

// tellVersions is called with the lock. It returns once most hubs of each recent set know the
// versions: a relay out of step asks the hubs of earlier endpoints.
func (g *Gossip) tellVersions(ctx context.Context) {
	versions, at := g.pool.Unacknowledged(maxUnacknowledged)
	if len(versions) == 0 {
		return
	}
	g.hubs()
	sets := g.recent.all()
	targets := unionOf(sets)
	told := make(chan ident.Address, len(targets))
	for _, hub := range targets {
		g.relay.tasks.Go(func() {
			// The others are told, too, when most know already.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acknowledgeTimeout)
			defer cancel()
			if known, err := g.exchange(ctx, hub); err == nil && known >= at {
				told <- hub.Address
				return
			}
			told <- ""
		})
	}
	know := map[ident.Address]bool{}
	for left := len(targets); left > 0 && !mostKnow(sets, know); left-- {
		select {
		case address := <-told:
			know[address] = address != ""
		case <-ctx.Done():
			left = 0
		}
	}
	current := mostKnow(sets, know)
	if g.acknowledger.failed = (time.Time{}); !current {
		g.acknowledger.failed = time.Now()
	} else {
		g.pool.Acknowledge(versions)
	}
	g.Log.Info("hubs were told of software versions", "versions", versions, "revision", at, "hubs", len(targets), "acknowledged", current)
}

func unionOf(sets []hubSet) (hubs []pool.Endpoint) {
	for _, s := range slices.Backward(sets) {
		for _, hub := range s.hubs {
			if !slices.ContainsFunc(hubs, func(e pool.Endpoint) bool { return e.Address == hub.Address }) {
				hubs = append(hubs, hub)
			}
		}
	}
	return hubs
}

// mostKnow reports whether most hubs of each set know the versions.
func mostKnow(sets []hubSet, know map[ident.Address]bool) bool {
	for _, s := range sets {
		count := 0
		for _, hub := range s.hubs {
			if know[hub.Address] {
				count++
			}
		}
		if 2*count <= len(s.hubs) && len(s.hubs) > 0 {
			return false
		}
	}
	return true
}

// beginsAt returns the members at which a stream may begin. Relays that do not know a software
// version must be able to learn of it from the hubs before a stream of it breaks off: members of a
// version that most hubs know come first, others only if there are none.
func (e *exchange) beginsAt(ctx context.Context, members []pool.Member) []pool.Member {
	if e.config.Acknowledge == nil || !e.route.Retryable() || e.pinned.Load() != nil || len(members) == 0 {
		return members
	}
	known := e.acknowledged(members)
	if len(known) == 0 {
		e.config.Acknowledge(ctx)
		known = e.acknowledged(members)
	}
	if len(known) == 0 {
		e.Log.Info("a stream begins at a software version that most hubs may not know", "request", e.request.Attempt)
		return members
	}
	return known
}

func (e *exchange) acknowledged(members []pool.Member) (list []pool.Member) {
	for _, m := range members {
		if e.config.Pool.Acknowledged(m.Service, m.Version, maxUnacknowledged) {
			list = append(list, m)
		}
	}
	return list
}
