package gossip

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/pool"
	"crocusstep/table"
)

var start = time.Unix(1_700_000_000, 0)

func TestRegister(t *testing.T) {
	scenarios := []struct {
		testName string
		crashes  []Crash
		after    time.Duration
		blocked  bool
	}{
		{testName: "two crashes do not block", crashes: []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}}},
		{
			testName: "three crashes of one request under other ids block it",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "f", Attempt: "3"}},
			blocked:  true,
		},
		{
			testName: "one crash told three times counts once",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "1"}},
		},
		{
			testName: "crashes of other requests do not count",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "g", Attempt: "2"}, {Fingerprint: "h", Attempt: "3"}},
		},
		{
			testName: "old crashes do not count",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "f", Attempt: "3"}},
			after:    crashLife,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := NewCrashTracker()
			for _, c := range s.crashes {
				r.Record(c, start)
			}
			assert.Equal(t, r.Blocked("f", start.Add(s.after)), s.blocked)
		})
	}
}

// TestRequestThatRanIsNotBlocked is a lookup that many callers send and that was
// aboard when endpoints crashed for other reasons.
func TestRequestThatRanIsNotBlocked(t *testing.T) {
	r := NewCrashTracker()
	for _, attempt := range []string{"1", "2", "3"} {
		r.Record(Crash{Fingerprint: "f", Attempt: attempt}, start)
	}
	r.RecordSuccess("f", start.Add(time.Second))
	assert.Assert(t, !r.Blocked("f", start.Add(2*time.Second)))
	for _, attempt := range []string{"4", "5", "6"} {
		r.Record(Crash{Fingerprint: "f", Attempt: attempt}, start.Add(3*time.Second))
	}
	assert.Assert(t, r.Blocked("f", start.Add(4*time.Second)), "it may crash endpoints later")
}

func TestRegisterIsBounded(t *testing.T) {
	r := NewCrashTracker()
	for i := range 4 * crashesKept {
		r.Record(Crash{Fingerprint: Fingerprint(strconv.Itoa(i)), Attempt: "a"}, start)
	}
	assert.Assert(t, r.Size() <= crashesKept)
}

// TestBoardNeverGoesBack hands bulletins of any age to a board in any order: what
// it hands on is always the newest that it was told.
func TestBoardNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewHub()
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
			out := b.Exchange(in, start)
			if out.Digest.Table != newestTable || out.Digest.Endpoints != newestRevision {
				t.Fatalf("the board is at %v, told %d and %d", out.Digest, newestTable, newestRevision)
			}
			if newestTable > version && out.Table.Version != newestTable {
				t.Fatal("the sender is not told of the newer routes")
			}
			receiver := pool.NewPool()
			if revision > 0 {
				receiver.ApplySnapshot([]pool.Endpoint{{Name: "e", StartMillis: int64(revision)}}, revision, false)
			}
			out.ApplyEndpoints(receiver)
			if list, at := receiver.Snapshot(); newestRevision > 0 && (at != newestRevision || list[0].StartMillis != int64(newestRevision)) {
				t.Fatalf("the sender is at %v of %d", list, newestRevision)
			}
		}
	})
}

func TestBoardCountsPeers(t *testing.T) {
	b := NewHub()
	b.Exchange(&Message{Sender: "b"}, start)
	out := b.Exchange(&Message{Sender: "a"}, start.Add(time.Second))
	assert.Equal(t, out.Peers, 2)
	assert.Equal(t, out.Rank, 0)
	assert.Equal(t, b.Exchange(&Message{Sender: "b"}, start.Add(time.Second)).Rank, 1)
	out = b.Exchange(&Message{Sender: "c"}, start.Add(peerLife+2*time.Second))
	assert.Equal(t, out.Peers, 1, "those not heard of for long do not count")
}
