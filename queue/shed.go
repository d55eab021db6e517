package queue

import (
	"slices"
	"time"

	"crocusstep/ident"
)

// Forecast estimates when slots become free. Shed uses it to determine which
// waiters can start in time.
type Forecast struct {
	// NextFree is when the next slot becomes free.
	NextFree time.Time
	// PerCost is how long a slot is held per unit of cost; zero means unknown.
	PerCost time.Duration
	Slots   int
}

// Shed removes waiters until all others can start by their deadlines, and
// returns them. It follows the Moore-Hodgson algorithm, which minimizes the
// number of late jobs: in deadline order, at the first waiter that would start
// too late, one of the waiters up to it is shed. Only the workspace with the
// highest waiting cost per weight sheds, so that a burst can't displace the
// requests of other workspaces.
func (q *Queue) Shed(forecast Forecast, newcomer ident.AttemptID) []Waiter {
	var shed []Waiter
	for {
		late := q.untilFirstLate(forecast)
		if len(late) == 0 {
			return shed
		}
		victim := q.victim(late, newcomer)
		q.Remove(victim.Workspace, victim.Attempt)
		shed = append(shed, victim)
	}
}

// untilFirstLate returns the waiters in deadline order up to the first that
// would start too late, or nil if all can start in time.
func (q *Queue) untilFirstLate(forecast Forecast) []Waiter {
	if forecast.PerCost <= 0 {
		return nil
	}
	waiting := q.waiters()
	start := forecast.NextFree
	for i, waiter := range waiting {
		if start.After(waiter.Deadline) {
			return waiting[:i+1]
		}
		start = start.Add(time.Duration(waiter.Cost * float64(forecast.PerCost) / float64(max(1, forecast.Slots))))
	}
	return nil
}

// waiters returns all waiters in deadline order.
func (q *Queue) waiters() []Waiter {
	all := make([]Waiter, 0, q.length)
	for _, f := range q.flows {
		all = append(all, f.waiters...)
	}
	slices.SortFunc(all, func(a, b Waiter) int {
		if deadlineLess(a, b) {
			return -1
		}
		return 1
	})
	return all
}

// victim selects the waiter to shed among waiters of which one would be late.
func (q *Queue) victim(late []Waiter, newcomer ident.AttemptID) Waiter {
	loads := map[ident.WorkspaceName]float64{}
	total := 0.0
	for _, waiter := range late {
		loads[waiter.Workspace] += waiter.Cost / float64(max(1, waiter.Weight))
		total += waiter.Cost
	}
	mean := total / float64(len(late))
	heaviest := slices.MaxFunc(late, func(a, b Waiter) int { return compare(loads[a.Workspace], loads[b.Workspace]) }).Workspace
	var worst Waiter
	highest := -1.0
	for _, waiter := range late {
		if waiter.Workspace != heaviest {
			continue
		}
		score := waiter.GoodputWeight * waiter.Cost / max(mean, 1)
		if waiter.Attempt == newcomer {
			score += 1 - waiter.GoodputWeight
		}
		if score > highest {
			highest = score
			worst = waiter
		}
	}
	return worst
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
