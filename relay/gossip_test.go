package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/clock"
	"crocusstep/crash"
	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/retry"
	"crocusstep/table"
)

// fakeKeepers holds the gossip hub of each keeper by its endpoint's address.
type fakeKeepers struct {
	mutex sync.Mutex
	hubs  map[ident.Address]*gossip.Hub
	// lost drops every second response to each sender, after the message has arrived.
	lost bool
	// counts holds the number of each sender's messages.
	counts map[string]int
	// unreachable is set while no keeper responds.
	unreachable bool
}

func (k *fakeKeepers) Exchange(_ context.Context, endpoint ident.Address, message *gossip.Message) (gossip.Message, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.unreachable {
		return gossip.Message{}, errors.New("no response")
	}
	if k.counts == nil {
		k.counts = map[string]int{}
	}
	k.counts[message.Sender]++
	if k.hubs[endpoint] == nil {
		k.hubs[endpoint] = gossip.NewHub()
	}
	out := k.hubs[endpoint].Exchange(message, time.Now())
	if k.lost && k.counts[message.Sender]%2 == 0 {
		return gossip.Message{}, errors.New("the response was lost")
	}
	return *out, nil
}

func newGossips(t *testing.T, keepers *fakeKeepers, names ...string) []*Gossip {
	t.Helper()
	var all []*Gossip
	for _, name := range names {
		r := newTestRelay(t, &fakeBackend{})
		all = append(all, NewGossip(r, r.config.Pool, keepers, name))
	}
	return all
}

func TestGossip(t *testing.T) {
	scenarios := []struct {
		testName string
		lost     bool
		within   time.Duration
	}{
		{testName: "changes reach a relay that the store rejects", within: 3 * gossipInterval},
		{testName: "changes arrive although every second message is lost", lost: true, within: 8 * gossipInterval},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}, lost: s.lost}
				gossips := newGossips(t, keepers, "a", "b", "c", "d", "e")
				ctx, cancel := context.WithCancel(t.Context())
				for _, g := range gossips {
					go g.Run(ctx)
				}
				time.Sleep(4 * time.Second)
				source, rejected := gossips[0], gossips[4]
				d := *source.relay.Table().Document
				d.Version = 9
				source.relay.SetTable(&d)
				source.pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: "p1"}, Deleted: true}}, 7, false)
				source.Announce()
				time.Sleep(s.within)
				assert.Equal(t, rejected.relay.Table().Version, table.Version(9))
				assert.Equal(t, rejected.pool.Revision(), pool.Revision(7))
				assert.Equal(t, rejected.RelayCount(), 5)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestDifferentCrashesOfEqualNumber lets each relay know another crash of a request. It guards against
// relays that never tell each other as they know equally many: all must refuse the request within the
// 4 s that the users allow for relays in touch.
func TestDifferentCrashesOfEqualNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
		gossips := newGossips(t, keepers, "a", "b", "c", "d", "e")
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range gossips {
			go g.Run(ctx)
		}
		time.Sleep(4 * time.Second)
		for _, g := range gossips {
			g.relay.crashes.RecordCrash(crash.Report{Fingerprint: "f", Attempt: g.self}, time.Now())
		}
		time.Sleep(4 * time.Second)
		for _, g := range gossips {
			assert.Check(t, g.relay.crashes.Blocked("f", nil, time.Now()), "relay %s knows %d crashes", g.self, g.relay.crashes.Size())
		}
		cancel()
		synctest.Wait()
	})
}

// The first three of five relays watch the store, and all of them once no keeper
// responds.
func TestFewRelaysWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
		gossips := newGossips(t, keepers, "a", "b", "c", "d", "e")
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range gossips {
			assert.Assert(t, g.IsWatcher(), "a relay without contact to a keeper watches the store itself")
			go g.Run(ctx)
		}
		time.Sleep(6 * time.Second)
		for i, g := range gossips {
			assert.Equal(t, g.IsWatcher(), i < watcherCount)
			assert.Equal(t, g.IsLeader(), i == 0)
		}
		keepers.mutex.Lock()
		keepers.unreachable = true
		keepers.mutex.Unlock()
		time.Sleep(keeperContactTTL + gossipInterval)
		for _, g := range gossips {
			assert.Assert(t, g.IsWatcher())
		}
		cancel()
		synctest.Wait()
	})
}

// TestContactClockStep guards against wall-clock steps of an instance: they neither hide a
// recent contact with a keeper nor prolong an old one.
func TestContactClockStep(t *testing.T) {
	scenarios := []struct {
		testName string
		step     time.Duration
		after    time.Duration
		watches  bool
	}{
		{testName: "a step forward does not end the contact", step: time.Minute, after: keeperContactTTL / 2},
		{testName: "a step back does not prolong the contact", step: -time.Minute, after: 2 * keeperContactTTL, watches: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			g, now := newGossips(t, &fakeKeepers{}, "z")[0], time.Now()
			g.rank.Store(watcherCount)
			g.recordContact(now)
			assert.Equal(t, g.isWatcherAt(clock.Step(now.Add(s.after), s.step)), s.watches)
		})
	}
}

// TestRetriesWithoutKeepers starts relays that reach no keeper, as where engines have no
// keepers or all are down: together they must stay within the shared slack of retries,
// however many there are.
func TestRetriesWithoutKeepers(t *testing.T) {
	const relays, slack = 200, 36
	retries := 0
	for _, g := range newGossips(t, &fakeKeepers{unreachable: true}, make([]string, relays)...) {
		l := retry.NewLimiter(retry.Limits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second})
		for l.TryAcquire(time.Now(), g.RelayCount()) {
			retries++
		}
	}
	assert.Assert(t, retries <= slack, "%d retries", retries)
}

// TestRelayCountWhenHubsRestart guards against limits that all relays divide and that grow when
// keepers restart: their hubs then know the few relays only that have sent a message since.
func TestRelayCountWhenHubsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
		gossips := newGossips(t, keepers, "a", "b", "c", "d", "e", "f", "g", "h")
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range gossips {
			go g.Run(ctx)
		}
		time.Sleep(6 * time.Second)
		keepers.mutex.Lock()
		clear(keepers.hubs)
		keepers.mutex.Unlock()
		lowest := len(gossips)
		for range 400 {
			time.Sleep(20 * time.Millisecond)
			for _, g := range gossips {
				lowest = min(lowest, g.RelayCount())
			}
		}
		assert.Equal(t, lowest, len(gossips))
		cancel()
		synctest.Wait()
	})
}
