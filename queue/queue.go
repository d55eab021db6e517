// Package queue decides which request starts next when capacity is scarce: by
// weighted fair queuing between workspaces, and by earliest deadline within one.
package queue

import (
	"container/heap"
	"time"

	"crocusstep/ident"
)

// Waiter is an attempt that waits for a slot.
type Waiter struct {
	Attempt   ident.AttemptID
	Workspace ident.WorkspaceName
	// Weight is the workspace's weight; values below 1 count as 1.
	Weight int
	// Priority takes precedence over fairness and deadlines; higher starts
	// first.
	Priority int
	// Deadline is the latest useful start time.
	Deadline time.Time
	// GoodputWeight selects which waiter is shed when not all can start in time: at 1
	// the waiter with the highest cost, at 0 the newcomer; values in between
	// mix both.
	GoodputWeight float64
	// Cost is the expected work, in any unit that is the same for the whole
	// queue.
	Cost float64
}

// Queue orders waiters. It does no I/O and reads no clock.
type Queue struct {
	// flows holds the waiters of each workspace by deadline. A flow that becomes
	// empty keeps its served cost until the others have caught up with it.
	flows map[ident.WorkspaceName]*flow
	// virtualTime is the service level at which a flow that becomes active
	// starts, so that idle workspaces don't accumulate credit.
	virtualTime float64
	length      int
	cost        float64
}

type flow struct {
	// served is the cost started so far divided by the weight.
	served  float64
	waiters deadlineHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{flows: map[ident.WorkspaceName]*flow{}} }

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// Cost returns the total cost of all waiters.
func (q *Queue) Cost() float64 { return q.cost }

// Push adds a waiter.
func (q *Queue) Push(waiter Waiter) {
	f, ok := q.flows[waiter.Workspace]
	if !ok {
		f = &flow{served: q.virtualTime}
		q.flows[waiter.Workspace] = f
	}
	if len(f.waiters) == 0 {
		f.served = max(f.served, q.virtualTime)
	}
	heap.Push(&f.waiters, waiter)
	q.length++
	q.cost += waiter.Cost
}

// Pop removes the waiter that starts next.
func (q *Queue) Pop() (waiter Waiter, found bool) {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiters) > 0 && (best == nil || flowLess(f, best)) {
			best = f
		}
	}
	if best == nil {
		return Waiter{}, false
	}
	waiter = heap.Pop(&best.waiters).(Waiter)
	q.virtualTime = max(q.virtualTime, best.served)
	best.served += waiter.Cost / float64(max(1, waiter.Weight))
	q.length--
	q.cost -= waiter.Cost
	return waiter, true
}

// Remove removes a waiter; it reports whether it was in the queue.
func (q *Queue) Remove(workspace ident.WorkspaceName, attempt ident.AttemptID) bool {
	f, ok := q.flows[workspace]
	if !ok {
		return false
	}
	for i, waiter := range f.waiters {
		if waiter.Attempt == attempt {
			heap.Remove(&f.waiters, i)
			q.length--
			q.cost -= waiter.Cost
			return true
		}
	}
	return false
}

// flowLess orders flows that are not empty. Ties are broken by deadline and
// then by attempt, so that the order doesn't depend on map iteration.
func flowLess(a, b *flow) bool {
	first, second := a.waiters[0], b.waiters[0]
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if a.served != b.served {
		return a.served < b.served
	}
	return deadlineLess(first, second)
}

func deadlineLess(a, b Waiter) bool {
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
	return deadlineLess(h[i], h[j])
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
