package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/table"
)

// boards are keepers with their boards, by endpoint.
type boards struct {
	mutex sync.Mutex
	all   map[ident.Address]*gossip.Hub
	// lost has every second message lost after it arrived.
	lost  bool
	count int
	// away is set while no keeper answers.
	away bool
}

func (b *boards) Exchange(_ context.Context, endpoint ident.Address, bulletin *gossip.Message) (gossip.Message, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.away {
		return gossip.Message{}, errors.New("no answer")
	}
	b.count++
	if b.all[endpoint] == nil {
		b.all[endpoint] = gossip.NewHub()
	}
	out := b.all[endpoint].Exchange(bulletin, time.Now())
	if b.lost && b.count%2 == 0 {
		return gossip.Message{}, errors.New("the answer was lost")
	}
	return *out, nil
}

func newGossips(t *testing.T, keepers *boards, names ...string) []*Gossip {
	t.Helper()
	var all []*Gossip
	for _, name := range names {
		r := newTestRelay(t, &standIn{})
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
		{testName: "news reach a relay that the store turns away", within: 3 * gossipInterval},
		{testName: "news arrive though every second message is lost", lost: true, within: 8 * gossipInterval},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keepers := &boards{all: map[ident.Address]*gossip.Hub{}, lost: s.lost}
				gossips := newGossips(t, keepers, "a", "b", "c", "d", "e")
				ctx, cancel := context.WithCancel(t.Context())
				for _, g := range gossips {
					go g.Run(ctx)
				}
				time.Sleep(4 * time.Second)
				served, turnedAway := gossips[0], gossips[4]
				d := *served.relay.Table().Document
				d.Version = 9
				served.relay.SetTable(&d)
				served.pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: "p1"}, Gone: true}}, 7, false)
				served.Changed()
				time.Sleep(s.within)
				assert.Equal(t, turnedAway.relay.Table().Version, table.Version(9))
				assert.Equal(t, turnedAway.pool.Revision(), pool.Revision(7))
				assert.Equal(t, turnedAway.Peers(), 5)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestFewRelaysWatch has the first three of five look at the store often, and all
// of them once no keeper answers.
func TestFewRelaysWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &boards{all: map[ident.Address]*gossip.Hub{}}
		gossips := newGossips(t, keepers, "a", "b", "c", "d", "e")
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range gossips {
			assert.Assert(t, g.Watches(), "a relay that has heard of nobody looks itself")
			go g.Run(ctx)
		}
		time.Sleep(6 * time.Second)
		for i, g := range gossips {
			assert.Equal(t, g.Watches(), i < watchers)
			assert.Equal(t, g.Leads(), i == 0)
		}
		keepers.mutex.Lock()
		keepers.away = true
		keepers.mutex.Unlock()
		time.Sleep(heardLife + gossipInterval)
		for _, g := range gossips {
			assert.Assert(t, g.Watches())
		}
		cancel()
		synctest.Wait()
	})
}
