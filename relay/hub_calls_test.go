package relay

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/table"
)

// silentKeepers are keepers of which some are silent.
type silentKeepers struct {
	fakeKeepers
	silent map[ident.Address]bool
}

func (k *silentKeepers) Exchange(ctx context.Context, endpoint ident.Address, message *gossip.Message) (gossip.Message, error) {
	k.mutex.Lock()
	silent := k.silent[endpoint]
	k.mutex.Unlock()
	if silent {
		_ = sleepContext(ctx, exchangeTimeout)
		return gossip.Message{}, errors.New("no response")
	}
	return k.fakeKeepers.Exchange(ctx, endpoint, message)
}

// TestSilentHubsDelayNoOther guards against relays that learn a routing table late, as they and the relay that announces it wait for
// silent hubs before they call the one that responds.
func TestSilentHubsDelayNoOther(t *testing.T) {
	for number := range 20 {
		t.Run(strconv.Itoa(number), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keepers := &silentKeepers{fakeKeepers: fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}, silent: map[ident.Address]bool{}}
				var all []*Gossip
				for _, name := range []string{"a", "b", "c", "d", "e"} {
					r := newTestRelay(t, &fakeBackend{})
					all = append(all, NewGossip(r, r.config.Pool, keepers, name))
				}
				ctx, cancel := context.WithCancel(t.Context())
				for _, g := range all {
					g.relay.tasks.Go(func() { g.Run(ctx) })
				}
				time.Sleep(4 * time.Second)
				hubs := all[0].hubs()
				keepers.mutex.Lock()
				for i := range hubs {
					keepers.silent[hubs[i].Address] = i != number%hubCount
				}
				keepers.mutex.Unlock()
				d := *all[0].relay.Table().Document
				d.Version = 9
				all[0].relay.SetTable(&d)
				all[0].Announce()
				// The hubs take turns, and a turn comes after 0.9 s at the latest.
				time.Sleep(hubCount*gossipInterval*3/2 + 50*time.Millisecond)
				for _, g := range all {
					assert.Check(t, g.relay.Table().Version == table.Version(9), "relay %s has version %d", g.self, g.relay.Table().Version)
				}
				cancel()
				for _, g := range all {
					g.relay.Wait()
				}
			})
		})
	}
}
