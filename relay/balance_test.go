package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/split"
)

// TestOneChangeOfStagesAtATime keeps the balance from being judged while engines
// change their stage, and from one keeper's word alone.
func TestBalanceWaitsForSettledStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &fakeBackend{})
		record := func(name ident.EndpointName, asks int, prompt float64, step time.Duration) {
			r.recordKeeperLoad(pool.Member{Endpoint: pool.Endpoint{Name: name, Service: "model", Slots: 64}}, keeper.Answer{
				Memory: 100000, Step: step, Load: keeper.Load{Asks: asks, Prompt: prompt, Answer: 4300},
			})
		}
		record("d1", minBalanceRequests-1, 5000, 800*time.Microsecond)
		assert.Equal(t, len(r.settledLoads(time.Now())), 0)
		record("d2", 1, 9000, 800*time.Microsecond)
		record("d3", 0, 0, 8*time.Millisecond)
		assert.Equal(t, len(r.settledLoads(time.Now())), 0, "the stages were seen just now")
		time.Sleep(minStageAge)
		load := r.settledLoads(time.Now())["model"]
		assert.Assert(t, load.StepTime < 2*time.Millisecond, "one keeper that is off by ten times moved the mean to %s", load.StepTime)
		assert.Equal(t, load.Prompt, ident.TokenCount(5200), "all relays' requests count, by their number")
		r.recordStageOrder("model")
		time.Sleep(stageOrderCooldown - time.Second)
		assert.Equal(t, len(r.settledLoads(time.Now())), 0, "engines are changing")
		time.Sleep(time.Second)
		assert.Equal(t, len(r.settledLoads(time.Now())), 0, "no keeper has said anything lately")
		record("d1", minBalanceRequests, 5000, 800*time.Microsecond)
		assert.Equal(t, len(r.settledLoads(time.Now())), 1)
		r.config.Pool.Apply([]pool.Change{{Endpoint: pool.Endpoint{Name: "r1"}, Gone: true}}, 2, false)
		assert.Equal(t, len(r.settledLoads(time.Now())), 0, "the stages have just changed")
	})
}

// TestBurstIsToldFromALoadThatStays is a burst that fills all engines: an engine
// that changes its stage is away until it is over.
func TestBurstDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &fakeBackend{})
		record := func(wait time.Duration) {
			for _, name := range []ident.EndpointName{"d1", "d2"} {
				r.recordKeeperLoad(pool.Member{Endpoint: pool.Endpoint{Name: name, Service: "model", Slots: 64}}, keeper.Answer{
					Memory: 100000, Step: 800 * time.Microsecond, Wait: wait, Load: keeper.Load{Asks: minBalanceRequests, Prompt: 5000, Answer: 4300},
				})
			}
		}
		record(0)
		r.settledLoads(time.Now())
		time.Sleep(minStageAge)
		record(0)
		assert.Assert(t, !r.settledLoads(time.Now())["model"].Burst)
		for waited := time.Duration(0); waited < maxBurst; waited += time.Second {
			record(time.Second)
			assert.Assert(t, r.settledLoads(time.Now())["model"].Burst, "%s into the burst", waited)
			time.Sleep(time.Second)
		}
		record(time.Second)
		assert.Assert(t, !r.settledLoads(time.Now())["model"].Burst, "the load has come to stay")
	})
}

// TestChangeOfStagesPassesOverEnginesThatAreDown loses engines while too many read:
// the order goes to one that can carry it out, and to one alone.
func TestStageChangeSkipsDownEngines(t *testing.T) {
	scenarios := []struct {
		testName string
		backend  *fakeBackend
		ordered  int
	}{
		{testName: "an engine that takes the order", backend: &fakeBackend{}, ordered: 1},
		{testName: "one that is down is passed over", backend: &fakeBackend{down: map[ident.EndpointName]bool{"r1": true, "r2": true}}, ordered: 3},
		{testName: "one that does not answer may carry it out later", backend: &fakeBackend{unresponsive: true}, ordered: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := newTestRelay(t, s.backend)
			more := pool.Endpoint{Name: "r3", Service: "model", Stage: pool.Prefill, Address: "r3:1", Slots: 64}
			r.config.Pool.Apply([]pool.Change{{Endpoint: more}}, 2, false)
			r.loads["model"] = &serviceLoad{}
			// A load whose answers take far longer than its prompts.
			r.balanceService(t.Context(), "model", split.Load{
				Prompt: 100, Output: 8000, Memory: 100000, StepTime: time.Millisecond, PrefillPerToken: pool.PrefillPerToken,
			})
			assert.Equal(t, len(s.backend.ordered), s.ordered)
			assert.Equal(t, len(s.backend.ordered) > 0 && !r.loads["model"].lastOrder.IsZero(), true)
		})
	}
}

func TestPrefillPace(t *testing.T) {
	memberAt := func(pace float64) pool.Member { return pool.Member{Load: pool.Load{Pace: pace}} }
	assert.Equal(t, prefillPace(nil), 1.0)
	assert.Equal(t, prefillPace([]pool.Member{memberAt(0)}), 1.0, "nothing is known yet")
	assert.Equal(t, prefillPace([]pool.Member{memberAt(1), memberAt(2), memberAt(0)}), 1.5)
}
