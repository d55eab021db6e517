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
		{testName: "a pause beyond the limit", pause: time.Hour, obeyed: pool.MaxPause},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &countingEngine{fakeEngine: &fakeEngine{report: EngineReport{Capacity: 100000, Stage: pool.Decode}, err: &PauseError{Pause: s.pause}}}
				k := newTestKeeper(t, e.fakeEngine)
				k.engine = e
				assert.Assert(t, k.Reserve(t.Context(), newRequest("a", 1, time.Second)).Down)
				e.err = nil
				for began := time.Now(); time.Since(began) < s.obeyed-100*time.Millisecond; time.Sleep(100 * time.Millisecond) {
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
