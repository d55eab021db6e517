package cost

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

func identName(name string) ident.EndpointName { return ident.EndpointName(name) }

// TestOrderWithoutUncertainty compares with the order of the costs alone.
func TestOrderWithoutUncertainty(t *testing.T) {
	got := Order([]int{30, 10, 20, 10}, func(c int) (time.Duration, time.Duration) { return time.Duration(c), 0 }, nil)
	assert.DeepEqual(t, got, []int{10, 10, 20, 30})
}

// A fleet of relays sends requests to engines that differ in speed. Each knows the engines' backlogs
// of one second ago and what it has itself sent since; of the others' requests it hears nothing.
type herd struct {
	relays, engines int
	newsAge         time.Duration
	work            time.Duration
	// busy is the share of the time that the engines are in use.
	busy float64
}

// play returns how many requests each engine gets within ten seconds.
func (h herd) play(random *rand.Rand, deviation func(work, age time.Duration, busy float64) time.Duration) []int {
	const step = 10 * time.Millisecond
	counts := make([]int, h.engines)
	backlog := make([]time.Duration, h.engines)
	news := make([]time.Duration, h.engines)
	own := make([][]time.Duration, h.relays)
	for r := range own {
		own[r] = make([]time.Duration, h.engines)
	}
	engines := make([]int, h.engines)
	for e := range engines {
		engines[e] = e
	}
	due := 0.0
	var sinceNews time.Duration
	for range int(10 * time.Second / step) {
		if sinceNews >= h.newsAge {
			sinceNews = 0
			copy(news, backlog)
			for r := range own {
				clear(own[r])
			}
		}
		for due += h.busy * float64(h.engines) * float64(step) / float64(h.work); due >= 1; due-- {
			r := random.IntN(h.relays)
			chosen := Order(slices.Clone(engines), func(e int) (time.Duration, time.Duration) {
				return max(0, news[e]-sinceNews) + own[r][e] + h.work, deviation(h.work, sinceNews, h.busy)
			}, random)[0]
			own[r][chosen] += h.work
			backlog[chosen] += h.work
			counts[chosen]++
		}
		for e := range backlog {
			backlog[e] = max(0, backlog[e]-step)
		}
		sinceNews += step
	}
	return counts
}

func busiest(counts []int) float64 {
	sum := 0
	for _, c := range counts {
		sum += c
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(sum)
}

// TestHerd lets 31 relays choose among 20 engines with news one second old. No engine may get more
// than twice the mean, which it could not serve at half of its speed.
func TestHerd(t *testing.T) {
	h := herd{relays: 31, engines: 20, newsAge: time.Second, work: 90 * time.Millisecond, busy: 0.5}
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			cheapest := busiest(h.play(rand.New(rand.NewPCG(seed, 1)), func(time.Duration, time.Duration, float64) time.Duration { return 0 }))
			weighted := busiest(h.play(rand.New(rand.NewPCG(seed, 1)), Uncertainty))
			t.Logf("busiest engine: %.2f of the mean by least cost, %.2f by weights", cheapest, weighted)
			assert.Assert(t, weighted < 2, "the busiest engine gets %.2f times the mean", weighted)
			assert.Assert(t, weighted < cheapest)
		})
	}
}
