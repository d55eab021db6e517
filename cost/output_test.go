package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/memory"
)

func TestOutputs(t *testing.T) {
	kind, other := Kind{Route: "r", Workspace: "w"}, Kind{Route: "r", Workspace: "x"}
	predicted := memory.LengthEstimate{Median: 1000, Spread: 0.5, Limit: 8000}
	scenarios := []struct {
		testName string
		observe  func(o *Outputs)
		median   ident.TokenCount
	}{
		{testName: "a prediction stays until something was seen", observe: func(*Outputs) {}, median: 1000},
		{testName: "few outputs change nothing", observe: func(o *Outputs) { observe(o, kind, 2000, 15) }, median: 1000},
		{testName: "a workspace whose outputs are longer is corrected", observe: func(o *Outputs) { observe(o, kind, 2000, 60) }, median: 2000},
		{
			testName: "the route is used while the workspace is new",
			observe:  func(o *Outputs) { observe(o, other, 500, 60); observe(o, kind, 2000, 10) }, median: 500,
		},
		{
			testName: "all requests are used while the route is new",
			observe:  func(o *Outputs) { observe(o, Kind{Route: "other"}, 500, 60) }, median: 500,
		},
		{
			testName: "older outputs are forgotten",
			observe:  func(o *Outputs) { observe(o, kind, 500, 300); observe(o, kind, 2000, 200) }, median: 2000,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			o := NewOutputs()
			s.observe(o)
			got := o.Estimate(kind, 1000, predicted)
			// Buckets are a quarter of an octave wide.
			assert.Assert(t, math.Abs(math.Log2(float64(got.Median)/float64(s.median))) <= 0.125, "%d", got.Median)
			assert.Equal(t, got.Limit, predicted.Limit)
		})
	}
}

func observe(o *Outputs, kind Kind, output ident.TokenCount, count int) {
	for range count {
		o.Observe(kind, 1000, 1000, output)
	}
}

func TestOutputsAreBounded(t *testing.T) {
	o := NewOutputs()
	for i := range 2 * maxKinds {
		o.Observe(Kind{Route: fmt.Sprint(i)}, 1000, 1000, 2000)
	}
	assert.Assert(t, len(o.kinds) <= maxKinds+1)
}

// TestShuffledHints takes the callers' estimates from other requests, so that they are off by a
// factor of four now and then. The correction must not be worse than the prediction without it.
func TestShuffledHints(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			today, corrected := errors(random, func(ident.TokenCount) ident.TokenCount { return length(random) })
			assert.Assert(t, corrected <= today, "mean error %.3f, today %.3f", corrected, today)
		})
	}
}

// TestBiasedHints takes the estimates of a workspace that states half of its outputs. What was seen
// of the workspace must correct them.
func TestBiasedHints(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 7))
	today, corrected := errors(random, func(output ident.TokenCount) ident.TokenCount {
		return ident.TokenCount(0.5 * float64(output) * math.Exp(0.1*random.NormFloat64()))
	})
	assert.Assert(t, corrected < today/2, "mean error %.3f, today %.3f", corrected, today)
}

func length(random *rand.Rand) ident.TokenCount {
	return ident.TokenCount(3500 * math.Exp(0.5*random.NormFloat64()))
}

// errors returns the mean errors of the predicted logarithms of outputs with the given hints.
func errors(random *rand.Rand, hint func(ident.TokenCount) ident.TokenCount) (today, corrected float64) {
	const requests, warm = 1200, 200
	kind := Kind{Route: "r", Workspace: "w"}
	var estimator memory.LengthEstimator
	o := NewOutputs()
	for i := range requests {
		output := length(random)
		h := hint(output)
		predicted := estimator.Estimate(h, 0)
		if i >= warm {
			today += math.Abs(math.Log(float64(output)/float64(predicted.Median))) / (requests - warm)
			corrected += math.Abs(math.Log(float64(output)/float64(o.Estimate(kind, h, predicted).Median))) / (requests - warm)
		}
		o.Observe(kind, h, predicted.Median, output)
		estimator.Observe(h, output)
	}
	return today, corrected
}
