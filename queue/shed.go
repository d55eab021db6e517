package queue

import (
	"slices"
	"time"

	"crocusstep/ident"
)

// Forecast is what a queue needs to know to tell who can start in time.
type Forecast struct {
	// NextFree is when the next place becomes free.
	NextFree time.Time
	// PerCost is how long one unit of cost holds a place; zero is unknown.
	PerCost time.Duration
	Slots  int
}

// Shed takes tickets out until all that wait can start by their deadlines, and
// returns them. It follows Moore and Hodgson's rule, which loses the fewest:
// in the order of deadlines, at the first ticket that would start too late, one
// of those up to it gives way. Only the workspace that waits for the most work
// per share gives way, so that no herd pushes another's requests out.
func (q *Queue) Shed(o Forecast, newcomer ident.AttemptID) []Waiter {
	var shed []Waiter
	for {
		late := q.untilLate(o)
		if len(late) == 0 {
			return shed
		}
		victim := q.victim(late, newcomer)
		q.Remove(victim.Workspace, victim.Attempt)
		shed = append(shed, victim)
	}
}

// untilLate returns the tickets up to the first that would start too late, in
// the order of deadlines, or none if all can start in time.
func (q *Queue) untilLate(o Forecast) []Waiter {
	if o.PerCost <= 0 {
		return nil
	}
	waiting := q.tickets()
	start := o.NextFree
	for i, ticket := range waiting {
		if start.After(ticket.Deadline) {
			return waiting[:i+1]
		}
		start = start.Add(time.Duration(ticket.Cost * float64(o.PerCost) / float64(max(1, o.Slots))))
	}
	return nil
}

// tickets returns all that wait, by deadline.
func (q *Queue) tickets() []Waiter {
	all := make([]Waiter, 0, q.length)
	for _, l := range q.lanes {
		all = append(all, l.tickets...)
	}
	slices.SortFunc(all, func(a, b Waiter) int {
		if earlier(a, b) {
			return -1
		}
		return 1
	})
	return all
}

// victim chooses who gives way among tickets of which one would be late.
func (q *Queue) victim(late []Waiter, newcomer ident.AttemptID) Waiter {
	loads := map[ident.WorkspaceName]float64{}
	total := 0.0
	for _, ticket := range late {
		loads[ticket.Workspace] += ticket.Cost / float64(max(1, ticket.Weight))
		total += ticket.Cost
	}
	mean := total / float64(len(late))
	heaviest := slices.MaxFunc(late, func(a, b Waiter) int { return order(loads[a.Workspace], loads[b.Workspace]) }).Workspace
	var worst Waiter
	highest := -1.0
	for _, ticket := range late {
		if ticket.Workspace != heaviest {
			continue
		}
		score := ticket.GoodputWeight * ticket.Cost / max(mean, 1)
		if ticket.Attempt == newcomer {
			score += 1 - ticket.GoodputWeight
		}
		if score > highest {
			highest = score
			worst = ticket
		}
	}
	return worst
}

func order(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
