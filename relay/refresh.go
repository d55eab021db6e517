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

// refresher lets requests that need the present state share exchanges with the hubs.
type refresher struct {
	mutex sync.Mutex
	// began is when the last refresh began, current whether most hubs responded to it.
	began   time.Time
	current bool
}

// Refresh exchanges state with all hubs, unless another call has begun to since this one. It
// reports whether most of them responded: what any relay has announced before is then known.
func (g *Gossip) Refresh(ctx context.Context) (current bool) {
	called := time.Now()
	g.refresher.mutex.Lock()
	defer g.refresher.mutex.Unlock()
	if g.refresher.began.After(called) {
		return g.refresher.current
	}
	g.refresher.began = time.Now()
	hubs := g.hubs()
	var responses atomic.Int32
	var wait sync.WaitGroup
	for _, hub := range hubs {
		wait.Go(func() {
			if g.exchange(ctx, hub) {
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
	mutex sync.Mutex
	// lost is the newest revision from which the store has no changes any more.
	lost pool.Revision
}

// closeGap adopts a hub's history that ends before this relay's own first state, with the store's
// changes since. That lets relays that have all restarted know the versions from before.
func (g *Gossip) closeGap(ctx context.Context, h *pool.History, hub pool.Endpoint) {
	g.gap.mutex.Lock()
	defer g.gap.mutex.Unlock()
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
