package bound

import (
	"cmp"
	"math"
	"slices"
)

// interval is the time resolution of the engines' capacity.
const interval = Seconds(0.25)

// Workload is the logged requests and the engines that were available for them.
type Workload struct {
	Engine   EngineModel
	Requests []Request
	// EngineCounts is the number of engines over time, in order.
	EngineCounts []EngineCount
	// Duration is the time span of the log.
	Duration Seconds
}

// EngineCount is the number of engines from a point in time on.
type EngineCount struct {
	From  Seconds
	Count int
}

// engines returns the number of engines at a point in time.
func (w *Workload) engines(at Seconds) int {
	count := 0
	for _, c := range w.EngineCounts {
		if c.From <= at {
			count = c.Count
		}
	}
	return count
}

// fullStepTime returns the step time while runs of mean size fill the memory.
func (w *Workload) fullStepTime() Seconds {
	held := 0.0
	for _, r := range w.Requests {
		held += float64(r.Prompt) + float64(r.Output)/2
	}
	mean := held / float64(max(1, len(w.Requests)))
	return w.Engine.stepTime(min(w.Engine.Slots, int(float64(w.Engine.Capacity)/mean)), float64(w.Engine.Capacity))
}

// UpperBound returns the share of each request that an ideal schedule serves in time: it
// knows all requests in advance, divides requests and engines arbitrarily, and changes
// the engines' stages instantly. No schedule earns more value, provided that it
// generates no output more slowly than engines with full memory do.
//
// Requests that must be served within an interval can use at most the engines' time
// within it. Under these constraints a greedy choice by value per engine time is optimal,
// with each request served as far as it fits.
func (w *Workload) UpperBound() []float64 {
	width := int(math.Ceil(float64(w.Duration/interval))) + 1
	capacity := make([]float64, width+1)
	for i := range width {
		capacity[i+1] = capacity[i] + float64(w.engines(Seconds(i)*interval))*float64(interval)
	}
	// free[s][e] is the engine time left between the starts of the intervals s and e.
	free := make([][]float64, width+1)
	for s := range free {
		free[s] = make([]float64, width+1)
		for e := range free[s] {
			free[s][e] = capacity[e] - capacity[min(s, e)]
		}
	}
	order := make([]int, len(w.Requests))
	density := make([]float64, len(w.Requests))
	for i, r := range w.Requests {
		order[i] = i
		density[i] = r.Value / float64(w.Engine.minEngineTime(r))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(density[b], density[a]) })
	served := make([]float64, len(w.Requests))
	stepTime := w.fullStepTime()
	for _, i := range order {
		r := w.Requests[i]
		engineTime := float64(w.Engine.minEngineTime(r))
		latestEnd := r.At + seconds(w.Engine.FirstTokenTarget) + Seconds(r.Output)*stepTime
		first := min(width, int(r.At/interval))
		last := min(width, int(math.Ceil(float64(latestEnd/interval))))
		granted := engineTime
		for s := 0; s <= first; s++ {
			for e := last; e <= width; e++ {
				granted = min(granted, free[s][e])
			}
		}
		granted = max(0, granted)
		served[i] = granted / engineTime
		for s := 0; s <= first; s++ {
			for e := last; e <= width; e++ {
				free[s][e] -= granted
			}
		}
	}
	return served
}

// valueShare returns the value of the served requests as a share of all; late responses
// earn LateValue.
func (w *Workload) valueShare(inTime, late func(i int) float64) float64 {
	earned, total := 0.0, 0.0
	for i, r := range w.Requests {
		earned += r.Value * (inTime(i) + w.Engine.LateValue*late(i))
		total += r.Value
	}
	if total == 0 {
		return 0
	}
	return earned / total
}
