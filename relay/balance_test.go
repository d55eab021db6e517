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
func TestOneChangeOfStagesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &standIn{})
		hear := func(name ident.EndpointName, asks int, prompt float64, step time.Duration) {
			r.observe(pool.Member{Endpoint: pool.Endpoint{Name: name, Service: "model", Slots: 64}}, keeper.ReserveResponse{
				Memory: 100000, Step: step, Load: keeper.Load{Asks: asks, Prompt: prompt, Answer: 4300},
			})
		}
		hear("d1", asksLeast-1, 5000, 800*time.Microsecond)
		assert.Equal(t, len(r.settled(time.Now())), 0)
		hear("d2", 1, 9000, 800*time.Microsecond)
		hear("d3", 0, 0, 8*time.Millisecond)
		assert.Equal(t, len(r.settled(time.Now())), 0, "the stages were seen just now")
		time.Sleep(settleTime)
		load := r.settled(time.Now())["model"]
		assert.Assert(t, load.Step < 2*time.Millisecond, "one keeper that is off by ten times moved the mean to %s", load.Step)
		assert.Equal(t, load.Prompt, ident.TokenCount(5200), "all relays' requests count, by their number")
		r.noteOrder("model")
		time.Sleep(orderTime - time.Second)
		assert.Equal(t, len(r.settled(time.Now())), 0, "engines are changing")
		time.Sleep(time.Second)
		assert.Equal(t, len(r.settled(time.Now())), 0, "no keeper has said anything lately")
		hear("d1", asksLeast, 5000, 800*time.Microsecond)
		assert.Equal(t, len(r.settled(time.Now())), 1)
		r.config.Pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: "r1"}, Gone: true}}, 2, false)
		assert.Equal(t, len(r.settled(time.Now())), 0, "the stages have just changed")
	})
}

// TestBurstIsToldFromALoadThatStays is a burst that fills all engines: an engine
// that changes its stage is away until it is over.
func TestBurstIsToldFromALoadThatStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &standIn{})
		hear := func(wait time.Duration) {
			for _, name := range []ident.EndpointName{"d1", "d2"} {
				r.observe(pool.Member{Endpoint: pool.Endpoint{Name: name, Service: "model", Slots: 64}}, keeper.ReserveResponse{
					Memory: 100000, Step: 800 * time.Microsecond, Wait: wait, Load: keeper.Load{Asks: asksLeast, Prompt: 5000, Answer: 4300},
				})
			}
		}
		hear(0)
		r.settled(time.Now())
		time.Sleep(settleTime)
		hear(0)
		assert.Assert(t, !r.settled(time.Now())["model"].Burst)
		for waited := time.Duration(0); waited < burstMost; waited += time.Second {
			hear(time.Second)
			assert.Assert(t, r.settled(time.Now())["model"].Burst, "%s into the burst", waited)
			time.Sleep(time.Second)
		}
		hear(time.Second)
		assert.Assert(t, !r.settled(time.Now())["model"].Burst, "the load has come to stay")
	})
}

// TestChangeOfStagesPassesOverEnginesThatAreDown loses engines while too many read:
// the order goes to one that can carry it out, and to one alone.
func TestChangeOfStagesPassesOverEnginesThatAreDown(t *testing.T) {
	scenarios := []struct {
		testName string
		stand    *standIn
		ordered  int
	}{
		{testName: "an engine that takes the order", stand: &standIn{}, ordered: 1},
		{testName: "one that is down is passed over", stand: &standIn{down: map[ident.EndpointName]bool{"r1": true, "r2": true}}, ordered: 3},
		{testName: "one that does not answer may carry it out later", stand: &standIn{mute: true}, ordered: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := newTestRelay(t, s.stand)
			more := pool.Endpoint{Name: "r3", Service: "model", Stage: pool.Prefill, Address: "r3:1", Slots: 64}
			r.config.Pool.ApplyChanges([]pool.Change{{Endpoint: more}}, 2, false)
			r.loads["model"] = &engineLoad{}
			// A load whose answers take far longer than its prompts.
			r.balance(t.Context(), "model", split.Load{
				Prompt: 100, Output: 8000, Memory: 100000, Step: time.Millisecond, Reading: pool.PrefillPerToken,
			})
			assert.Equal(t, len(s.stand.ordered), s.ordered)
			assert.Equal(t, len(s.stand.ordered) > 0 && !r.loads["model"].ordered.IsZero(), true)
		})
	}
}

func TestReadingPace(t *testing.T) {
	paced := func(pace float64) pool.Member { return pool.Member{Load: pool.Load{Pace: pace}} }
	assert.Equal(t, readingPace(nil), 1.0)
	assert.Equal(t, readingPace([]pool.Member{paced(0)}), 1.0, "nothing is known yet")
	assert.Equal(t, readingPace([]pool.Member{paced(1), paced(2), paced(0)}), 1.5)
}
