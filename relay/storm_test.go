package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/seed"
	"crocusstep/table"
)

const (
	// regionBandwidth is the number of bytes a second between two regions, in each direction: 60 Mbit/s.
	regionBandwidth = 60_000_000 / 8
	regionLatency   = 12 * time.Millisecond
	// smallBandwidth is that of the smaller instances: 10 Mbit/s.
	smallBandwidth = 10_000_000 / 8
	// linkChunk is what one transfer has on its way; transfers take turns by chunks.
	linkChunk = 16 << 10
	// exchangeTimeout is that of keeper.Client.
	exchangeTimeout = time.Second
	// configBound is the time within which a change must be in force at relays in touch.
	configBound = 4 * time.Second
)

// link is one direction of a link.
type link struct {
	bandwidth int
	mutex     sync.Mutex
	// free is when all chunks so far will have been sent.
	free  time.Time
	bytes int
}

// reserve returns when a chunk will have been sent.
func (l *link) reserve(size int) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(size) * time.Second / time.Duration(l.bandwidth))
	l.bytes += size
	return l.free
}

// transfer sends a message over links one after the other, chunk by chunk.
func transfer(ctx context.Context, size int, links ...*link) error {
	for left := size; left > 0; left -= linkChunk {
		for _, l := range links {
			if err := sleepContext(ctx, time.Until(l.reserve(min(left, linkChunk)))); err != nil {
				return err
			}
		}
	}
	return nil
}

func sleepContext(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// regionKeepers are keepers in two regions with a slow link between them. The region is the first
// character of an address or a sender.
type regionKeepers struct {
	fakeKeepers
	// regions holds the link from each region to the other one.
	regions [2]*link
	// inbound and outbound hold the own links of the smaller instances.
	inbound, outbound map[string]*link
	timeouts          atomic.Int64
	// ended holds the keepers that have ended: true for those that do not even refuse connections.
	ended map[ident.Address]bool
	// tables holds the encoded size of each table.
	tables map[*table.Document]int
}

func (k *regionKeepers) Exchange(ctx context.Context, endpoint ident.Address, message *gossip.Message) (response gossip.Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	defer func() {
		if errors.Is(err, context.DeadlineExceeded) {
			k.timeouts.Add(1)
		}
	}()
	from, to := message.Sender[0], endpoint[0]
	if err := transfer(ctx, k.size(message), k.path(from, to, k.outbound[message.Sender])...); err != nil {
		return response, err
	}
	k.mutex.Lock()
	silent, ended := k.ended[endpoint]
	k.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return response, ctx.Err()
	}
	if ended {
		return response, errors.New("connection refused")
	}
	response, err = k.fakeKeepers.Exchange(ctx, endpoint, message)
	if err != nil {
		return response, err
	}
	return response, transfer(ctx, k.size(&response), k.path(to, from, k.inbound[message.Sender])...)
}

// path returns the links from one region to another, with an own link of an instance.
func (k *regionKeepers) path(from, to byte, own *link) (links []*link) {
	if from != to {
		time.Sleep(regionLatency)
		links = append(links, k.regions[from-'0'])
	}
	if own != nil {
		links = append(links, own)
	}
	return links
}

// size returns the encoded size of a message. Tables are encoded once.
func (k *regionKeepers) size(message *gossip.Message) int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	without := *message
	without.Table = nil
	data, err := json.Marshal(without)
	if err != nil {
		panic(err)
	}
	return len(data) + k.tableSize(message.Table)
}

func (k *regionKeepers) tableSize(document *table.Document) int {
	if document == nil {
		return 0
	}
	if _, known := k.tables[document]; !known {
		encoded, err := json.Marshal(document)
		if err != nil {
			panic(err)
		}
		k.tables[document] = len(encoded)
	}
	return k.tables[document]
}

// end ends a keeper.
func (k *regionKeepers) end(keeper ident.Address, silent bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ended[keeper] = silent
}

// storm plays a storm of large configurations in two regions.
type storm struct {
	keepers *regionKeepers
	relays  []*Gossip
	// turnedAway holds the relays whose calls the store rejects.
	turnedAway map[*Gossip]bool
	random     *rand.Rand
	routes     []table.Route
	// silent is set if the keepers of engines that have left do not even refuse connections.
	silent bool
	// engines are in service; all of them ever have had numbers below next.
	engines  []pool.Endpoint
	next     int
	revision pool.Revision

	mutex sync.Mutex
	// tables holds the tables that the operator has sent, in order.
	tables []*table.Document
}

const (
	stormRelays  = 31
	stormEngines = 41
	stormRoutes  = 1440
	stormGap     = 800 * time.Millisecond
)

func newStorm(t *testing.T, seed uint64) *storm {
	t.Helper()
	s := &storm{
		keepers: &regionKeepers{
			fakeKeepers: fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}, ended: map[ident.Address]bool{}, tables: map[*table.Document]int{},
			regions: [2]*link{{bandwidth: regionBandwidth}, {bandwidth: regionBandwidth}}, inbound: map[string]*link{}, outbound: map[string]*link{},
		},
		turnedAway: map[*Gossip]bool{}, random: rand.New(rand.NewPCG(seed, 53)), revision: 2,
	}
	for range stormEngines {
		s.engines = append(s.engines, s.newEngine())
	}
	for i := range stormRelays {
		r := newTestRelay(t, &fakeBackend{})
		g := NewGossip(r, r.config.Pool, s.keepers, fmt.Sprintf("%d-front-%d", i*2/stormRelays, i))
		g.pool.ApplySnapshot(s.engines, s.revision, false)
		s.relays = append(s.relays, g)
		s.turnedAway[g] = s.random.IntN(2) == 0
		if i%5 > 1 {
			s.keepers.inbound[g.self], s.keepers.outbound[g.self] = &link{bandwidth: smallBandwidth}, &link{bandwidth: smallBandwidth}
		}
	}
	for i := range stormRoutes {
		s.routes = append(s.routes, table.Route{
			Name: fmt.Sprintf("r-%08x", s.random.Uint32()), Host: fmt.Sprintf("host%d.example", i%40), Prefix: fmt.Sprintf("/%08x/", s.random.Uint32()), Kind: table.Lookup,
			Timeout: time.Second, TargetLatency: 200 * time.Millisecond, Priority: 2, MaxEndpoints: 2,
			WeightedServices: []table.WeightedService{{Service: "plain", Weight: 1}},
		})
	}
	return s
}

func (s *storm) newEngine() pool.Endpoint {
	s.next++
	name := fmt.Sprintf("%d-e%d-%08x", s.random.IntN(2), s.next, s.random.Uint32())
	return pool.Endpoint{Name: ident.EndpointName(name), Service: "model", Version: "v1", Stage: pool.Decode, Address: ident.Address(name + ":1"), Slots: 64}
}

// tell calls a function for each relay when the store tells it of a change of the endpoints: the first few
// watch the store continuously, the others with a pause.
func (s *storm) tell(apply func(*Gossip)) {
	for _, g := range s.relays {
		delay := time.Duration(0)
		if !g.IsWatcher() {
			delay = time.Duration(s.random.Int64N(int64(relaxedWatchPause)))
		}
		if !s.turnedAway[g] {
			g.relay.tasks.Go(func() {
				time.Sleep(delay)
				apply(g)
				g.Announce()
			})
		}
	}
}

// watch watches the store, which stands in the first region, for tables. A watch returns all that were sent
// since the one before.
func (s *storm) watch(ctx context.Context, g *Gossip) {
	for seen := 0; ctx.Err() == nil; {
		if !g.IsWatcher() {
			time.Sleep(relaxedWatchPause)
		}
		s.mutex.Lock()
		news := s.tables[seen:]
		s.mutex.Unlock()
		if len(news) == 0 {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		size := 0
		s.keepers.mutex.Lock()
		for _, d := range news {
			size += s.keepers.tableSize(d)
		}
		s.keepers.mutex.Unlock()
		if transfer(ctx, size, s.keepers.path('0', g.self[0], s.keepers.inbound[g.self])...) != nil {
			return
		}
		seen += len(news)
		if g.relay.SetTable(news[len(news)-1]) {
			g.Announce()
		}
	}
}

// replaceEngine replaces an engine, whose keeper ends.
func (s *storm) replaceEngine() {
	i, added := s.random.IntN(len(s.engines)), s.newEngine()
	removed := s.engines[i]
	s.engines[i] = added
	s.revision++
	at := s.revision
	s.keepers.end(removed.Address, s.silent && s.random.IntN(2) == 0)
	s.tell(func(g *Gossip) {
		g.pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: removed.Name}, Deleted: true}, {Endpoint: added}}, at, false)
	})
}

// run sends some tables and returns the longest time that a relay took to receive a table.
func (s *storm) run(ctx context.Context, tables table.Version) (longest time.Duration, slowest *Gossip) {
	time.Sleep(4 * time.Second)
	sentAt := map[table.Version]time.Time{}
	last := table.Version(1)
	document := *s.relays[0].relay.Table().Document
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < time.Duration(tables-1)*stormGap+2*configBound {
		if elapsed := time.Since(began); last <= tables && elapsed >= time.Duration(last-1)*stormGap {
			last++
			d := document
			d.Version, d.Routes = last, append([]table.Route{}, s.routes...)
			d.Routes = append(d.Routes, document.Routes...)
			sentAt[last] = time.Now()
			s.mutex.Lock()
			s.tables = append(s.tables, &d)
			s.mutex.Unlock()
			s.replaceEngine()
		}
		time.Sleep(50 * time.Millisecond)
		for _, g := range s.relays {
			if next := g.relay.Table().Version + 1; next <= last && time.Since(sentAt[next]) > longest {
				longest, slowest = time.Since(sentAt[next]), g
			}
		}
	}
	return longest, slowest
}

// TestStormOfLargeTables guards against relays that serve by an old routing table for longer than allowed
// as copies of large tables fill the link between two regions: the store turns half of the relays away.
func TestStormOfLargeTables(t *testing.T) {
	for number := range seed.Count(3) {
		t.Run("seed "+strconv.Itoa(number), func(t *testing.T) {
			playStorm(t, uint64(number), 10, false)
		})
	}
}

// TestStormWithSilentHubs guards against relays that serve by an old routing table for longer than allowed
// as they wait for hubs that are silent, one after the other.
func TestStormWithSilentHubs(t *testing.T) {
	for number := range seed.Count(2) {
		t.Run("seed "+strconv.Itoa(number), func(t *testing.T) {
			playStorm(t, uint64(number), 20, true)
		})
	}
}

func playStorm(t *testing.T, number uint64, tables table.Version, silent bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newStorm(t, number)
		s.silent = silent
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range s.relays {
			g.relay.tasks.Go(func() { g.Run(ctx) })
			if !s.turnedAway[g] {
				g.relay.tasks.Go(func() { s.watch(ctx, g) })
			}
		}
		longest, slowest := s.run(ctx, tables)
		cancel()
		for _, g := range s.relays {
			g.relay.Wait()
		}
		t.Logf("a table took %v at most; between regions %.1f MB and %.1f MB; exchanges timed out %d", longest,
			float64(s.keepers.regions[0].bytes)/1e6, float64(s.keepers.regions[1].bytes)/1e6, s.keepers.timeouts.Load())
		assert.Check(t, silent || s.keepers.timeouts.Load() == 0, "all hubs respond at once or refuse connections")
		assert.Check(t, longest <= configBound, "a table took %v to reach %s", longest, slowest.self)
	})
}
