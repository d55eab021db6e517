package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/pool"
	"crocusstep/store"
	"crocusstep/table"
)

var start = time.Unix(1_700_000_000, 0)

// TestHubReturnsNewestState sends messages of any version to a hub in any order: the hub
// must always return the newest state that it has received.
func TestHubReturnsNewestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHub()
		newestTable, newestRevision := table.Version(0), pool.Revision(0)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			version := table.Version(rapid.IntRange(0, 9).Draw(t, "version"))
			revision := pool.Revision(rapid.IntRange(0, 9).Draw(t, "revision"))
			in := &Message{Digest: Digest{Table: version, Endpoints: revision}}
			if version > 0 {
				in.Table = &table.Document{Version: version}
			}
			if revision > 0 {
				in.Endpoints = []pool.Endpoint{{Name: "e", StartMillis: int64(revision)}}
			}
			newestTable, newestRevision = max(newestTable, version), max(newestRevision, revision)
			out := h.Exchange(in, start)
			if out.Digest.Table != newestTable || out.Digest.Endpoints != newestRevision {
				t.Fatalf("hub is at %v, want %d and %d", out.Digest, newestTable, newestRevision)
			}
			if newestTable > version && out.Table.Version != newestTable {
				t.Fatal("the response lacks the newer table")
			}
			receiver := pool.NewPool()
			if revision > 0 {
				receiver.ApplySnapshot([]pool.Endpoint{{Name: "e", StartMillis: int64(revision)}}, revision, false)
			}
			out.ApplyEndpoints(receiver)
			if list, at := receiver.Snapshot(); newestRevision > 0 && (at != newestRevision || list[0].StartMillis != int64(newestRevision)) {
				t.Fatalf("sender has %v, want revision %d", list, newestRevision)
			}
		}
	})
}

func TestHubCountsPeers(t *testing.T) {
	h := NewHub()
	h.Exchange(&Message{Sender: "b"}, start)
	out := h.Exchange(&Message{Sender: "a"}, start.Add(time.Second))
	assert.Equal(t, out.Peers, 2)
	assert.Equal(t, out.Rank, 0)
	assert.Equal(t, h.Exchange(&Message{Sender: "b"}, start.Add(time.Second)).Rank, 1)
	out = h.Exchange(&Message{Sender: "c"}, start.Add(peerTTL+2*time.Second))
	assert.Equal(t, out.Peers, 1, "silent peers do not count")
}

// TestHubFindsProcessesThatAreAlone guards against stopping processes that send their callers back
// although no other one of their zone takes requests.
func TestHubFindsProcessesThatAreAlone(t *testing.T) {
	h := NewHub()
	assert.Assert(t, !h.Exchange(&Message{Sender: "c1", Zone: "c", Available: true}, start.Add(-peerTTL)).Alone, "the hub has just started")
	assert.Assert(t, h.Exchange(&Message{Sender: "a1", Zone: "a", Available: true}, start).Alone)
	assert.Assert(t, h.Exchange(&Message{Sender: "b1", Zone: "b", Available: true}, start).Alone, "another zone does not count")
	assert.Assert(t, !h.Exchange(&Message{Sender: "a2", Zone: "a", Available: true}, start).Alone)
	assert.Assert(t, !h.Exchange(&Message{Sender: "a1", Zone: "a"}, start).Alone, "its own stop does not count")
	assert.Assert(t, h.Exchange(&Message{Sender: "a2", Zone: "a", Available: true}, start).Alone, "the other one stops")
	assert.Assert(t, !h.Exchange(&Message{Sender: "b2", Available: true}, start).Alone, "a sender of an earlier build states no zone")
	assert.Assert(t, !h.Exchange(&Message{Sender: "a1", Zone: "a", Available: true}, start.Add(time.Second)).Alone)
	assert.Assert(t, !h.Exchange(&Message{Sender: "a2", Zone: "a", Available: true}, start.Add(time.Second)).Alone, "the other one is back")
	assert.Assert(t, !h.Exchange(&Message{Sender: "a2", Zone: "a", Available: true}, start.Add(time.Second+peerTTL)).Alone)
	assert.Assert(t, h.Exchange(&Message{Sender: "a2", Zone: "a", Available: true}, start.Add(2*time.Second+peerTTL)).Alone, "the other one is silent")
	assert.Assert(t, !h.Exchange(&Message{Sender: "a2", Zone: "a", Available: true}, start.Add(time.Minute)).Alone, "the hub has heard nobody for long")
}

// exchange sends the endpoints of one pool to another through a hub.
func exchange(h *Hub, from, to *pool.Pool) {
	now := time.Now()
	out := &Message{Digest: Digest{Endpoints: from.Revision()}}
	out.AddEndpoints(from, h.endpoints.Revision())
	h.Exchange(out, now)
	h.Exchange(&Message{Digest: Digest{Endpoints: to.Revision()}}, now).ApplyEndpoints(to)
}

// TestHubForwardsLapses lets records disappear in an outage, and in a restore of the store,
// at a process that watches the store. A process that learns of it through a hub must keep
// the endpoints as lapsed as well.
func TestHubForwardsLapses(t *testing.T) {
	list := []pool.Endpoint{{Name: "a", Service: "s", Address: "10.0.0.1:1"}, {Name: "b", Service: "s", Address: "10.0.0.2:1"}}
	scenarios := []struct {
		testName string
		change   func(watching *pool.Pool)
		deleted  bool
	}{
		{
			testName: "a deletion applies at once",
			change: func(watching *pool.Pool) {
				watching.ApplyChanges([]pool.Change{{Endpoint: list[1], Deleted: true}}, store.NewVersion(1, 8), false)
			},
			deleted: true,
		},
		{
			testName: "a record that disappeared in an outage has lapsed",
			change: func(watching *pool.Pool) {
				watching.ApplyChanges([]pool.Change{{Endpoint: list[1], Deleted: true}}, store.NewVersion(1, 8), true)
			},
		},
		{
			testName: "a record that is missing after a restore has lapsed, although the revision went back",
			change: func(watching *pool.Pool) {
				watching.ApplySnapshot(list[:1], store.NewVersion(2, 5), false)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			h, watching, learning := NewHub(), pool.NewPool(), pool.NewPool()
			for i, revision := range []int64{6, 7} {
				watching.ApplySnapshot(list[:i+1], store.NewVersion(1, revision), false)
				exchange(h, watching, learning)
			}
			s.change(watching)
			exchange(h, watching, learning)
			assert.Equal(t, learning.Revision(), watching.Revision())
			members := learning.Members("s", pool.Combined)
			if s.deleted {
				assert.Equal(t, len(members), 1)
				return
			}
			assert.Equal(t, len(members), 2)
			for _, m := range members {
				assert.Equal(t, m.Lapsed, m.Name == "b")
			}
		})
	}
}
