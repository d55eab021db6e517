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
	watchers = 3
	// heardLife is how long after a keeper's answer this relay relies on others.
	heardLife = 2 * time.Second
	// hubs is how many keepers all relays exchange their news with.
	hubs = 3
	// peersFirst is the relays taken to be there until a keeper has counted them.
	peersFirst = 8
)

// Exchanger exchanges news with the keeper beside an endpoint.
type Exchanger interface {
	Exchange(ctx context.Context, endpoint ident.Address, bulletin *gossip.Message) (gossip.Message, error)
}

// Gossip tells other relays, by way of a few keepers, what this one knows, and
// learns what they know. It serves relays that the store turns away.
type Gossip struct {
	*common.Common
	relay *Relay
	pool  *pool.Pool
	peers Exchanger
	self  string
	count atomic.Int64
	// rank is how many relays have an earlier name.
	rank atomic.Int64
	// heard is when a keeper answered last, in Unix nanoseconds.
	heard atomic.Int64
	// changed holds one entry if there is news that keepers should have at once.
	changed chan struct{}
}

// NewGossip returns a gossip of a relay's state under its own name.
func NewGossip(r *Relay, p *pool.Pool, peers Exchanger, self string) *Gossip {
	return &Gossip{Common: r.Common, relay: r, pool: p, peers: peers, self: self, changed: make(chan struct{}, 1)}
}

// Peers returns how many relays there are, as far as the keepers know.
func (g *Gossip) Peers() int {
	if n := int(g.count.Load()); n > 0 {
		return n
	}
	return peersFirst
}

// Leads reports whether this relay is the first of all. Two may think so for a
// while; nothing that a leader does needs to be done by one alone.
func (g *Gossip) Leads() bool { return g.heard.Load() > 0 && g.rank.Load() == 0 }

// Watches reports whether this relay looks at the store often. The first few do,
// and tell the others; so does every relay that no keeper answers. What the store
// is asked then does not grow with the relays.
func (g *Gossip) Watches() bool {
	heard := time.Unix(0, g.heard.Load())
	return g.rank.Load() < watchers || time.Since(heard) > heardLife
}

// Changed has the keepers told at once of news from the store.
func (g *Gossip) Changed() {
	if !g.Watches() {
		return
	}
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Run exchanges news until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	for turn := rand.IntN(hubs); ctx.Err() == nil; turn++ {
		timer := time.NewTimer(gossipInterval/2 + rand.N(gossipInterval))
		told := 1
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.changed:
			told = hubs
		}
		timer.Stop()
		for i := range told {
			if hub, found := g.hub(turn + i); found && ctx.Err() == nil {
				g.exchange(ctx, hub)
			}
		}
	}
}

// hub returns the keeper whose turn it is. All relays with the same endpoints
// agree on the hubs.
func (g *Gossip) hub(turn int) (pool.Endpoint, bool) {
	list, _ := g.pool.Snapshot()
	list = slices.DeleteFunc(list, func(e pool.Endpoint) bool { return e.Stage == pool.Combined })
	if len(list) == 0 {
		return pool.Endpoint{}, false
	}
	slices.SortFunc(list, func(a, b pool.Endpoint) int { return cmp.Compare(hash(a.Address), hash(b.Address)) })
	return list[turn%min(hubs, len(list))], true
}

func hash(address ident.Address) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(address))
	return sum.Sum64()
}

func (g *Gossip) exchange(ctx context.Context, hub pool.Endpoint) {
	out := &gossip.Message{Sender: g.self, Digest: g.digest()}
	reply, err := g.peers.Exchange(ctx, hub.Address, out)
	if err != nil {
		g.Log.Info("a keeper does not exchange news", "endpoint", hub.Name, "error", err)
		return
	}
	g.learn(&reply, hub)
	if !g.add(out, reply.Digest) {
		return
	}
	if _, err := g.peers.Exchange(ctx, hub.Address, out); err != nil {
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
func (g *Gossip) add(out *gossip.Message, theirs gossip.Digest) bool {
	out.Digest = g.digest()
	if out.Digest.Table > theirs.Table {
		out.Table = g.relay.Table().Document
	}
	out.AddEndpoints(g.pool, theirs.Endpoints)
	if out.Digest.Crashes > 0 && out.Digest.Crashes != theirs.Crashes {
		out.Crashes = g.relay.crashes.Crashes(time.Now())
	}
	return out.Table != nil || out.Endpoints != nil || out.Changes != nil || out.Crashes != nil
}

func (g *Gossip) learn(in *gossip.Message, hub pool.Endpoint) {
	g.count.Store(int64(in.Peers))
	g.rank.Store(int64(in.Rank))
	g.heard.Store(time.Now().UnixNano())
	for _, c := range in.Crashes {
		g.relay.crashes.Record(c, time.Now())
	}
	if in.Table != nil && g.relay.SetTable(in.Table) {
		g.Log.Info("routes learned from a peer", "table", in.Table.Version, "keeper", hub.Name)
	}
	if in.ApplyEndpoints(g.pool) {
		g.Log.Info("endpoints learned from a peer", "revision", in.Digest.Endpoints, "keeper", hub.Name,
			"endpoints", len(in.Endpoints), "changes", len(in.Changes), "since", in.Since)
	}
}
