package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/pool"
)

// TestLapsingEngineIsAvoided reports prompts that could not be fetched from an engine.
func TestLapsingEngineIsAvoided(t *testing.T) {
	scenarios := []struct {
		testName string
		lapses   int
		after    time.Duration
		// learned is set if the relay that asks uses learned costs.
		learned bool
		granted bool
	}{
		{testName: "a single lapse changes nothing", lapses: 1, learned: true, granted: true},
		{testName: "after several the engine is avoided", lapses: 2, learned: true},
		{testName: "for a while", lapses: 2, after: lapseTTL + time.Millisecond, learned: true, granted: true},
		{testName: "relays without learned costs are served as before", lapses: 2, granted: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newTestKeeper(t, &fakeEngine{report: EngineReport{Stage: pool.Prefill, Capacity: 100_000, StartMillis: 1}})
				for range s.lapses {
					k.SchedulePrefill(context.Background(), PrefillRequest{Lapsed: true})
				}
				time.Sleep(s.after)
				response := k.SchedulePrefill(context.Background(), PrefillRequest{Tokens: 5000, MaxWait: time.Second, Speed: s.learned})
				assert.Equal(t, response.Granted, s.granted)
				assert.Equal(t, response.Lapsing, !s.granted)
			})
		})
	}
}
