package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/pool"
)

func TestSchedulePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{report: EngineReport{Stage: pool.Prefill, StartMillis: 1, Waiting: 1}}
		k := newTestKeeper(t, e)
		request := PrefillRequest{Tokens: 5000, MaxWait: 250 * time.Millisecond}
		granted := 0
		for k.SchedulePrefill(t.Context(), request).Granted {
			granted++
		}
		assert.Equal(t, granted, 3, "three prefills of 101 ms: the next would wait longer than 250 ms")
		time.Sleep(pool.PrefillTime(5000))
		assert.Assert(t, k.SchedulePrefill(t.Context(), request).Granted, "slots become free as time passes")
		e.set(func(r *EngineReport) { r.Waiting = 0 })
		time.Sleep(prefillReportDelay + time.Millisecond)
		assert.Equal(t, k.SchedulePrefill(t.Context(), request).Backlog, time.Duration(0), "an idle engine has no backlog")
	})
}

// TestSchedulePrefillOfSlowEngine has prefills take twice the nominal time: the keeper
// grants fewer slots and reports the slowdown to the relays.
func TestSchedulePrefillOfSlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKeeper(t, &fakeEngine{report: EngineReport{Stage: pool.Prefill, StartMillis: 1}})
		slow := PrefillTiming{Tokens: 5000, Duration: 2 * pool.PrefillTime(5000)}
		var response PrefillResponse
		for range 50 {
			response = k.SchedulePrefill(t.Context(), PrefillRequest{Tokens: 100, MaxWait: time.Second, LastTiming: slow})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, response.Slowdown > 1.9 && response.Slowdown < 2.1, "%f", response.Slowdown)
		time.Sleep(time.Second)
		granted := 0
		for k.SchedulePrefill(t.Context(), PrefillRequest{Tokens: 5000, MaxWait: 250 * time.Millisecond}).Granted {
			granted++
		}
		assert.Equal(t, granted, 2, "two prefills of 202 ms: the next would wait longer than 250 ms")
	})
}

// TestScheduleLocalPrefill covers a burst that the prefill endpoints cannot keep up
// with: a decode engine prefills prompts itself, within the stall limit of its
// running requests.
func TestScheduleLocalPrefill(t *testing.T) {
	const stall = 200 * time.Millisecond
	scenarios := []struct {
		testName string
		run      func(t *testing.T, k *Keeper, e *fakeEngine)
	}{
		{
			testName: "an idle engine prefills any prompt",
			run: func(t *testing.T, k *Keeper, _ *fakeEngine) {
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 11000, MaxStall: stall}).Granted)
			},
		},
		{
			testName: "a prompt that stalls running requests for too long is rejected",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				assert.Assert(t, !k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 6000, MaxStall: stall}).Granted)
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 4000, MaxStall: stall}).Granted)
			},
		},
		{
			testName: "consecutive prefills are separated by pauses",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				request := PrefillRequest{Local: true, Tokens: 4000, MaxStall: stall}
				granted := 0
				for range 100 {
					if k.SchedulePrefill(t.Context(), request).Granted {
						granted++
					}
					time.Sleep(10 * time.Millisecond)
				}
				assert.Equal(t, granted, 3, "each takes 166 ms, with a pause of 300 ms after it")
			},
		},
		{
			testName: "a prefill engine schedules no local prefill",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				e.set(func(r *EngineReport) { r.Stage = pool.Prefill })
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 100, MaxStall: stall}).Down)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{report: EngineReport{Capacity: 20000, Stage: pool.Decode, StartMillis: 1}}
				s.run(t, newTestKeeper(t, e), e)
			})
		})
	}
}
