package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/pool"
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
