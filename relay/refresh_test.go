package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/store"
)

// engines returns decode engines of a version.
func engines(version ident.SoftwareVersion, count int) (changes []pool.Change) {
	for i := range count {
		name := fmt.Sprintf("%s-%d", version, i)
		changes = append(changes, pool.Change{Endpoint: pool.Endpoint{
			Name: ident.EndpointName(name), Service: "model", Version: version, Stage: pool.Decode, Address: ident.Address(name + ":1"),
		}})
	}
	return changes
}

// TestRefresh guards against a relay that takes a version for the only one while another relay,
// which has heard of the next one first, has begun streams at it.
func TestRefresh(t *testing.T) {
	scenarios := []struct {
		testName string
		arriving int
		cut      bool
	}{
		{testName: "the next version is announced", arriving: 1},
		{testName: "its engines become the hubs", arriving: 60},
		{testName: "no hub responds", cut: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
				gossips := newGossips(t, keepers, "ahead", "behind")
				ahead, behind := gossips[0], gossips[1]
				ctx, cancel := context.WithCancel(t.Context())
				go ahead.Run(ctx)
				ahead.Announce()
				time.Sleep(10 * time.Millisecond)
				ahead.pool.ApplyChanges(engines("v2", s.arriving), 2, false)
				ahead.Announce()
				time.Sleep(10 * time.Millisecond)
				keepers.mutex.Lock()
				keepers.unreachable = s.cut
				keepers.mutex.Unlock()
				if s.arriving > hubCount {
					old, shared := behind.hubs(), 0
					for _, hub := range ahead.hubs() {
						if slices.ContainsFunc(old, func(e pool.Endpoint) bool { return e.Address == hub.Address }) {
							shared++
						}
					}
					assert.Equal(t, shared, 0, "the relays have hubs in common")
				}
				_, single := behind.pool.SingleVersion("model", 0)
				assert.Assert(t, single, "this relay has heard of the version already")
				assert.Equal(t, behind.Refresh(ctx), !s.cut)
				_, _, possible := behind.pool.NextSingleVersion("model", 0)
				assert.Equal(t, possible, s.arriving == 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestHistoryAfterAllRelaysRestarted starts relays that have only the store's present list and a hub
// that knows what ran before.
func TestHistoryAfterAllRelaysRestarted(t *testing.T) {
	scenarios := []struct {
		testName string
		// earlier and gap are the versions that came and went before the relays were killed, and
		// while none ran.
		earlier, gap ident.SoftwareVersion
		err          error
		single       bool
		calls        int
	}{
		{testName: "one version all the time", single: true, calls: 1},
		{testName: "another version before", earlier: "v2", calls: 1},
		{testName: "another version while no relay ran", gap: "v2", calls: 1},
		{testName: "the store has no changes from then any more", err: store.ErrCompacted, calls: 1},
		{testName: "the store was restored from a copy", err: store.ErrRestored, calls: 1},
		{testName: "the store does not respond", err: store.ErrUnavailable, calls: hubCount},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
				killed := newGossips(t, keepers, "killed")[0]
				killed.Refresh(t.Context())
				time.Sleep(maxTakeUpDelay)
				if s.earlier != "" {
					killed.pool.ApplyChanges(engines(s.earlier, 1), 2, false)
				}
				killed.Refresh(t.Context())

				started := newGossips(t, keepers, "started")[0]
				list, _ := started.pool.Snapshot()
				started.pool = pool.NewPool()
				started.pool.ApplySnapshot(list, 9, false)
				calls := 0
				started.relay.config.EndpointChanges = func(context.Context, pool.Revision) ([]pool.Change, pool.Revision, error) {
					calls++
					if s.gap != "" {
						return engines(s.gap, 1), 9, nil
					}
					return nil, 9, s.err
				}
				assert.Assert(t, started.Refresh(t.Context()))
				_, single := started.pool.SingleVersion("model", maxTakeUpDelay)
				assert.Equal(t, single, s.single)
				assert.Equal(t, calls, s.calls)
				// What the next relay learns from the hubs is no more than that.
				next := newGossips(t, keepers, "next")[0]
				next.pool = pool.NewPool()
				next.pool.ApplySnapshot(list, 9, false)
				assert.Assert(t, next.Refresh(t.Context()))
				_, single = next.pool.SingleVersion("model", maxTakeUpDelay)
				assert.Equal(t, single, s.single)
			})
		})
	}
}

// slowKeepers respond after a while.
type slowKeepers time.Duration

func (k slowKeepers) Exchange(context.Context, ident.Address, *gossip.Message) (gossip.Message, error) {
	time.Sleep(time.Duration(k))
	return gossip.Message{}, nil
}

// TestRefreshEndsWithItsCaller guards against a take-up that waits for another one's refresh beyond its
// own deadline.
func TestRefreshEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGossips(t, nil, "a")[0]
		g.keepers = slowKeepers(time.Second)
		go g.Refresh(t.Context())
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		assert.Assert(t, !g.Refresh(ctx))
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		time.Sleep(2 * time.Second)
	})
}
