package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/pool"
	"crocusstep/store"
)

// lock is a mutex whose wait ends with a context.
type lock chan struct{}

func newLock() lock { return make(lock, 1) }

// acquire reports whether the lock was acquired before the context ended.
func (l lock) acquire(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l lock) release() { <-l }

// refresher lets requests that need the present state share exchanges with the hubs.
type refresher struct {
	lock lock
	// began is when the last refresh began, current whether most hubs responded to it.
	began   time.Time
	current bool
}

// Refresh exchanges state with all hubs, unless another call has begun to since this one. It
// reports whether most of them responded: what any relay has announced before is then known.
func (g *Gossip) Refresh(ctx context.Context) (current bool) {
	called := time.Now()
	if !g.refresher.lock.acquire(ctx) {
		return false
	}
	defer g.refresher.lock.release()
	if g.refresher.began.After(called) {
		return g.refresher.current
	}
	g.refresher.began = time.Now()
	hubs := g.hubs()
	var responses atomic.Int32
	var wait sync.WaitGroup
	for _, hub := range hubs {
		wait.Go(func() {
			if _, err := g.exchange(ctx, hub); err == nil {
				responses.Add(1)
			}
		})
	}
	wait.Wait()
	g.refresher.current = 2*int(responses.Load()) > len(hubs)
	return g.refresher.current
}

// gap keeps calls that close a gap in what is known of software versions from being made twice.
type gap struct {
	lock lock
	// lost is the newest revision from which the store has no changes any more.
	lost pool.Revision
}

// closeGap adopts a hub's history that ends before this relay's own first state, with the store's
// changes since. That lets relays that have all restarted know the versions from before.
func (g *Gossip) closeGap(ctx context.Context, h *pool.History, hub pool.Endpoint) {
	if !g.gap.lock.acquire(ctx) {
		return
	}
	defer g.gap.lock.release()
	if g.relay.config.EndpointChanges == nil || !g.pool.Precedes(h) || h.To <= g.gap.lost {
		return
	}
	changes, to, err := g.relay.config.EndpointChanges(ctx, h.To)
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
		g.gap.lost = h.To
	}
	adopted := err == nil && g.pool.AdoptHistoryWith(h, changes, to)
	g.Log.Info("history of software versions from a keeper", "keeper", hub.Name, "from", h.From, "to", h.To,
		"age", h.Age, "changes", len(changes), "adopted", adopted, "error", err)
}
