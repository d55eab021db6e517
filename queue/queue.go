// Package gate decides who may start next where capacity is scarce: by
// workspace share first and by deadline within a workspace.
package queue

import (
	"container/heap"
	"time"

	"crocusstep/ident"
)

// Waiter is one request for a place.
type Waiter struct {
	Attempt   ident.AttemptID
	Workspace ident.WorkspaceName
	// Weight is the workspace's share; at least 1.
	Weight int
	// Priority goes before everything else; higher starts first.
	Priority int
	// Deadline is the latest time at which starting still helps.
	Deadline time.Time
	// GoodputWeight moves who gives way when not all can start in time: with 1
	// whoever brings the most work, with 0 whoever came last.
	GoodputWeight float64
	// Cost is the work that the ticket brings, in any one unit per queue.
	Cost float64
}

// Queue orders tickets. It does no input or output and knows no clock.
type Queue struct {
	// lanes holds the waiting tickets of each workspace by deadline; a lane
	// stays until its workspace has caught up with the others.
	lanes map[ident.WorkspaceName]*lane
	// virtual is the service level that a lane which wakes up starts from, so
	// that idle time is not saved up.
	virtual float64
	length  int
	cost    float64
}

type lane struct {
	// served is the cost started so far divided by the weight.
	served  float64
	tickets deadlineHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{lanes: map[ident.WorkspaceName]*lane{}} }

// Len returns how many tickets wait.
func (q *Queue) Len() int { return q.length }

// Cost returns the work of all waiting tickets.
func (q *Queue) Cost() float64 { return q.cost }

// Push adds a ticket.
func (q *Queue) Push(ticket Waiter) {
	l, ok := q.lanes[ticket.Workspace]
	if !ok {
		l = &lane{served: q.virtual}
		q.lanes[ticket.Workspace] = l
	}
	if len(l.tickets) == 0 {
		l.served = max(l.served, q.virtual)
	}
	heap.Push(&l.tickets, ticket)
	q.length++
	q.cost += ticket.Cost
}

// Pop takes the ticket that starts next.
func (q *Queue) Pop() (ticket Waiter, found bool) {
	var best *lane
	for _, l := range q.lanes {
		if len(l.tickets) > 0 && (best == nil || goesBefore(l, best)) {
			best = l
		}
	}
	if best == nil {
		return Waiter{}, false
	}
	ticket = heap.Pop(&best.tickets).(Waiter)
	q.virtual = max(q.virtual, best.served)
	best.served += ticket.Cost / float64(max(1, ticket.Weight))
	q.length--
	q.cost -= ticket.Cost
	return ticket, true
}

// Remove takes a ticket out that no longer waits; it reports whether it waited.
func (q *Queue) Remove(workspace ident.WorkspaceName, attempt ident.AttemptID) bool {
	l, ok := q.lanes[workspace]
	if !ok {
		return false
	}
	for i, ticket := range l.tickets {
		if ticket.Attempt == attempt {
			heap.Remove(&l.tickets, i)
			q.length--
			q.cost -= ticket.Cost
			return true
		}
	}
	return false
}

// goesBefore orders lanes that are not empty. Ties go by deadline and then by
// attempt, so that the order does not hang on map iteration.
func goesBefore(a, b *lane) bool {
	first, second := a.tickets[0], b.tickets[0]
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if a.served != b.served {
		return a.served < b.served
	}
	return earlier(first, second)
}

func earlier(a, b Waiter) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Attempt < b.Attempt
}

type deadlineHeap []Waiter

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return earlier(h[i], h[j])
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(Waiter)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
