package relay

import (
	"cmp"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"crocusstep/common"
	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
)

const (
	// gossipInterval is the time between two exchanges with one hub; with the
	// hubs taken in turn, a change goes from any relay to any other in two.
	gossipInterval = 600 * time.Millisecond
	// watchers is how many relays look at the store often.
	watcherCount = 3
	// heardLife is how long after a keeper's answer this relay relies on others.
	keeperContactTTL = 2 * time.Second
	// hubs is how many keepers all relays exchange their news with.
	hubCount = 3
	// peersFirst is the relays taken to be there until a keeper has counted them.
	initialRelayCount = 8
)

// Exchanger exchanges news with the keeper beside an endpoint.
type Exchanger interface {
	Exchange(ctx context.Context, endpoint ident.Address, bulletin *gossip.Bulletin) (gossip.Bulletin, error)
}

// Gossip tells other relays, by way of a few keepers, what this one knows, and
// learns what they know. It serves relays that the store turns away.
type Gossip struct {
	*common.Common
	relay      *Relay
	pool       *pool.Pool
	keepers    Exchanger
	self       string
	relayCount atomic.Int64
	// rank is how many relays have an earlier name.
	rank atomic.Int64
	// heard is when a keeper answered last, in Unix nanoseconds.
	lastContact atomic.Int64
	// changed holds one entry if there is news that keepers should have at once.
	announce chan struct{}
}

// NewGossip returns a gossip of a relay's state under its own name.
func NewGossip(r *Relay, p *pool.Pool, peers Exchanger, self string) *Gossip {
	return &Gossip{Common: r.Common, relay: r, pool: p, keepers: peers, self: self, announce: make(chan struct{}, 1)}
}

// RelayCount returns how many relays there are, as far as the keepers know.
func (g *Gossip) RelayCount() int {
	if n := int(g.relayCount.Load()); n > 0 {
		return n
	}
	return initialRelayCount
}

// IsLeader reports whether this relay is the first of all. Two may think so for a
// while; nothing that a leader does needs to be done by one alone.
func (g *Gossip) IsLeader() bool { return g.lastContact.Load() > 0 && g.rank.Load() == 0 }

// IsWatcher reports whether this relay looks at the store often. The first few do,
// and tell the others; so does every relay that no keeper answers. What the store
// is asked then does not grow with the relays.
func (g *Gossip) IsWatcher() bool {
	contact := time.Unix(0, g.lastContact.Load())
	return g.rank.Load() < watcherCount || time.Since(contact) > keeperContactTTL
}

// Announce has the keepers told at once of news from the store.
func (g *Gossip) Announce() {
	if !g.IsWatcher() {
		return
	}
	select {
	case g.announce <- struct{}{}:
	default:
	}
}

// Run exchanges news until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	for round := rand.IntN(hubCount); ctx.Err() == nil; round++ {
		timer := time.NewTimer(gossipInterval/2 + rand.N(gossipInterval))
		targets := 1
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.announce:
			targets = hubCount
		}
		timer.Stop()
		for i := range targets {
			if hub, found := g.hub(round + i); found && ctx.Err() == nil {
				g.exchange(ctx, hub)
			}
		}
	}
}

// hub returns the keeper whose turn it is. All relays with the same endpoints
// agree on the hubs.
func (g *Gossip) hub(round int) (pool.Endpoint, bool) {
	endpoints, _ := g.pool.Snapshot()
	endpoints = slices.DeleteFunc(endpoints, func(e pool.Endpoint) bool { return e.Stage == pool.Whole })
	if len(endpoints) == 0 {
		return pool.Endpoint{}, false
	}
	slices.SortFunc(endpoints, func(a, b pool.Endpoint) int { return cmp.Compare(hash(a.Address), hash(b.Address)) })
	return endpoints[round%min(hubCount, len(endpoints))], true
}

func hash(address ident.Address) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(address))
	return sum.Sum64()
}

func (g *Gossip) exchange(ctx context.Context, hub pool.Endpoint) {
	out := &gossip.Bulletin{Sender: g.self, Digest: g.digest()}
	reply, err := g.keepers.Exchange(ctx, hub.Address, out)
	if err != nil {
		g.Log.Info("a keeper does not exchange news", "endpoint", hub.Name, "error", err)
		return
	}
	g.learn(&reply, hub)
	if !g.fill(out, reply.Digest) {
		return
	}
	if _, err := g.keepers.Exchange(ctx, hub.Address, out); err != nil {
		g.Log.Info("a keeper did not take the news", "endpoint", hub.Name, "error", err)
	}
}

func (g *Gossip) digest() gossip.Digest {
	d := gossip.Digest{Endpoints: g.pool.Revision(), Crashes: g.relay.crashes.Size()}
	if t := g.relay.Table(); t != nil {
		d.Table = t.Version
	}
	return d
}

// add puts into a bulletin what the keeper lacks; it reports whether it lacks any.
func (g *Gossip) fill(out *gossip.Bulletin, theirs gossip.Digest) bool {
	out.Digest = g.digest()
	if out.Digest.Table > theirs.Table {
		out.Table = g.relay.Table().Document
	}
	out.Tell(g.pool, theirs.Endpoints)
	if out.Digest.Crashes > 0 && out.Digest.Crashes != theirs.Crashes {
		out.Crashes = g.relay.crashes.Crashes(time.Now())
	}
	return out.Table != nil || out.Endpoints != nil || out.Changes != nil || out.Crashes != nil
}

func (g *Gossip) learn(in *gossip.Bulletin, hub pool.Endpoint) {
	g.relayCount.Store(int64(in.Peers))
	g.rank.Store(int64(in.Rank))
	g.lastContact.Store(time.Now().UnixNano())
	for _, c := range in.Crashes {
		g.relay.crashes.Count(c, time.Now())
	}
	if in.Table != nil && g.relay.SetTable(in.Table) {
		g.Log.Info("routes learned from a peer", "table", in.Table.Version, "keeper", hub.Name)
	}
	if in.Learn(g.pool) {
		g.Log.Info("endpoints learned from a peer", "revision", in.Digest.Endpoints, "keeper", hub.Name,
			"endpoints", len(in.Endpoints), "changes", len(in.Changes), "since", in.Since)
	}
}
