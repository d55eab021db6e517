package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/pool"
)

// countingEngine counts the calls to a fakeEngine.
type countingEngine struct {
	*fakeEngine
	calls int
}

func (e *countingEngine) Report(ctx context.Context) (EngineReport, error) {
	e.calls++
	return e.fakeEngine.Report(ctx)
}

// TestEnginePause guards against calls to an engine that has asked its keeper for a pause,
// which relays must not wait for.
func TestEnginePause(t *testing.T) {
	scenarios := []struct {
		testName string
		pause    time.Duration
		obeyed   time.Duration
	}{
		{testName: "a short pause", pause: 2 * time.Second, obeyed: 2 * time.Second},
		{testName: "a long pause", pause: time.Hour, obeyed: time.Hour},
		{testName: "a pause beyond the limit", pause: 1000 * time.Hour, obeyed: 24 * time.Hour},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &countingEngine{fakeEngine: &fakeEngine{report: EngineReport{Capacity: 100000, Stage: pool.Decode}, err: &PauseError{Pause: s.pause}}}
				k := newTestKeeper(t, e.fakeEngine)
				k.engine = e
				assert.Assert(t, k.Reserve(t.Context(), newRequest("a", 1, time.Second)).Down)
				e.err = nil
				interval := max(100*time.Millisecond, s.obeyed/600)
				for began := time.Now(); time.Since(began) < s.obeyed-100*time.Millisecond; time.Sleep(min(interval, s.obeyed-100*time.Millisecond-time.Since(began))) {
					at := time.Now()
					assert.Assert(t, k.Reserve(t.Context(), newRequest("b", 1, time.Second)).Down)
					assert.Equal(t, time.Since(at), time.Duration(0))
				}
				assert.Equal(t, e.calls, 1)
				time.Sleep(200 * time.Millisecond)
				assert.Assert(t, k.Reserve(t.Context(), newRequest("c", 1, time.Second)).Granted)
			})
		})
	}
}

// TestEnginePauseEndsWithItsProcess guards against a long pause that is kept to after the process that
// asked for it has been replaced.
func TestEnginePauseEndsWithItsProcess(t *testing.T) {
	scenarios := []struct {
		testName string
		told     int64
		ends     bool
	}{
		{testName: "a later process", told: 8, ends: true},
		{testName: "the same process", told: 7},
		{testName: "an earlier process", told: 6},
		{testName: "a relay that does not know", told: 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &countingEngine{fakeEngine: &fakeEngine{report: EngineReport{Capacity: 100000, Stage: pool.Decode, StartMillis: 7}}}
				k := newTestKeeper(t, e.fakeEngine)
				k.engine = e
				request := newRequest("a", 1, time.Second)
				request.StartMillis = 7
				assert.Assert(t, k.Reserve(t.Context(), request).Granted)
				time.Sleep(time.Second)
				e.err = &PauseError{Pause: time.Hour}
				assert.Assert(t, k.Reserve(t.Context(), request).Down)
				time.Sleep(time.Second)
				calls := e.calls
				e.err, e.report.StartMillis = nil, 8
				k.SchedulePrefill(t.Context(), PrefillRequest{Attempt: "b", Tokens: 1, StartMillis: s.told})
				assert.Equal(t, e.calls > calls, s.ends)
				request.StartMillis = s.told
				assert.Equal(t, k.Reserve(t.Context(), request).Granted, s.ends)
			})
		})
	}
}
