package table

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOrdered(t *testing.T) {
	quota := func(perSecond float64) *Quota { return &Quota{PerSecond: perSecond, CountsTokens: true} }
	scenarios := []struct {
		testName   string
		priorities []int
		workspaces []Workspace
		ordered    bool
		weights    []float64
	}{
		{testName: "one priority and no workspaces", priorities: []int{1, 1}},
		{testName: "two priorities", priorities: []int{0, 2}, ordered: true},
		{testName: "workspaces share by quota", priorities: []int{1}, workspaces: []Workspace{{Name: "a", Quota: quota(100)}, {Name: "b", Quota: quota(300)}}, ordered: true, weights: []float64{100, 300}},
		{testName: "a workspace without a quota: equal parts", priorities: []int{1}, workspaces: []Workspace{{Name: "a"}, {Name: "b", Quota: quota(300)}}, ordered: true, weights: []float64{1, 1}},
		{testName: "quotas in different units: equal parts", priorities: []int{1}, workspaces: []Workspace{{Name: "a", Quota: &Quota{PerSecond: 5}}, {Name: "b", Quota: quota(300)}}, ordered: true, weights: []float64{1, 1}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := &Document{Workspaces: s.workspaces, KeysRequired: len(s.workspaces) > 0}
			for _, priority := range s.priorities {
				d.Routes = append(d.Routes, Route{Priority: priority, WeightedServices: []WeightedService{{Service: "model", Weight: 1}}})
			}
			table := NewTable(d)
			assert.Equal(t, table.Ordered("model"), s.ordered)
			assert.Assert(t, !table.Ordered("other"))
			for i, weight := range s.weights {
				assert.Equal(t, table.Weight(&d.Workspaces[i]), weight)
			}
		})
	}
}
