package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// repeatedRequest sends one request to trackers in turn and returns when it crashed an endpoint. The
// trackers hear of a crash a second later.
func repeatedRequest(random *rand.Rand, trackers int, gap, span time.Duration) (crashes []time.Duration) {
	type news struct {
		at     time.Time
		report Report
	}
	var pending []news
	all := make([]*Tracker, trackers)
	for i := range all {
		all[i] = NewTracker()
		all[i].probeDelay = time.Duration(random.Int64N(int64(quarantine)))
	}
	for sent := 0; time.Duration(sent)*gap < span; sent++ {
		now := start.Add(time.Duration(sent) * gap)
		for len(pending) > 0 && !now.Before(pending[0].at.Add(time.Second)) {
			for _, t := range all {
				report := pending[0].report
				report.Age = now.Sub(pending[0].at)
				t.RecordCrash(report, now)
			}
			pending = pending[1:]
		}
		t := all[sent%len(all)]
		t.Digest(now) // Deletes what has expired, as each exchange with a hub does.
		if t.Blocked("f", nil, now) && !t.TryProbe("f", nil, now) {
			continue
		}
		report := Report{Fingerprint: "f", Attempt: fmt.Sprint(sent), Endpoint: fmt.Sprint(sent)}
		t.RecordCrash(report, now)
		pending = append(pending, news{at: now, report: report})
		crashes = append(crashes, now.Sub(start))
	}
	return crashes
}

// TestBlockedRequestIsTriedAlone guards against a request that crashes endpoints and that all relays
// let through again at once: over an hour it runs at most three times more, later than 4 s after
// its third crash (the users' BUDGET and contactMs).
func TestBlockedRequestIsTriedAlone(t *testing.T) {
	const allowed, contact = 3, 4 * time.Second
	for _, trackers := range []int{3, 6, 30, 300} {
		for seed := range uint64(10) {
			crashes := repeatedRequest(rand.New(rand.NewPCG(seed, 32)), trackers, 300*time.Millisecond, time.Hour)
			late := 0
			for _, at := range crashes {
				if len(crashes) > 2 && at > crashes[2]+contact {
					late++
				}
			}
			assert.Check(t, late <= allowed, "%d trackers, seed %d: %d tries later than %s after the third crash: %v", trackers, seed, late, contact, crashes)
		}
	}
}

// TestSoundRequestIsUnblocked guards against a request that was beside the cause of three crashes and
// stays refused: it is tried after the quarantine, and all run once it has completed.
func TestSoundRequestIsUnblocked(t *testing.T) {
	r := NewTracker()
	r.probeDelay = 10 * time.Second
	for i := range 3 {
		r.RecordCrash(Report{Fingerprint: "f", Attempt: fmt.Sprint(i)}, start)
	}
	other := NewTracker()
	for _, report := range r.Crashes(start) {
		other.RecordCrash(report, start)
	}
	late := start.Add(quarantine + requestDelayFactor*r.probeDelay)
	early := late.Add(-1)
	assert.Assert(t, !r.TryProbe("f", nil, early))
	assert.Assert(t, r.TryProbe("f", nil, late))
	assert.Assert(t, !r.TryProbe("f", nil, late.Add(time.Second)), "one try at a time")
	r.RecordSuccess("f", late.Add(2*time.Second))
	assert.Assert(t, !r.Blocked("f", nil, late.Add(3*time.Second)))
	assert.Assert(t, other.Blocked("f", nil, late.Add(3*time.Second)))
	other.ApplySounds(r.Sounds(late.Add(3*time.Second)), late.Add(3*time.Second))
	assert.Assert(t, !other.Blocked("f", nil, late.Add(4*time.Second)), "the others hear of it")
}

// TestSlowCrashesAreNoTries guards against crashes before the block that count as its tries, after which
// a request is not tried again.
func TestSlowCrashesAreNoTries(t *testing.T) {
	r := NewTracker()
	r.probeDelay = 0
	last := start
	for i, after := range []time.Duration{0, 3 * time.Minute, 6 * time.Minute, 9 * time.Minute, 9*time.Minute + 31*time.Second, 9*time.Minute + 59*time.Second} {
		last = start.Add(after)
		assert.Assert(t, !r.Blocked("f", nil, last))
		r.RecordCrash(Report{Fingerprint: "f", Attempt: fmt.Sprint(i), Parts: []PartID{"p" + PartID(fmt.Sprint(i))}}, last)
	}
	assert.Assert(t, r.Blocked("f", nil, last.Add(time.Second)))
	assert.Assert(t, !r.TryProbe("f", nil, last.Add(quarantine-1)))
	assert.Assert(t, r.TryProbe("f", nil, last.Add(quarantine)))
}

// TestBlockOutlastsARestart guards against a tracker that learns of a blocked request from another one
// and counts its crashes as expired.
func TestBlockOutlastsARestart(t *testing.T) {
	known, restarted := NewTracker(), NewTracker()
	for i := range 3 {
		known.RecordCrash(Report{Fingerprint: "f", Attempt: fmt.Sprint(i), Parts: []PartID{"p"}}, start)
	}
	now := start.Add(partCrashTTL + time.Minute)
	for _, r := range known.Crashes(now) {
		restarted.RecordCrash(r, now)
	}
	assert.Assert(t, restarted.Blocked("f", nil, now))
	assert.Assert(t, !restarted.Blocked("g", []PartID{"p"}, now) && !known.Blocked("g", []PartID{"p"}, now), "crashes count against parts for %s", partCrashTTL)
	assert.Equal(t, restarted.Digest(now), known.Digest(now))
}
