package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
)

// TestRefreshAtEarlierHubs guards against a relay that missed two changes of the endpoints, asks hubs
// that no announcement went to, and takes the old version for the only one.
func TestRefreshAtEarlierHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
		gossips := newGossips(t, keepers, "ahead", "behind")
		ahead, behind := gossips[0], gossips[1]
		ctx, cancel := context.WithCancel(t.Context())
		go ahead.Run(ctx)
		ahead.Announce()
		time.Sleep(10 * time.Millisecond)
		// Engines of another service become the hubs first.
		others := engines("v2", 60)
		for i := range others {
			others[i].Endpoint.Service = "other"
		}
		for i, changes := range [][]pool.Change{others, engines("v3", 1)} {
			ahead.pool.ApplyChanges(changes, pool.Revision(2+i), false)
			ahead.Announce()
			time.Sleep(10 * time.Millisecond)
		}
		for _, hub := range behind.hubs() {
			assert.Assert(t, !slices.ContainsFunc(ahead.hubs(), func(e pool.Endpoint) bool { return e.Address == hub.Address }))
		}
		assert.Assert(t, behind.Refresh(ctx))
		_, _, possible := behind.pool.NextSingleVersion("model", 0)
		assert.Assert(t, !possible, "the hubs of this relay do not know the second version")
		cancel()
		synctest.Wait()
	})
}

// TestStreamsBeginAtAcknowledgedVersions guards against streams that begin at a version which most
// hubs do not know, so that no other relay can learn of it, and against endpoints without use.
func TestStreamsBeginAtAcknowledgedVersions(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(g *Gossip, cut func(bool))
		versions map[ident.SoftwareVersion]bool
		within   time.Duration
	}{
		{
			testName: "most hubs know both", versions: map[ident.SoftwareVersion]bool{"v1": true, "v2": true},
			run: func(g *Gossip, _ func(bool)) { g.Acknowledge(context.Background()) },
		},
		{testName: "the new one was not announced", versions: map[ident.SoftwareVersion]bool{"v1": true}, run: func(*Gossip, func(bool)) {}},
		{
			testName: "the hubs do not respond", versions: map[ident.SoftwareVersion]bool{"v1": true},
			run: func(g *Gossip, cut func(bool)) { cut(true); g.Acknowledge(context.Background()) },
		},
		{
			testName: "the hubs respond again", versions: map[ident.SoftwareVersion]bool{"v1": true, "v2": true},
			run: func(g *Gossip, cut func(bool)) {
				cut(true)
				g.Acknowledge(context.Background())
				cut(false)
				time.Sleep(acknowledgePause)
				g.Acknowledge(context.Background())
			},
		},
		{
			testName: "the hubs do not respond for long", versions: map[ident.SoftwareVersion]bool{"v1": true, "v2": true},
			run: func(g *Gossip, cut func(bool)) {
				cut(true)
				g.Acknowledge(context.Background())
				time.Sleep(maxUnacknowledged)
			},
		},
		{
			testName: "the old one has ended", versions: map[ident.SoftwareVersion]bool{"v2": true},
			run: func(g *Gossip, cut func(bool)) {
				cut(true)
				removeVersion(g.pool, "v1")
			},
		},
		{
			testName: "one that ended and came back is new", versions: map[ident.SoftwareVersion]bool{"v1": true},
			run: func(g *Gossip, _ func(bool)) {
				g.Acknowledge(context.Background())
				removeVersion(g.pool, "v2")
				g.pool.ApplyChanges(engines("v2", 1), g.pool.Revision()+1, false)
			},
		},
		{
			testName: "a list may hide that a version has come back", versions: map[ident.SoftwareVersion]bool{"v1": true, "v2": true},
			run: func(g *Gossip, _ func(bool)) {
				g.Acknowledge(context.Background())
				list, at := g.pool.Snapshot()
				g.pool.ApplySnapshot(list, at+1, false)
				assert.Assert(t, !g.pool.Acknowledged("model", "v2", maxUnacknowledged))
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keepers := &fakeKeepers{hubs: map[ident.Address]*gossip.Hub{}}
				g := newGossips(t, keepers, "a")[0]
				g.relay.config.Acknowledge = g.Acknowledge
				g.Acknowledge(t.Context())
				g.pool.ApplyChanges(engines("v2", 1), g.pool.Revision()+1, false)
				g.pool.Unacknowledged(maxUnacknowledged)
				s.run(g, func(cut bool) {
					keepers.mutex.Lock()
					defer keepers.mutex.Unlock()
					keepers.unreachable = cut
				})
				route, _ := g.relay.Table().Match("h", "/resume/x")
				e := &exchange{Relay: g.relay, request: &Request{Attempt: "a1", Prompt: &Prompt{}}, route: route, service: g.relay.Table().Services["model"]}
				began, versions := time.Now(), map[ident.SoftwareVersion]bool{}
				for _, m := range e.beginsAt(t.Context(), g.pool.Members("model", pool.Decode)) {
					versions[m.Version] = true
				}
				assert.DeepEqual(t, versions, s.versions)
				assert.Assert(t, time.Since(began) <= acknowledgeTimeout)
				g.relay.Wait()
			})
		})
	}
}

// removeVersion removes all endpoints of a version.
func removeVersion(p *pool.Pool, version ident.SoftwareVersion) {
	list, at := p.Snapshot()
	var changes []pool.Change
	for _, e := range list {
		if e.Version == version {
			changes = append(changes, pool.Change{Endpoint: pool.Endpoint{Name: e.Name}, Deleted: true})
		}
	}
	p.ApplyChanges(changes, at+1, false)
}
