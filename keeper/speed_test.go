package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/pool"
)

// TestSpeedIsLearned measures prefills at 1.8 times the nominal duration, one of them behind an
// unobserved queue, and restarts the engine.
func TestSpeedIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{report: EngineReport{Stage: pool.Prefill, Capacity: 100_000, StartMillis: 1}}
		k := newTestKeeper(t, e)
		ask := func(factor float64) PrefillResponse {
			time.Sleep(time.Second)
			timing := PrefillTiming{Tokens: 5000, Duration: time.Duration(factor * float64(pool.PrefillTime(5000)))}
			return k.SchedulePrefill(context.Background(), PrefillRequest{Tokens: 5000, MaxWait: time.Second, LastTiming: timing, Speed: true})
		}
		var last PrefillResponse
		for _, factor := range []float64{1.8, 1.8, 9, 1.8, 1.8} {
			last = ask(factor)
		}
		assert.Assert(t, last.Speed != nil)
		assert.Assert(t, last.Speed.Slowdown > 1.79 && last.Speed.Slowdown < 1.81, "%f", last.Speed.Slowdown)
		assert.Equal(t, last.Slowdown, last.Speed.Slowdown)
		e.report.StartMillis = 2
		time.Sleep(time.Second)
		last = k.SchedulePrefill(context.Background(), PrefillRequest{Tokens: 5000, MaxWait: time.Second, Speed: true})
		assert.Equal(t, last.Speed.Slowdown, 0.0)
		last = k.SchedulePrefill(context.Background(), PrefillRequest{Tokens: 5000, MaxWait: time.Second})
		assert.Assert(t, last.Speed == nil)
	})
}
