package bound

import (
	"cmp"
	"math"
	"slices"
)

// grid is the width of the intervals over which capacity is counted.
const grid = Seconds(0.25)

// Workload is a load and the engines that were there for it.
type Workload struct {
	Engine   EngineModel
	Requests []Request
	// Engines is how many engines there were, each from its time on.
	Engines []Count
	// Length is the time that the log spans.
	Length Seconds
}

// Count is a number of engines from a time on.
type Count struct {
	From  Seconds
	Count int
}

// engines is how many engines there are at a time.
func (d *Workload) engines(at Seconds) int {
	count := 0
	for _, c := range d.Engines {
		if c.From <= at {
			count = c.Count
		}
	}
	return count
}

// full is the time for one token while runs of the mean size fill the memory.
func (d *Workload) full() Seconds {
	held := 0.0
	for _, r := range d.Requests {
		held += float64(r.Prompt) + float64(r.Made)/2
	}
	mean := held / float64(max(1, len(d.Requests)))
	return d.Engine.step(min(d.Engine.Slots, int(float64(d.Engine.Memory)/mean)), float64(d.Engine.Memory))
}

// Upper returns for each request the share of it that a schedule could serve in
// time which knows all requests beforehand, splits requests and engines at will,
// and changes the engines' stages in no time. No schedule earns more worth, as long
// as it makes no answer more slowly than engines do whose memory is full.
//
// Between any two moments, requests that must be served between them can take no
// more than the engines' time between them. Under such constraints the greatest
// worth is found by taking requests by worth for engine time, each as far as it
// fits.
func (d *Workload) Upper() []float64 {
	width := int(math.Ceil(float64(d.Length/grid))) + 1
	capacity := make([]float64, width+1)
	for i := range width {
		capacity[i+1] = capacity[i] + float64(d.engines(Seconds(i)*grid))*float64(grid)
	}
	// free[s][e] is what is left between the starts of the intervals s and e.
	free := make([][]float64, width+1)
	for s := range free {
		free[s] = make([]float64, width+1)
		for e := range free[s] {
			free[s][e] = capacity[e] - capacity[min(s, e)]
		}
	}
	order := make([]int, len(d.Requests))
	density := make([]float64, len(d.Requests))
	for i, r := range d.Requests {
		order[i] = i
		density[i] = r.Worth / float64(d.Engine.cost(r))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(density[b], density[a]) })
	served := make([]float64, len(d.Requests))
	full := d.full()
	for _, i := range order {
		r := d.Requests[i]
		cost := float64(d.Engine.cost(r))
		ends := r.At + seconds(d.Engine.Objective) + Seconds(r.Made)*full
		first := min(width, int(r.At/grid))
		last := min(width, int(math.Ceil(float64(ends/grid))))
		most := cost
		for s := 0; s <= first; s++ {
			for e := last; e <= width; e++ {
				most = min(most, free[s][e])
			}
		}
		most = max(0, most)
		served[i] = most / cost
		for s := 0; s <= first; s++ {
			for e := last; e <= width; e++ {
				free[s][e] -= most
			}
		}
	}
	return served
}

// Worth is the worth of what was served by the worth of all, where late answers
// earn their share.
func (d *Workload) worth(inTime, late func(i int) float64) float64 {
	earned, owed := 0.0, 0.0
	for i, r := range d.Requests {
		earned += r.Worth * (inTime(i) + d.Engine.LateWorth*late(i))
		owed += r.Worth
	}
	if owed == 0 {
		return 0
	}
	return earned / owed
}
