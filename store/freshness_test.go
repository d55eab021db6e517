package store

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/clock"
)

// TestFreshness guards against ages that are too low: after a suspension, in which only the wall clock goes on, after a step of the
// wall clock, and after a confirmation that is older than an earlier one.
func TestFreshness(t *testing.T) {
	var f Freshness
	now := time.Now()
	assert.Equal(t, f.Age(now), time.Duration(math.MaxInt64))
	_, known := f.Lead(now)
	assert.Assert(t, !known)
	f.Confirm(now.Add(-time.Second))
	f.Confirm(now.Add(-2 * time.Second))
	scenarios := []struct {
		testName  string
		now       time.Time
		age, lead time.Duration
	}{
		{testName: "no step", now: now, age: time.Second, lead: -time.Second},
		{testName: "a suspension, or a step forward", now: clock.Step(now, 5*time.Second), age: 6 * time.Second, lead: -6 * time.Second},
		{testName: "a step back", now: clock.Step(now, -5*time.Second), age: time.Second, lead: -time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, f.Age(s.now), s.age)
			lead, known := f.Lead(s.now)
			assert.Assert(t, known)
			assert.Equal(t, lead, s.lead)
		})
	}
}

// TestConfirmedAt guards against watches that confirm more than their response shows: one with events may have been sent long ago.
func TestConfirmedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		time.Sleep(2 * time.Second)
		assert.Equal(t, confirmedAt(&Batch{}, began, 2*time.Second), began.Add(2*time.Second))
		assert.Equal(t, confirmedAt(&Batch{}, began, 3*time.Second), began, "the store has ended the watch early")
		assert.Equal(t, confirmedAt(&Batch{Events: []Object{{}}}, began, 2*time.Second), began)
	})
}
