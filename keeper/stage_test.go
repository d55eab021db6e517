package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/pool"
)

func TestChangeStage(t *testing.T) {
	request := StageRequest{Endpoint: "e", StartMillis: 1, Stage: pool.Decode}
	scenarios := []struct {
		testName    string
		report      EngineReport
		sinceChange time.Duration
		accepted    bool
	}{
		{testName: "the stage is changed", report: EngineReport{Stage: pool.Prefill, StartMillis: 1, Orders: 4}, accepted: true},
		{testName: "not during another change", report: EngineReport{Stage: pool.Prefill, StartMillis: 1, ChangingStage: true}},
		{testName: "not to the current stage", report: EngineReport{Stage: pool.Decode, StartMillis: 1}},
		{testName: "not in another process than the requested one", report: EngineReport{Stage: pool.Prefill, StartMillis: 2}},
		{testName: "not soon after a change", report: EngineReport{Stage: pool.Prefill, StartMillis: 1}, sinceChange: minStageInterval / 2},
		{testName: "again after the minimum interval", report: EngineReport{Stage: pool.Prefill, StartMillis: 1}, sinceChange: 2 * minStageInterval, accepted: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{report: s.report}
				k := newTestKeeper(t, e)
				if s.sinceChange > 0 {
					k.stageChangedAt = time.Now()
					time.Sleep(s.sinceChange)
				}
				response := k.ChangeStage(t.Context(), request)
				assert.Equal(t, response.Accepted, s.accepted, response.Reason)
				assert.Equal(t, len(e.changes) == 1, s.accepted)
				if s.accepted {
					assert.Equal(t, e.orderCounts[0], s.report.Orders)
				}
			})
		})
	}
}
