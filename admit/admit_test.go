package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/ident"
)

var start = time.Unix(1000, 0)

func TestDebt(t *testing.T) {
	scenarios := []struct {
		testName string
		// tokens and weights are those of the workspaces, by number.
		tokens  []ident.TokenCount
		weights []float64
		debts   []int
	}{
		{testName: "nothing used, no debt", tokens: []ident.TokenCount{0, 0}, weights: []float64{1, 1}, debts: []int{0, 0}},
		{testName: "equal use, no debt", tokens: []ident.TokenCount{5000, 5000}, weights: []float64{1, 1}, debts: []int{0, 0}},
		{testName: "use by weight, no debt", tokens: []ident.TokenCount{40000, 10000}, weights: []float64{4, 1}, debts: []int{0, 0}},
		{testName: "twice the share", tokens: []ident.TokenCount{20000, 0}, weights: []float64{1, 1}, debts: []int{3, 0}},
		{testName: "a weight that is no number counts as 1", tokens: []ident.TokenCount{10000, 10000}, weights: []float64{-1, 0}, debts: []int{0, 0}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := NewBook()
			for i, tokens := range s.tokens {
				o := Order{Workspace: ident.WorkspaceName(fmt.Sprint(i)), Weight: s.weights[i]}
				b.Ask(start, o, InTime)
				b.Grant(start, o, tokens)
			}
			for i, debt := range s.debts {
				assert.Equal(t, b.Debt(start, ident.WorkspaceName(fmt.Sprint(i))), debt)
			}
		})
	}
}

// TestCorrect replaces expected tokens by those used.
func TestCorrect(t *testing.T) {
	b := NewBook()
	a, other := Order{Workspace: "a"}, Order{Workspace: "b"}
	for _, o := range []Order{a, other} {
		b.Ask(start, o, InTime)
	}
	b.Grant(start, a, 20000)
	b.Grant(start, other, 10000)
	assert.Assert(t, b.Debt(start, "a") > 0)
	b.Correct(start.Add(time.Second), start, a, -10000)
	assert.Equal(t, b.Debt(start.Add(time.Second), "a"), 0)
}

// TestAging has a less urgent priority served only when it is aged: half as often as all.
func TestAging(t *testing.T) {
	b := NewBook()
	urgent, other := Order{Priority: 0}, Order{Priority: 2}
	served := 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		b.Ask(now, urgent, InTime)
		if i%4 != 0 {
			b.Grant(now, urgent, 1000)
		}
		b.Ask(now, other, InTime)
		if b.Rank(now, other, InTime).Compare(b.Rank(now, urgent, InTime)) < 0 {
			b.Grant(now, other, 1000)
			served++
		}
	}
	// 300 of 400 urgent ones are served; all are s = (300 + served) / 800, served / 400 = s / 2.
	assert.Assert(t, served >= 95 && served <= 105, "%d", served)
	assert.Assert(t, Rank{Timing: Begun}.Compare(Rank{Timing: InTime, Aged: true}) < 0, "streams that have begun precede the aged")
}

// TestDemand counts a request once, at the first keeper, and forgets a burst.
func TestDemand(t *testing.T) {
	b := NewBook()
	o := &Order{Priority: 0}
	for range 20 {
		b.Ask(start, *o.AskedFirst(), InTime)
		b.Ask(start, *o.AskedAgain(), InTime)
	}
	late := Rank{Timing: Late}
	assert.Equal(t, b.RateAhead(start, late), 10.0, "20 in 2 s")
	assert.Equal(t, b.RateAhead(start, Rank{Timing: InTime}), 0.0)
	assert.Assert(t, b.RateAhead(start.Add(10*time.Second), late) < 0.1)
	assert.Assert(t, (*Order)(nil).AskedAgain() == nil)
}

// TestBookIsBounded asks for more workspaces than a book keeps apart.
func TestBookIsBounded(t *testing.T) {
	b := NewBook()
	for i := range 10 * maxEntries {
		o := Order{Workspace: ident.WorkspaceName(fmt.Sprint(i)), Priority: i}
		b.Ask(start, o, InTime)
		b.Grant(start, o, 1000)
		b.Rank(start, o, InTime)
	}
	assert.Assert(t, len(b.demand) <= maxEntries && len(b.usages) <= maxEntries && len(b.services) <= maxEntries)
	b.Ask(start.Add(time.Hour), Order{}, InTime)
	assert.Equal(t, len(b.demand)+len(b.usages)+len(b.services), 3)
}

// TestCompareIsAnOrder has ranks compare the same in both directions and transitively.
func TestCompareIsAnOrder(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Rank {
		return Rank{
			Timing: Timing(rapid.IntRange(0, 3).Draw(t, "timing")), Aged: rapid.Bool().Draw(t, "aged"),
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Debt: rapid.IntRange(0, 2).Draw(t, "debt"), Inner: rapid.IntRange(0, 2).Draw(t, "inner"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		assert.Equal(t, a.Compare(b), -b.Compare(a))
		assert.Assert(t, !(a.Compare(b) <= 0 && b.Compare(c) <= 0 && a.Compare(c) > 0))
	})
}

func TestYields(t *testing.T) {
	scenarios := []struct {
		testName string
		rate     float64
		// free is the number of requests that fit now; one more fits each 400 ms.
		free   int
		yields bool
	}{
		{testName: "nobody else asks", rate: 0, free: 1},
		{testName: "memory is free again before the next arrives", rate: 2, free: 1},
		{testName: "the next arrives earlier", rate: 3, free: 1, yields: true},
		{testName: "there is memory for the next ones too", rate: 3, free: 4},
		{testName: "more arrive than memory becomes free for", rate: 20, free: 4, yields: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			fitsIn := func(behind int, admitted bool) time.Duration {
				if admitted {
					behind++
				}
				return time.Duration(max(0, behind+1-s.free)) * 400 * time.Millisecond
			}
			assert.Equal(t, Yields(s.rate, fitsIn), s.yields)
		})
	}
}
