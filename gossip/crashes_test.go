package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/crash"
)

// TestMissingCrashes guards against messages that repeat all crashes at each exchange while some
// process always knows a new one, and against peers that never learn of one.
func TestMissingCrashes(t *testing.T) {
	const known = 100
	heardAt := start.Add(20 * time.Second)
	now := heardAt.Add(2 * time.Second)
	crashOf := func(number int) crash.Report {
		return crash.Report{Fingerprint: crash.Fingerprint(fmt.Sprint(number)), Attempt: "a"}
	}
	// The first half is older than the last exchange, the newest is not.
	tracker := crash.NewTracker()
	for i := range known {
		tracker.RecordCrash(crashOf(i), start)
	}
	tracker.RecordCrash(crashOf(known), heardAt.Add(time.Second))
	scenarios := []struct {
		testName string
		// theirs are the crashes of the peer, others those that only the peer knows.
		theirs, others int
		heardAt        time.Time
		want           int
	}{
		{testName: "a peer that lacks the newest one", theirs: known, heardAt: heardAt, want: 1},
		{testName: "a peer with as many, of which one is another", theirs: known, others: 1, heardAt: heardAt, want: 1},
		{testName: "a peer that knows all", theirs: known + 1, heardAt: heardAt},
		{testName: "a peer that has restarted", heardAt: heardAt, want: known + 1},
		{testName: "a peer that was never told", theirs: known, others: 1, want: known + 1},
		{testName: "a peer that differs in an older one", theirs: known, others: 1, heardAt: now.Add(10 * time.Second), want: known + 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			peer := crash.NewTracker()
			for i := range s.theirs {
				peer.RecordCrash(crashOf(i), start)
			}
			for i := range s.others {
				peer.RecordCrash(crashOf(-1-i), start)
			}
			assert.Equal(t, len(MissingCrashes(tracker, NewDigest(peer, now), s.heardAt, now)), s.want)
		})
	}
}
