package crash

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func TestTracker(t *testing.T) {
	scenarios := []struct {
		testName string
		crashes  []Report
		elapsed  time.Duration
		blocked  bool
	}{
		{testName: "two crashes do not block", crashes: []Report{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}}},
		{
			testName: "three crashes of one request under other ids block it",
			crashes:  []Report{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "f", Attempt: "3"}},
			blocked:  true,
		},
		{
			testName: "one crash received three times counts once",
			crashes:  []Report{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "1"}},
		},
		{
			testName: "crashes of other requests do not count",
			crashes:  []Report{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "g", Attempt: "2"}, {Fingerprint: "h", Attempt: "3"}},
		},
		{
			testName: "three crashes within their time block",
			crashes: []Report{
				{Fingerprint: "f", Attempt: "1", Age: requestCrashTTL - minRemaining},
				{Fingerprint: "f", Attempt: "2", Age: time.Second},
				{Fingerprint: "f", Attempt: "3"},
			},
			blocked: true,
		},
		{
			testName: "two crashes and an expired one do not block",
			crashes: []Report{
				{Fingerprint: "f", Attempt: "1", Age: requestCrashTTL},
				{Fingerprint: "f", Attempt: "2", Age: time.Second},
				{Fingerprint: "f", Attempt: "3"},
			},
		},
		{
			testName: "a block does not end by itself, at all trackers at once",
			crashes:  []Report{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "f", Attempt: "3"}},
			elapsed:  requestCrashTTL,
			blocked:  true,
		},
		{
			testName: "the crashes of a blocked request expire at last",
			crashes:  []Report{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "f", Attempt: "3"}},
			elapsed:  blockedCrashTTL + time.Second,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := NewTracker()
			for _, c := range s.crashes {
				r.RecordCrash(c, start)
			}
			assert.Equal(t, r.Blocked("f", nil, start.Add(s.elapsed)), s.blocked)
		})
	}
}

// TestCompletedRequestIsNotBlocked covers an idempotent request that many callers send
// and that was running when endpoints crashed for other reasons.
func TestCompletedRequestIsNotBlocked(t *testing.T) {
	r := NewTracker()
	for _, attempt := range []string{"1", "2", "3"} {
		r.RecordCrash(Report{Fingerprint: "f", Attempt: attempt}, start)
	}
	r.RecordSuccess("f", start.Add(time.Second))
	assert.Assert(t, !r.Blocked("f", nil, start.Add(2*time.Second)))
	for _, attempt := range []string{"4", "5", "6"} {
		r.RecordCrash(Report{Fingerprint: "f", Attempt: attempt}, start.Add(3*time.Second))
	}
	assert.Assert(t, r.Blocked("f", nil, start.Add(4*time.Second)), "crashes after the success count")
}

// TestExpiredCrashStaysExpired lets two trackers tell each other their crashes all the time, with a
// delay. It guards against a crash that each learns again from the other, a little younger each time.
func TestExpiredCrashStaysExpired(t *testing.T) {
	const delay = 5 * time.Millisecond
	a, b := NewTracker(), NewTracker()
	a.RecordCrash(Report{Fingerprint: "f", Attempt: "1"}, start)
	now := start
	for ; now.Before(start.Add(requestCrashTTL + time.Second)); now = now.Add(delay) {
		fromA, fromB := a.Crashes(now), b.Crashes(now)
		for _, r := range fromA {
			b.RecordCrash(r, now.Add(delay))
		}
		for _, r := range fromB {
			a.RecordCrash(r, now.Add(delay))
		}
	}
	assert.Equal(t, a.Digest(now), Digest{})
	assert.Equal(t, b.Digest(now), Digest{})
}

// TestDigest guards against digests that are equal although the crashes differ, or the reverse.
func TestDigest(t *testing.T) {
	reports := []Report{{Fingerprint: "f", Attempt: "1"}, {Fingerprint: "f", Attempt: "2"}, {Fingerprint: "g", Attempt: "1"}}
	forwards, backwards, other := NewTracker(), NewTracker(), NewTracker()
	for i, r := range reports {
		forwards.RecordCrash(r, start)
		backwards.RecordCrash(reports[len(reports)-1-i], start.Add(time.Second))
	}
	assert.Equal(t, forwards.Digest(start), backwards.Digest(start))
	for _, r := range []Report{reports[0], reports[1], {Fingerprint: "g", Attempt: "2"}} {
		other.RecordCrash(r, start)
	}
	assert.Assert(t, forwards.Digest(start) != other.Digest(start))
	assert.Equal(t, forwards.Digest(start.Add(2*requestCrashTTL)), Digest{})
}

func TestTrackerIsBounded(t *testing.T) {
	r := NewTracker()
	for i := range 4 * maxStoredCrashes {
		r.RecordCrash(Report{Fingerprint: Fingerprint(strconv.Itoa(i)), Attempt: "a"}, start)
	}
	assert.Assert(t, r.Size() <= maxStoredCrashes)
}
