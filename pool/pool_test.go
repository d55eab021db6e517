package pool

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/ident"
)

func endpoint(name string) Endpoint {
	return Endpoint{Name: ident.EndpointName(name), StartMillis: 1, Service: "s", Address: "10.0.0.1:1", Slots: 4}
}

func names(p *Pool) []string {
	var list []string
	for _, m := range p.Members("s", Combined) {
		list = append(list, string(m.Name))
	}
	return list
}

func TestPool(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, p *Pool)
	}{
		{
			testName: "an older snapshot does not restore a deleted endpoint",
			run: func(t *testing.T, p *Pool) {
				p.ApplyChanges([]Change{{Endpoint: endpoint("a"), Deleted: true}}, 6, false)
				assert.Assert(t, !p.ApplySnapshot([]Endpoint{endpoint("a")}, 5, false))
				assert.Equal(t, len(names(p)), 0)
			},
		},
		{
			testName: "a draining endpoint is immediately excluded from new requests",
			run: func(t *testing.T, p *Pool) {
				e := endpoint("a")
				e.Draining = true
				p.ApplyChanges([]Change{{Endpoint: e}}, 6, false)
				assert.Equal(t, len(names(p)), 0)
				assert.Assert(t, !p.Usable(endpoint("a")))
			},
		},
		{
			testName: "an endpoint whose record lapsed in an outage stays in use for two seconds",
			run: func(t *testing.T, p *Pool) {
				p.ApplySnapshot(nil, 6, true)
				recovered := time.Now()
				assert.Equal(t, len(names(p)), 1)
				time.Sleep(lapsedGrace / 2)
				assert.Equal(t, len(p.RemoveLapsed(time.Now(), recovered)), 0)
				time.Sleep(lapsedGrace)
				assert.Equal(t, len(p.RemoveLapsed(time.Now(), recovered)), 1)
				assert.Equal(t, len(names(p)), 0)
			},
		},
		{
			testName: "a lapsed record that is written again is no longer lapsed",
			run: func(t *testing.T, p *Pool) {
				p.ApplySnapshot(nil, 6, true)
				p.ApplyChanges([]Change{{Endpoint: endpoint("a")}}, 7, true)
				time.Sleep(2 * lapsedGrace)
				assert.Equal(t, len(p.RemoveLapsed(time.Now(), time.Now().Add(-time.Hour))), 0)
				assert.Assert(t, !p.Members("s", Combined)[0].Lapsed)
			},
		},
		{
			testName: "a removal without an outage applies immediately",
			run: func(t *testing.T, p *Pool) {
				p.ApplySnapshot(nil, 6, false)
				assert.Equal(t, len(names(p)), 0)
			},
		},
		{
			testName: "a new process of the same name starts with a clean state",
			run: func(t *testing.T, p *Pool) {
				p.Begin(endpoint("a"), 100)(Unreachable, 0)
				e := endpoint("a")
				e.StartMillis = 2
				p.ApplyChanges([]Change{{Endpoint: e}}, 6, false)
				assert.Assert(t, !p.Members("s", Combined)[0].Suspended)
				assert.Assert(t, !p.Usable(endpoint("a")))
			},
		},
		{
			testName: "a late write of the previous process is ignored",
			run: func(t *testing.T, p *Pool) {
				e := endpoint("a")
				e.StartMillis = 2
				p.ApplyChanges([]Change{{Endpoint: e}}, 6, false)
				old := endpoint("a")
				old.Draining = true
				p.ApplyChanges([]Change{{Endpoint: old}}, 7, false)
				assert.Equal(t, len(names(p)), 1)
			},
		},
		{
			testName: "a record left after a power failure is ignored once a later process has its address",
			run: func(t *testing.T, p *Pool) {
				later := endpoint("b")
				later.StartMillis = 2
				p.ApplyChanges([]Change{{Endpoint: later}}, 6, false)
				assert.DeepEqual(t, names(p), []string{"b"})
				p.ApplyChanges([]Change{{Endpoint: later, Deleted: true}}, 7, false)
				assert.DeepEqual(t, names(p), []string{"a"})
			},
		},
		{
			testName: "an endpoint at whose address another process responds is excluded for a while",
			run: func(t *testing.T, p *Pool) {
				p.Begin(endpoint("a"), 0)(Mismatch, 0)
				assert.Equal(t, len(names(p)), 0)
				time.Sleep(mismatchExclusion)
				assert.Equal(t, len(names(p)), 1)
			},
		},
		{
			testName: "a failed connection suspends an endpoint until a success",
			run: func(t *testing.T, p *Pool) {
				p.Begin(endpoint("a"), 0)(Unreachable, 0)
				assert.Assert(t, p.Members("s", Combined)[0].Suspended)
				p.Begin(endpoint("a"), 0)(Success, time.Millisecond)
				assert.Assert(t, !p.Members("s", Combined)[0].Suspended)
			},
		},
		{
			testName: "a request counts until it ends, and its end counts once",
			run: func(t *testing.T, p *Pool) {
				end := p.Begin(endpoint("a"), 70)
				assert.Equal(t, p.Members("s", Combined)[0].PromptTokens, ident.TokenCount(70))
				end(Neutral, 0)
				end(Neutral, 0)
				assert.Equal(t, p.Members("s", Combined)[0].Outstanding, 0)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool()
				p.ApplySnapshot([]Endpoint{endpoint("a")}, 5, false)
				s.run(t, p)
			})
		})
	}
}

// TestRevisionNeverDecreases applies snapshots and changes of any revision in any order,
// as they arrive from peers and the store: the newest must stay active.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool()
		newest := Revision(-1)
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			revision := Revision(rapid.IntRange(0, 9).Draw(t, "revision"))
			e := endpoint("a")
			e.Slots = int(revision)
			if rapid.Bool().Draw(t, "snapshot") {
				p.ApplySnapshot([]Endpoint{e}, revision, false)
			} else if newest >= 0 {
				p.ApplyChanges([]Change{{Endpoint: e}}, revision, false)
			} else {
				continue
			}
			newest = max(newest, revision)
			list, at := p.Snapshot()
			if at != newest || list[0].Slots != int(newest) {
				t.Fatalf("at %d with %v, newest %d", at, list, newest)
			}
		}
	})
}

// TestChangesSince synchronizes one pool with another, by changes from any revision or
// by a snapshot where the log does not reach back: both must then be equal.
func TestChangesSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead, behind := NewPool(), NewPool()
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := Revision(i + 1)
			e := endpoint(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
			e.Slots = i
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				ahead.ApplySnapshot([]Endpoint{e}, revision, false)
			case 1:
				ahead.ApplyChanges([]Change{{Endpoint: e, Deleted: true}}, revision, false)
			case 2:
				ahead.ApplyChanges([]Change{{Endpoint: e}}, revision, false)
			case 3:
				if changes, known := ahead.ChangesSince(behind.Revision()); known && behind.Loaded() {
					behind.ApplyChanges(changes, ahead.Revision(), false)
				} else if ahead.Loaded() {
					list, at := ahead.Snapshot()
					behind.ApplySnapshot(list, at, false)
				}
				want, _ := ahead.Snapshot()
				got, at := behind.Snapshot()
				if at != ahead.Revision() || !slices.Equal(got, want) {
					t.Fatalf("%v at %d, want %v at %d", got, at, want, ahead.Revision())
				}
			}
		}
	})
}
