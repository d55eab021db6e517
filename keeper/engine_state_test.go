package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/pool"
)

// TestStepTimeFromWholeEvents polls the engine every 25 ms while its report advances
// by events of 61 tokens: the measured step time must still be accurate.
func TestStepTimeFromWholeEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const step, event = 800 * time.Microsecond, 61
		e := &fakeEngine{report: EngineReport{Capacity: 100000, Stage: pool.Decode, StartMillis: 1}}
		k := newTestKeeper(t, e)
		request := newRequest("a", 0, 0)
		assert.Assert(t, k.Reserve(t.Context(), request).Granted)
		e.start(request)
		start := time.Now()
		for range 200 {
			time.Sleep(25 * time.Millisecond)
			generated := ident.TokenCount(time.Since(start)/step) / event * event
			e.set(func(r *EngineReport) { r.Requests[0].Held = request.Prompt + generated })
			k.refresh(t.Context())
		}
		measured := k.stepTime.estimate(1)
		assert.Assert(t, measured > step*9/10 && measured < step*11/10, "%s", measured)
	})
}
