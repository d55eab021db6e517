package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/gossip"
	"crocusstep/ident"
)

// TestStopIsKnownInZone guards against relays that stop and do not learn through the hubs whether another
// one of their zone takes requests.
func TestStopIsKnownInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
		gossips := newGossips(t, keepers, "a1", "a2", "b1")
		ctx, cancel := context.WithCancel(t.Context())
		first, endFirst := context.WithCancel(ctx)
		contexts := []context.Context{first, ctx, ctx}
		for i, zone := range []ident.ZoneName{"a", "a", "b"} {
			gossips[i].relay.config.Topology.Zone = zone
			gossips[i].relay.SetListed()
			go gossips[i].Run(contexts[i])
		}
		time.Sleep(6 * time.Second)
		isAlone := func(i int) bool { return gossips[i].relay.alone.Load() }
		assert.Assert(t, !isAlone(0) && !isAlone(1))
		assert.Assert(t, isAlone(2), "relays of other zones do not count")
		stop := Stop{End: time.Now().Add(7 * time.Second), Unlisted: time.Now().Add(2 * time.Second)}
		gossips[0].relay.Drain(stop)
		gossips[0].AnnounceAvailability()
		time.Sleep(time.Millisecond)
		gossips[1].relay.Drain(stop)
		gossips[1].AnnounceAvailability()
		time.Sleep(time.Millisecond)
		assert.Assert(t, isAlone(1), "the other relay of the zone stops")
		time.Sleep(hubCount * gossipInterval)
		assert.Assert(t, isAlone(0))
		endFirst()
		restarted := newGossips(t, keepers, "a1")[0]
		restarted.relay.config.Topology.Zone = "a"
		go restarted.Run(ctx)
		time.Sleep(2 * hubCount * gossipInterval)
		assert.Assert(t, isAlone(1), "the load balancer sends the restarted relay no requests yet")
		restarted.relay.SetListed()
		restarted.AnnounceAvailability()
		time.Sleep(2 * hubCount * gossipInterval)
		assert.Assert(t, !isAlone(1))
		cancel()
		synctest.Wait()
	})
}

// TestRestartedHubKnowsNoStops guards against stopping relays that send callers away for seconds although
// another one of their zone takes requests, as a hub that has restarted has not heard of that one.
func TestRestartedHubKnowsNoStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
		gossips := newGossips(t, keepers, "a1", "a2", "a3")
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range gossips {
			g.relay.config.Topology.Zone = "a"
			g.relay.SetListed()
			go g.Run(ctx)
		}
		time.Sleep(6 * time.Second)
		keepers.mutex.Lock()
		clear(keepers.hubs)
		keepers.mutex.Unlock()
		alone := 0
		for range 300 {
			time.Sleep(20 * time.Millisecond)
			for _, g := range gossips {
				if g.relay.alone.Load() {
					alone++
				}
			}
		}
		assert.Equal(t, alone, 0)
		cancel()
		synctest.Wait()
	})
}
