package memory

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/ident"
)

func TestFits(t *testing.T) {
	policy := Policy{Capacity: 1000}
	scenarios := []struct {
		testName string
		policy   Policy
		runs     []Run
		next     Run
		fits     bool
	}{
		{testName: "an empty engine takes a run that fits", policy: policy, next: Run{Held: 400, Remaining: 500}, fits: true},
		{testName: "a run larger than the memory never fits", policy: policy, next: Run{Held: 600, Remaining: 500}},
		{
			testName: "runs that end before the peak free their memory for it",
			policy:   policy,
			runs:     []Run{{Held: 500, Remaining: 10}},
			next:     Run{Held: 100, Remaining: 800},
			fits:     true,
		},
		{
			testName: "runs that grow together add up at their peak",
			policy:   policy,
			runs:     []Run{{Held: 200, Remaining: 300}},
			next:     Run{Held: 200, Remaining: 300},
		},
		{
			testName: "slots limit small runs",
			policy:   Policy{Capacity: 1000, Slots: 2},
			runs:     []Run{{Held: 1, Remaining: 1}, {Held: 1, Remaining: 1}},
			next:     Run{Held: 1, Remaining: 1},
		},
		{
			testName: "the safety margin keeps memory for outputs longer than expected",
			policy:   Policy{Capacity: 1000, SafetyFactor: 1},
			next:     Run{Held: 400, Remaining: 500, StdDev: 101},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, s.policy.Fits(s.runs, s.next), s.fits)
		})
	}
}

// TestPeak compares the closed form with a step-by-step simulation.
func TestPeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Run {
			return Run{Held: ident.TokenCount(rapid.IntRange(0, 50).Draw(t, "held")), Remaining: ident.TokenCount(rapid.IntRange(0, 50).Draw(t, "remaining"))}
		}), 1, 8).Draw(t, "runs")
		highest := ident.TokenCount(0)
		for step := ident.TokenCount(0); step <= 50; step++ {
			held := ident.TokenCount(0)
			for _, r := range runs {
				if r.Remaining >= step {
					held += r.Held + step + blockTokens
				}
			}
			highest = max(highest, held)
		}
		if got := peak(runs); got != highest {
			t.Fatalf("peak %d, simulated %d", got, highest)
		}
	})
}

func TestStepsUntilFit(t *testing.T) {
	policy := Policy{Capacity: 1000}
	next := Run{Held: 300, Remaining: 100}
	assert.Equal(t, policy.StepsUntilFit(nil, next), ident.TokenCount(0))
	assert.Equal(t, policy.StepsUntilFit([]Run{{Held: 700, Remaining: 20}, {Held: 200, Remaining: 50}}, next), ident.TokenCount(20))
}

func TestLengthEstimate(t *testing.T) {
	estimate := LengthEstimate{Median: 1000, Spread: 0.5}
	assert.Assert(t, estimate.Run(0, 0).Remaining > 1000, "the mean of a skewed distribution is above its median")
	assert.Assert(t, estimate.Run(0, 2000).Remaining > 0, "an output past its estimate still continues")
	assert.Assert(t, estimate.Run(0, 20000).Remaining > 0)
	assert.Equal(t, LengthEstimate{Median: 1000, Spread: 0.5, Limit: 500}.Run(0, 500).Remaining, ident.TokenCount(0))
	assert.Assert(t, LengthEstimate{Median: 1000, Spread: 0.5, Limit: 100}.Run(0, 0).Remaining <= 100)
}

// With caller estimates as inaccurate as the mean, both get the same weight and the
// result has less variance than either.
func TestLengthEstimator(t *testing.T) {
	var l LengthEstimator
	assert.Equal(t, l.Estimate(500, 8000).Median, ident.TokenCount(500), "without samples the caller's estimate is used")
	assert.Equal(t, l.Estimate(0, 8000).Median, ident.TokenCount(4000))
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		length := 4000 * math.Exp(0.5*random.NormFloat64())
		l.Observe(ident.TokenCount(length*math.Exp(0.5*random.NormFloat64())), ident.TokenCount(length))
	}
	high := l.Estimate(16000, 0)
	assert.Assert(t, high.Median > 6000 && high.Median < 11000, "%d", high.Median)
	assert.Assert(t, high.Spread > 0.25 && high.Spread < 0.45, "%f", high.Spread)
	none := l.Estimate(0, 0)
	assert.Assert(t, none.Median > 3000 && none.Median < 5500, "%d", none.Median)
}

// A burst of four times an engine's load with long prompts and random output lengths:
// admitted requests must rarely exceed the memory, and must fill most of it.
func TestBurstOfLongOutputs(t *testing.T) {
	const capacity, rounds = 101752, 400
	random := rand.New(rand.NewPCG(1, 2))
	policy := Policy{Capacity: capacity, Slots: 64, SafetyFactor: 1}
	type running struct{ held, generated, estimate, length ident.TokenCount }
	var engine []running
	overflows, utilization, samples := 0, 0.0, 0
	for range rounds {
		for {
			estimate := ident.TokenCount(2000 + random.IntN(4600))
			prompt := ident.TokenCount(2600 + random.IntN(5200))
			runs := make([]Run, 0, len(engine))
			for _, r := range engine {
				runs = append(runs, LengthEstimate{Median: r.estimate, Spread: 0.5, Limit: 7930}.Run(r.held, r.generated))
			}
			if !policy.Fits(runs, LengthEstimate{Median: estimate, Spread: 0.5, Limit: 7930}.Run(prompt, 0)) {
				break
			}
			length := min(7930, ident.TokenCount(float64(estimate)*(0.6+0.9*random.Float64())))
			engine = append(engine, running{held: prompt, estimate: estimate, length: length})
		}
		const step = 61
		held, kept := ident.TokenCount(0), engine[:0]
		for _, r := range engine {
			r.held, r.generated = r.held+step, r.generated+step
			if r.generated < r.length {
				kept = append(kept, r)
				held += r.held
			}
		}
		engine = kept
		if held > capacity {
			overflows++
		}
		utilization += float64(held) / capacity
		samples++
	}
	assert.Assert(t, overflows*100 <= rounds, "the memory was exceeded in %d of %d rounds", overflows, rounds)
	assert.Assert(t, utilization/float64(samples) > 0.7, "only %.2f of the memory was used", utilization/float64(samples))
}

// In a burst that keeps an engine full, with random output lengths, the wait until
// another request fits is computed from the means and is mostly shorter.
func TestExpectedWaitIsConservative(t *testing.T) {
	const spread, step = 0.35, 61
	random := rand.New(rand.NewPCG(1, 2))
	policy := Policy{Capacity: 101752, Slots: 64, SafetyFactor: 1}
	type running struct{ held, generated, estimate, length ident.TokenCount }
	var engine []running
	runs := func() []Run {
		list := make([]Run, len(engine))
		for i, r := range engine {
			list[i] = LengthEstimate{Median: r.estimate, Spread: spread, Limit: 7930}.Run(r.held, r.generated)
		}
		return list
	}
	fill := func() {
		for {
			estimate := ident.TokenCount(4270 * math.Exp(0.5*random.NormFloat64()-0.125))
			prompt := ident.TokenCount(2600 + random.IntN(5200))
			if !policy.Fits(runs(), LengthEstimate{Median: estimate, Spread: spread, Limit: 7930}.Run(prompt, 0)) {
				return
			}
			length := ident.TokenCount(float64(estimate) * math.Exp(spread*random.NormFloat64()))
			engine = append(engine, running{held: prompt, estimate: estimate, length: min(7930, max(step, length))})
		}
	}
	advance := func() {
		kept := engine[:0]
		for _, r := range engine {
			r.held, r.generated = r.held+step, r.generated+step
			if r.generated < r.length {
				kept = append(kept, r)
			}
		}
		engine = kept
	}
	next := LengthEstimate{Median: 4270, Spread: spread, Limit: 7930}.Run(5200, 0)
	waited, inHalf, early := 0, 0, 0
	for range 300 {
		for range 100 {
			fill()
			advance()
		}
		fill()
		expected := policy.StepsUntilFit(runs(), next)
		actual := ident.TokenCount(0)
		for ; !policy.Fits(runs(), next); actual += step {
			advance()
		}
		if expected == 0 {
			continue
		}
		waited++
		if actual < expected {
			early++
		}
		if 2*actual <= expected {
			inHalf++
		}
	}
	assert.Assert(t, 2*early > waited, "%d of %d waits were shorter than expected", early, waited)
	assert.Assert(t, 3*inHalf > waited, "%d of %d waits took at most half of the expected time", inHalf, waited)
}
