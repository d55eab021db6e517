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
	// measureVariable asks for the whole measurement and names its folder.
	measureVariable = "CROCUSSTEP_MEASURE"
	measureSpan     = 40 * time.Second
	smokeSpan       = 10 * time.Second
	trialSeed       = 20261204
)

// TestMeasure runs every case under every policy and writes docs/measure.
func TestMeasure(t *testing.T) {
	folder := os.Getenv(measureVariable)
	if folder == "" {
		t.Skip("make measure runs this")
	}
	for _, d := range []Deployment{Halvorsen, Khuzam} {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			cases := CasesOf(d)
			results := make([]Result, len(cases)*len(Policies))
			var pending sync.WaitGroup
			for i, c := range cases {
				for j, p := range Policies {
					pending.Add(1)
					t.Run(c.Name+" "+p.Name, func(t *testing.T) {
						t.Parallel()
						defer pending.Done()
						results[i*len(Policies)+j] = runOne(t, d, c, p, measureSpan)
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

func runOne(t *testing.T, d Deployment, c Case, p PolicyOf, span time.Duration) (result Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r, err := Run(d, c, p, span, trialSeed)
		assert.NilError(t, err)
		result = r
	})
	return result
}

// TestSteadyTargets holds the product's policy to the stated targets at a load
// that the endpoints can carry: 95 % of the bound, at most 1 % wasted prefill.
func TestSteadyTargets(t *testing.T) {
	for _, d := range []Deployment{Halvorsen, Khuzam} {
		t.Run(d.Name, func(t *testing.T) {
			r := runOne(t, d, CasesOf(d)[0], Policies[0], smokeSpan)
			assert.Assert(t, r.BoundShare() >= 0.95, "%.3f of the bound", r.BoundShare())
			assert.Assert(t, r.WastedShare() <= 0.01, "%.4f wasted", r.WastedShare())
		})
	}
}

// TestHerdTarget holds the product's policy to the stated target for a herd, 90 %
// of the bound, for the deployment that weighs goodput.
func TestHerdTarget(t *testing.T) {
	for _, c := range CasesOf(Halvorsen) {
		if c.Herd == 0 {
			continue
		}
		r := runOne(t, Halvorsen, c, Policies[0], smokeSpan)
		assert.Assert(t, r.BoundShare() >= 0.90, "%.3f of the bound", r.BoundShare())
		assert.Assert(t, r.WastedShare() <= 0.03, "%.4f wasted", r.WastedShare())
	}
}

// TestFaultTargets holds the product's policy to the stated targets under faults:
// 90 % of the bound and at most 3 % wasted prefill.
func TestFaultTargets(t *testing.T) {
	for _, c := range CasesOf(Halvorsen) {
		if c.Fault == nil {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			r := runOne(t, Halvorsen, c, Policies[0], measureSpan)
			assert.Assert(t, r.BoundShare() >= 0.90, "%.3f of the bound", r.BoundShare())
			assert.Assert(t, r.WastedShare() <= 0.03, "%.4f wasted", r.WastedShare())
		})
	}
}

func TestBound(t *testing.T) {
	scenarios := []struct {
		testName string
		tokens   []int
		lanes    float64
		expected int
	}{
		{"all fit", []int{100, 100}, 1, 2},
		{"the shortest fit first", []int{1000, 10, 1000, 1000}, 1, 2},
		{"more lanes fit more", []int{1000, 1000, 1000}, 3, 3},
		{"nobody came", nil, 1, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var w Workload
			for _, tokens := range s.tokens {
				w.Arrivals = append(w.Arrivals, Arrival{Tokens: ident.TokenCount(tokens)})
			}
			assert.Equal(t, w.Bound(s.lanes, time.Millisecond, 1010*time.Millisecond), s.expected)
		})
	}
}
