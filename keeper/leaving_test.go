package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/memory"
	"crocusstep/pool"
)

// TestLeavingEngine guards against reservations at an engine that has said that it leaves:
// waiting ones are denied at once, so that they can go elsewhere.
func TestLeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{report: EngineReport{Capacity: 6000, Stage: pool.Decode, StartMillis: 1}}
		k := newTestKeeper(t, e)
		go k.Run(t.Context())
		first := newRequest("first", 1, 0)
		assert.Assert(t, k.Reserve(t.Context(), first).Granted)
		e.start(first)
		time.AfterFunc(300*time.Millisecond, func() { e.set(func(r *EngineReport) { r.Leaving = true }) })
		began := time.Now()
		waiting := newRequest("waiting", 1, 2*time.Second)
		waiting.Output = memory.LengthEstimate{Median: 100, Spread: 0.5, Limit: 150}
		response := k.Reserve(t.Context(), waiting)
		assert.Assert(t, response.Down && !response.Granted)
		assert.Assert(t, time.Since(began) <= 300*time.Millisecond+2*pollInterval+reportTTL, "it waited %s", time.Since(began))
		assert.Assert(t, k.Reserve(t.Context(), newRequest("new", 1, 0)).Down)

		e.set(func(r *EngineReport) { *r = EngineReport{Capacity: 6000, Stage: pool.Decode, StartMillis: 2} })
		time.Sleep(reportTTL)
		assert.Assert(t, k.Reserve(t.Context(), newRequest("next", 1, 0)).Granted, "the next process of the engine")
	})
}
