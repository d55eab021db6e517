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
	"crocusstep/store"
)

const (
	// gossipInterval is the mean time between two exchanges with a hub. The relays use
	// the hubs in rotation, so that a change reaches every relay within two exchanges.
	gossipInterval = 600 * time.Millisecond
	// watcherCount is how many relays watch the store continuously for all others.
	watcherCount = 3
	// keeperContactTTL is how long after its last contact with a keeper a relay relies
	// on the other relays' watches.
	keeperContactTTL = 2 * time.Second
	// hubCount is how many keepers serve as hubs for all relays.
	hubCount = 3
	// relayCountWindow is how long the highest number of relays counts at least: a restarted
	// keeper needs about 2 s to hear of all relays.
	relayCountWindow = 5 * time.Second
	// watchTimeout is the longest wait of a watch in a relay that watches the store
	// continuously. Each of these watches confirms what all relays know.
	watchTimeout = 1600 * time.Millisecond
	// loneWatchTimeout is that of relays that no hub confirms, which watch for themselves only.
	loneWatchTimeout = 2400 * time.Millisecond
	// MaxAge is how old what a relay knows of the store may be before it calls the store over a
	// new connection. With the call itself (0.8 s until the response begins, and about 0.8 s for the largest
	// configuration over 10 Mbit/s), that is less than the 4 s after which a relay must be up to date again
	// when its connections have gone silent. In a sound system what the hubs confirm is younger nearly always.
	MaxAge = 2400 * time.Millisecond
	// watchMargin is how long before MaxAge the watches of relays that watch continuously end.
	watchMargin = 200 * time.Millisecond
	// relaxedWatchTimeout is that of the other relays, which receive changes by gossip
	// from the relays that watch continuously.
	relaxedWatchTimeout = 8 * time.Second
	// relaxedWatchPause is the time that gossip through the keepers takes to reach
	// the other relays.
	relaxedWatchPause = 1200 * time.Millisecond
	// unknownRelayCount is assumed until a keeper has reported the number of relays: more
	// than any deployment has, so that relays without keepers keep to the shared limits.
	unknownRelayCount = 1000
)

// Exchanger exchanges state with the keeper on an endpoint's instance.
type Exchanger interface {
	Exchange(ctx context.Context, endpoint ident.Address, message *gossip.Message) (gossip.Message, error)
}

// Gossip exchanges routes, endpoints and crashes with the other relays through a few
// keepers, so that relays whose calls the store rejects stay up to date.
type Gossip struct {
	*common.Common
	relay   *Relay
	pool    *pool.Pool
	keepers Exchanger
	self    string
	// relayCount is the highest number of relays that a keeper has reported lately.
	relayCount recentMaximum
	// rank is how many relays precede this one by name.
	rank atomic.Int64
	// lastContact is when a keeper last responded, nil before the first response.
	lastContact atomic.Pointer[time.Time]
	// announce holds one entry if there is a change to send to all hubs immediately.
	announce chan struct{}
	// shared is the newest table that was sent to a hub or learned from one, or nil.
	shared atomic.Pointer[gossip.SharedTable]
	// recent holds the hubs of the present endpoints and those of shortly before.
	recent recentHubs
	// heard and told hold when this relay last heard the crashes that a hub knows, and told it its own.
	heard, told  contacts
	refresher    refresher
	acknowledger acknowledger
	gap          gap
	stamps       receivedStamps
}

// NewGossip returns the gossip of a relay's state; self names the relay.
func NewGossip(r *Relay, p *pool.Pool, keepers Exchanger, self string) *Gossip {
	return &Gossip{
		Common: r.Common, relay: r, pool: p, keepers: keepers, self: self, relayCount: recentMaximum{window: relayCountWindow},
		announce: make(chan struct{}, 1), refresher: refresher{lock: newLock()}, acknowledger: acknowledger{lock: newLock()}, gap: gap{lock: newLock()},
	}
}

// RelayCount returns the number of relays that the keepers know.
func (g *Gossip) RelayCount() int {
	if n := g.relayCount.highest(); n > 0 {
		return n
	}
	return unknownRelayCount
}

// IsLeader reports whether this relay is the first by name. Two relays may both be
// leaders for a short time; everything that a leader does tolerates that.
func (g *Gossip) IsLeader() bool { return g.lastContact.Load() != nil && g.rank.Load() == 0 }

// IsWatcher reports whether this relay watches the store continuously. The first few do
// and announce changes to the others; so does every relay without contact to a keeper.
// The load on the store thus does not grow with the number of relays.
func (g *Gossip) IsWatcher() bool { return g.isWatcherAt(time.Now()) }

func (g *Gossip) isWatcherAt(now time.Time) bool {
	return g.rank.Load() < watcherCount || g.isWithoutHubs(now)
}

func (g *Gossip) isWithoutHubs(now time.Time) bool {
	contact := g.lastContact.Load()
	return contact == nil || now.Sub(*contact) > keeperContactTTL
}

// TableWatchTimeout returns the wait for the next watch of the routing table. It may block to delay it.
func (g *Gossip) TableWatchTimeout(ctx context.Context) time.Duration {
	return g.nextWatchTimeout(ctx, g.relay.tableFreshness)
}

// EndpointWatchTimeout returns the wait for the next watch of the endpoints. It may block to delay it.
func (g *Gossip) EndpointWatchTimeout(ctx context.Context) time.Duration {
	return g.nextWatchTimeout(ctx, g.relay.endpointFreshness)
}

// nextWatchTimeout returns a random wait for the next watch of the store, so that the watches
// of different relays end at different times and some relay soon notices when all
// lose the store together. Relays that receive changes from others pause between
// two watches, so that several changes cost one call. If what is known is too old, the watch does not wait.
func (g *Gossip) nextWatchTimeout(ctx context.Context, known *store.Freshness) time.Duration {
	left := func() time.Duration { return max(0, MaxAge-known.Age(time.Now())) }
	if g.IsWatcher() {
		limit := watchTimeout
		if g.isWithoutHubs(time.Now()) {
			limit = loneWatchTimeout
		}
		return min(randomWait(limit), max(0, left()-watchMargin))
	}
	common.Sleep(ctx, min(relaxedWatchPause, left()))
	if left() == 0 {
		return 0
	}
	return randomWait(relaxedWatchTimeout)
}

func randomWait(limit time.Duration) time.Duration { return limit/2 + rand.N(limit/2) }

func (g *Gossip) recordContact(now time.Time) { g.lastContact.Store(&now) }

// Announce makes Run send a change from the store to all hubs immediately. Relays that do not watch
// the store continuously send only software versions that the hubs may not know.
func (g *Gossip) Announce() {
	g.hubs()
	if versions, _ := g.pool.Unacknowledged(maxUnacknowledged); len(versions) == 0 && !g.IsWatcher() {
		return
	}
	g.exchangeWithAll()
}

// AnnounceAvailability makes Run tell all hubs whether the relay takes requests.
func (g *Gossip) AnnounceAvailability() { g.exchangeWithAll() }

// exchangeWithAll makes Run exchange state with all hubs immediately.
func (g *Gossip) exchangeWithAll() {
	select {
	case g.announce <- struct{}{}:
	default:
	}
}

// Run exchanges state with the hubs until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	calls := newHubCalls(func(hub pool.Endpoint) { _, _ = g.exchange(ctx, hub) })
	defer calls.wait()
	for round := rand.IntN(hubCount); ctx.Err() == nil; round++ {
		timer := time.NewTimer(gossipInterval/2 + rand.N(gossipInterval))
		everyone := false
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.announce:
			everyone = true
		case <-g.relay.crashed:
			everyone = true
		}
		timer.Stop()
		g.acknowledge(ctx)
		hubs := g.hubs()
		targets := hubs
		switch {
		case everyone:
			// Relays that do not know the present endpoints still ask earlier hubs.
			targets = unionOf(g.recent.all())
		case len(hubs) > 0:
			targets = hubs[round%len(hubs):][:1]
		}
		for _, hub := range targets {
			if ctx.Err() == nil {
				calls.start(hub, everyone)
			}
		}
	}
}

// hubs returns the keepers that all relays exchange state with. Relays with the same endpoints
// choose the same ones.
func (g *Gossip) hubs() []pool.Endpoint {
	endpoints, _ := g.pool.Snapshot()
	endpoints = slices.DeleteFunc(endpoints, func(e pool.Endpoint) bool { return e.Stage == pool.Combined })
	slices.SortFunc(endpoints, func(a, b pool.Endpoint) int { return cmp.Compare(hash(a.Address), hash(b.Address)) })
	endpoints = endpoints[:min(hubCount, len(endpoints))]
	g.recent.record(endpoints, time.Now())
	return endpoints
}

func hash(address ident.Address) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(address))
	return sum.Sum64()
}

// exchange sends this relay's state to a hub and applies what the hub returns. It returns the
// revision of the endpoints that the hub then knows, or an error if the hub did not respond.
func (g *Gossip) exchange(ctx context.Context, hub pool.Endpoint) (known pool.Revision, err error) {
	began := time.Now()
	// The digest is newer than the confirmation, so that a hub with the same versions knows as much.
	confirmation := g.confirmation(hub)
	out := &gossip.Message{Sender: g.self, Zone: g.relay.config.Topology.Zone, Available: g.relay.available(), Digest: g.digest(), History: g.pool.History(), Sounds: g.relay.crashes.Sounds(began), HeardAge: g.heard.age(hub.Address, began), Confirmation: confirmation}
	response, err := g.keepers.Exchange(ctx, hub.Address, out)
	if err != nil {
		g.Log.Info("gossip exchange with a keeper failed", "endpoint", hub.Name, "error", err)
		return 0, err
	}
	g.apply(&response, hub, began)
	g.heard.record(hub.Address, began)
	g.closeGap(ctx, response.History, hub)
	known = response.Digest.Endpoints
	filled := time.Now()
	if !g.fill(out, response.Digest, hub) {
		g.told.record(hub.Address, filled)
		return known, nil
	}
	response, sendErr := g.keepers.Exchange(ctx, hub.Address, out)
	if sendErr != nil {
		g.Log.Info("sending changes to a keeper failed", "endpoint", hub.Name, "error", sendErr)
		return known, nil
	}
	g.told.record(hub.Address, filled)
	return response.Digest.Endpoints, nil
}

func (g *Gossip) digest() gossip.Digest {
	d := gossip.NewDigest(g.relay.crashes, time.Now())
	d.Endpoints = g.pool.Revision()
	if t := g.relay.Table(); t != nil {
		d.Table = t.Version
	}
	return d
}

// fill adds to a message what the keeper lacks; it reports whether it lacks anything.
func (g *Gossip) fill(out *gossip.Message, theirs gossip.Digest, hub pool.Endpoint) bool {
	out.Confirmation = g.confirmation(hub)
	out.Digest, out.History = g.digest(), g.pool.History()
	if out.Digest.Table > theirs.Table {
		out.AddTable(g.sharedTable(), theirs)
	}
	out.AddEndpoints(g.pool, theirs.Endpoints)
	out.Crashes = gossip.MissingCrashes(g.relay.crashes, theirs, g.told.at(hub.Address), time.Now())
	return out.PackedTable != nil || out.Table != nil || out.Endpoints != nil || out.Changes != nil || out.Crashes != nil
}

// apply applies what a hub returned to a message that was sent at a given time.
func (g *Gossip) apply(in *gossip.Message, hub pool.Endpoint, sentAt time.Time) {
	g.relayCount.record(in.Peers, time.Now())
	g.rank.Store(int64(in.Rank))
	g.relay.alone.Store(in.Alone)
	g.recordContact(time.Now())
	for _, c := range in.Crashes {
		g.relay.crashes.RecordCrash(c, time.Now())
	}
	g.relay.crashes.ApplySounds(in.Sounds, time.Now())
	g.applyTable(in.SharedTable(), hub)
	defer g.pool.AdoptHistory(in.History)
	changed := in.ApplyEndpoints(g.pool)
	g.confirm(in, hub, sentAt)
	if changed {
		g.Log.Info("endpoints learned from a peer", "revision", in.Digest.Endpoints, "keeper", hub.Name,
			"endpoints", len(in.Endpoints), "changes", len(in.Changes), "since", in.Since)
		g.Announce()
	}
}

func (g *Gossip) applyTable(t *gossip.SharedTable, hub pool.Endpoint) {
	if current := g.relay.Table(); t == nil || current != nil && t.Version() <= current.Version {
		return
	}
	d, err := t.Document()
	if err != nil {
		g.Log.Warn("a keeper sent routes that cannot be read", "keeper", hub.Name, "error", err)
		return
	}
	if g.relay.SetTable(d) {
		g.shared.Store(t)
		g.Log.Info("routes learned from a peer", "table", d.Version, "keeper", hub.Name, "age-before", g.relay.TableAge())
	}
}

// sharedTable returns the relay's table, which is packed once for all hubs.
func (g *Gossip) sharedTable() *gossip.SharedTable {
	document := g.relay.Table().Document
	if t := g.shared.Load(); t != nil && t.Version() == document.Version {
		return t
	}
	t := gossip.ShareTable(document)
	g.shared.Store(t)
	return t
}
