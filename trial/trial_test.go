package trial

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

const (
	// measureVariable enables the full measurement and sets its output folder.
	measureVariable = "CROCUSSTEP_MEASURE"
	measureDuration = 40 * time.Second
	smokeDuration   = 10 * time.Second
	workloadSeed    = 20261204
)

// TestMeasure measures every case under every policy and writes docs/measure.
func TestMeasure(t *testing.T) {
	folder := os.Getenv(measureVariable)
	if folder == "" {
		t.Skip("make measure runs this")
	}
	for _, d := range []Deployment{Halvorsen, Khuzam} {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			cases := Cases(d)
			results := make([]Result, len(cases)*len(Policies))
			var pending sync.WaitGroup
			for i, c := range cases {
				for j, p := range Policies {
					pending.Add(1)
					t.Run(c.Name+" "+p.Name, func(t *testing.T) {
						t.Parallel()
						defer pending.Done()
						results[i*len(Policies)+j] = runCase(t, d, c, p, measureDuration)
					})
				}
			}
			t.Cleanup(func() {
				file, err := os.Create(filepath.Join(folder, "policies-"+strings.ToLower(d.Name)+".md"))
				assert.NilError(t, err)
				defer func() { _ = file.Close() }()
				assert.NilError(t, WriteTable(file, d.Name, results))
			})
		})
	}
}

func runCase(t *testing.T, d Deployment, c Case, p PolicyFactory, duration time.Duration) (result Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r, err := Run(d, c, p, duration, workloadSeed)
		assert.NilError(t, err)
		result = r
	})
	return result
}

// TestSteadyTargets checks the default policy against its targets at a load below
// capacity: 95 % of the bound and at most 1 % wasted prefill.
func TestSteadyTargets(t *testing.T) {
	for _, d := range []Deployment{Halvorsen, Khuzam} {
		t.Run(d.Name, func(t *testing.T) {
			r := runCase(t, d, Cases(d)[0], Policies[0], smokeDuration)
			assert.Assert(t, r.BoundShare() >= 0.95, "%.3f of the bound", r.BoundShare())
			assert.Assert(t, r.WastedShare() <= 0.01, "%.4f wasted", r.WastedShare())
		})
	}
}

// TestHerdTarget checks the default policy against its target for a thundering herd, 90 %
// of the bound, for the deployment that gives weight to goodput.
func TestHerdTarget(t *testing.T) {
	for _, c := range Cases(Halvorsen) {
		if c.HerdSize == 0 {
			continue
		}
		r := runCase(t, Halvorsen, c, Policies[0], smokeDuration)
		assert.Assert(t, r.BoundShare() >= 0.90, "%.3f of the bound", r.BoundShare())
		assert.Assert(t, r.WastedShare() <= 0.03, "%.4f wasted", r.WastedShare())
	}
}

// TestFaultTargets checks the default policy against its targets under faults: 90 % of
// the bound and at most 3 % wasted prefill.
func TestFaultTargets(t *testing.T) {
	for _, c := range Cases(Halvorsen) {
		if c.Fault == nil {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			r := runCase(t, Halvorsen, c, Policies[0], measureDuration)
			assert.Assert(t, r.BoundShare() >= 0.90, "%.3f of the bound", r.BoundShare())
			assert.Assert(t, r.WastedShare() <= 0.03, "%.4f wasted", r.WastedShare())
		})
	}
}

func TestWorkloadBound(t *testing.T) {
	scenarios := []struct {
		testName       string
		tokens         []int
		prefillEngines float64
		expected       int
	}{
		{"all fit", []int{100, 100}, 1, 2},
		{"the shortest are served first", []int{1000, 10, 1000, 1000}, 1, 2},
		{"more engines serve more", []int{1000, 1000, 1000}, 3, 3},
		{"no arrivals", nil, 1, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var w Workload
			for _, tokens := range s.tokens {
				w.Arrivals = append(w.Arrivals, Arrival{PromptTokens: ident.TokenCount(tokens)})
			}
			assert.Equal(t, w.Bound(s.prefillEngines, time.Millisecond, 1010*time.Millisecond), s.expected)
		})
	}
}
