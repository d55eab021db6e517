package split

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/pool"
)

// baseLoad is the load of both example sites: prompts of 5,200 tokens, outputs of
// 4,300.
var baseLoad = Load{
	Prompt: 5200, Output: 4300, Capacity: 101752, Slots: 64,
	PrefillPerToken: 18 * time.Microsecond, PrefillOverhead: 11 * time.Millisecond, StepTime: 860 * time.Microsecond,
}

func TestPrefillEngines(t *testing.T) {
	longPrompts, longOutputs, fewSlots := baseLoad, baseLoad, baseLoad
	longPrompts.Prompt *= 3
	longOutputs.Output *= 3
	fewSlots.Slots = 2
	scenarios := []struct {
		testName string
		load     Load
		min, max float64
	}{
		{testName: "the base load needs two or three of nine engines", load: baseLoad, min: 2, max: 3},
		{testName: "longer prompts need more", load: longPrompts, min: 2.2, max: 4},
		{testName: "longer outputs need fewer", load: longOutputs, min: 0.2, max: 1},
		{testName: "if slots are the limit, decode needs more engines", load: fewSlots, min: 0.1, max: 1},
		{testName: "no load needs none", load: Load{}, min: 0, max: 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			got := PrefillEngines(9, s.load)
			assert.Assert(t, got >= s.min && got <= s.max, "%f", got)
		})
	}
}

func engines(prefills, decodes int) []pool.Endpoint {
	var list []pool.Endpoint
	for i := range prefills + decodes {
		stage := pool.Decode
		if i < prefills {
			stage = pool.Prefill
		}
		zone := ident.ZoneName(fmt.Sprintf("zone-%d", i%3))
		list = append(list, pool.Endpoint{Name: ident.EndpointName(fmt.Sprintf("e%02d", i)), Zone: zone, Stage: stage})
	}
	return list
}

func TestPlanChange(t *testing.T) {
	scenarios := []struct {
		testName          string
		prefills, decodes int
		target            float64
		burst             bool
		changes           int
		to                pool.Stage
	}{
		{testName: "balanced engines keep their stages", prefills: 3, decodes: 6, target: 2.6},
		{testName: "a deviation of half an engine is tolerated", prefills: 3, decodes: 6, target: 2.45},
		{testName: "of two surplus engines one changes, as a crash meanwhile could leave too few", prefills: 4, decodes: 5, target: 2.2, changes: 1, to: pool.Decode},
		{testName: "of many engines an eighth changes concurrently", prefills: 20, decodes: 20, target: 8, changes: 5, to: pool.Decode},
		{testName: "in a burst a small deviation is tolerated", prefills: 3, decodes: 6, target: 2.2, burst: true},
		{testName: "after a loss of engines a surplus one changes even in a burst", prefills: 3, decodes: 3, target: 1.7, burst: true, changes: 1, to: pool.Decode},
		{testName: "too few prefill engines get another one", prefills: 1, decodes: 8, target: 2.4, changes: 1, to: pool.Prefill},
		{testName: "the last prefill engine stays", prefills: 1, decodes: 8, target: 0.1},
		{testName: "after the loss of all prefill engines a decode engine replaces one", prefills: 0, decodes: 5, target: 1.2, changes: 1, to: pool.Prefill},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			change := PlanChange(engines(s.prefills, s.decodes), s.target, s.burst)
			assert.Equal(t, change.Count, s.changes)
			if s.changes > 0 {
				assert.Equal(t, change.To, s.to)
			}
		})
	}
}

func TestCandidatesComeFromCrowdedZones(t *testing.T) {
	change := PlanChange(engines(4, 5), 2.2, false)
	assert.Equal(t, change.Candidates[0].Zone, ident.ZoneName("zone-0"), "two of the four engines are in that zone")
}
