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
			testName: "an older list does not bring a removed endpoint back",
			run: func(t *testing.T, p *Pool) {
				p.ApplyChanges([]Change{{Endpoint: endpoint("a"), Deleted: true}}, 6, false)
				assert.Assert(t, !p.ApplySnapshot([]Endpoint{endpoint("a")}, 5, false))
				assert.Equal(t, len(names(p)), 0)
			},
		},
		{
			testName: "a leaving endpoint takes no new work at once",
			run: func(t *testing.T, p *Pool) {
				e := endpoint("a")
				e.Draining = true
				p.ApplyChanges([]Change{{Endpoint: e}}, 6, false)
				assert.Equal(t, len(names(p)), 0)
				assert.Assert(t, !p.Usable(endpoint("a")))
			},
		},
		{
			testName: "a record that lapsed in an outage stays in use for two seconds",
			run: func(t *testing.T, p *Pool) {
				p.ApplySnapshot(nil, 6, true)
				returned := time.Now()
				assert.Equal(t, len(names(p)), 1)
				time.Sleep(lapseGrace / 2)
				assert.Equal(t, len(p.RemoveLapsed(time.Now(), returned)), 0)
				time.Sleep(lapseGrace)
				assert.Equal(t, len(p.RemoveLapsed(time.Now(), returned)), 1)
				assert.Equal(t, len(names(p)), 0)
			},
		},
		{
			testName: "a lapsed record that comes back is as before",
			run: func(t *testing.T, p *Pool) {
				p.ApplySnapshot(nil, 6, true)
				p.ApplyChanges([]Change{{Endpoint: endpoint("a")}}, 7, true)
				time.Sleep(2 * lapseGrace)
				assert.Equal(t, len(p.RemoveLapsed(time.Now(), time.Now().Add(-time.Hour))), 0)
				assert.Assert(t, !p.Members("s", Combined)[0].Lapsed)
			},
		},
		{
			testName: "a removal without an outage counts at once",
			run: func(t *testing.T, p *Pool) {
				p.ApplySnapshot(nil, 6, false)
				assert.Equal(t, len(names(p)), 0)
			},
		},
		{
			testName: "a new process of an old name knows nothing of the one before",
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
			testName: "a late write of the process before is passed over",
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
			testName: "after a power cut a record is left out once a later process has its address",
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
			testName: "an endpoint at whose address another process answers is left out for a while",
			run: func(t *testing.T, p *Pool) {
				p.Begin(endpoint("a"), 0)(Mismatch, 0)
				assert.Equal(t, len(names(p)), 0)
				time.Sleep(absentFor)
				assert.Equal(t, len(names(p)), 1)
			},
		},
		{
			testName: "a broken connection suspends, success ends that",
			run: func(t *testing.T, p *Pool) {
				p.Begin(endpoint("a"), 0)(Unreachable, 0)
				assert.Assert(t, p.Members("s", Combined)[0].Suspended)
				p.Begin(endpoint("a"), 0)(Success, time.Millisecond)
				assert.Assert(t, !p.Members("s", Combined)[0].Suspended)
			},
		},
		{
			testName: "work counts until it ends, and once",
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

// TestViewNeverGoesBack hands lists of any age over in any order, as peers and
// the store do: what is in force is the newest.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool()
		newest := Revision(-1)
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			revision := Revision(rapid.IntRange(0, 9).Draw(t, "revision"))
			e := endpoint("a")
			e.Slots = int(revision)
			if rapid.Bool().Draw(t, "whole") {
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

// TestSince has one view follow another by what changed, from any revision, or by
// the whole list where that is no longer known: both then hold the same.
func TestSince(t *testing.T) {
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
