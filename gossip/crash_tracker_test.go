package gossip

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCrashTracker(t *testing.T) {
	scenarios := []struct {
		testName string
		crashes  []Crash
		elapsed  time.Duration
		blocked  bool
	}{
		{testName: "two crashes do not block", crashes: []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}}},
		{
			testName: "three crashes of one request under other ids block it",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "f", Attempt: "3"}},
			blocked:  true,
		},
		{
			testName: "one crash received three times counts once",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "1"}},
		},
		{
			testName: "crashes of other requests do not count",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "g", Attempt: "2"}, {Fingerprint: "h", Attempt: "3"}},
		},
		{
			testName: "expired crashes do not count",
			crashes:  []Crash{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "f", Attempt: "3"}},
			elapsed:  crashTTL,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := NewCrashTracker()
			for _, c := range s.crashes {
				r.RecordCrash(c, start)
			}
			assert.Equal(t, r.Blocked("f", start.Add(s.elapsed)), s.blocked)
		})
	}
}

// TestCompletedRequestIsNotBlocked covers an idempotent request that many callers send
// and that was running when endpoints crashed for other reasons.
func TestCompletedRequestIsNotBlocked(t *testing.T) {
	r := NewCrashTracker()
	for _, attempt := range []string{"1", "2", "3"} {
		r.RecordCrash(Crash{Fingerprint: "f", Attempt: attempt}, start)
	}
	r.RecordSuccess("f", start.Add(time.Second))
	assert.Assert(t, !r.Blocked("f", start.Add(2*time.Second)))
	for _, attempt := range []string{"4", "5", "6"} {
		r.RecordCrash(Crash{Fingerprint: "f", Attempt: attempt}, start.Add(3*time.Second))
	}
	assert.Assert(t, r.Blocked("f", start.Add(4*time.Second)), "crashes after the success count")
}

func TestCrashTrackerIsBounded(t *testing.T) {
	r := NewCrashTracker()
	for i := range 4 * maxStoredCrashes {
		r.RecordCrash(Crash{Fingerprint: Fingerprint(strconv.Itoa(i)), Attempt: "a"}, start)
	}
	assert.Assert(t, r.Size() <= maxStoredCrashes)
}
