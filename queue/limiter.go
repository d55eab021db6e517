package queue

import (
	"context"
	"sync"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
)

// Limiter lets a bounded number of attempts hold a place at once; the others wait
// in a queue. A place that is held without being used expires.
type Limiter struct {
	mutex    sync.Mutex
	capacity int
	queue    *Queue
	// waiters holds a channel for each attempt that waits, closed when it is
	// granted a place or has to give way.
	waiters map[ident.AttemptID]chan struct{}
	// shed holds those that had to give way until they have noticed.
	shed map[ident.AttemptID]*fault.Refusal
	// held never has more than capacity places.
	held map[ident.AttemptID]*place
	// pace is the learned time between two departures per unit of cost.
	pace pace
}

type place struct {
	cost float64
	// expiry ends a place that is not in use; nil once it is.
	expiry *time.Timer
	since  time.Time
}

// NewLimiter returns a gate with the capacity in places.
func NewLimiter(capacity int) *Limiter {
	return &Limiter{
		capacity: capacity,
		queue:    NewQueue(),
		waiters:  map[ident.AttemptID]chan struct{}{},
		shed:     map[ident.AttemptID]*fault.Refusal{},
		held:     map[ident.AttemptID]*place{},
	}
}

// State is a gate's load.
type State struct {
	Free    int
	Waiting int
	// Cost is the work that waits or is held.
	Cost float64
}

// State returns the gate's load at the moment.
func (g *Limiter) State() State {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	cost := g.queue.Cost()
	for _, p := range g.held {
		cost += p.cost
	}
	return State{Free: g.capacity - len(g.held), Waiting: g.queue.Len(), Cost: cost}
}

// SetCapacity changes the number of places; those held stay held.
func (g *Limiter) SetCapacity(capacity int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.capacity = capacity
	g.advance()
}

// Acquire waits for a place until the ticket's deadline or the context's end.
// The place is given back after holdFor unless Use is called before. As soon as
// not all that wait can start in time, one of them is refused: a newcomer, or one
// that has waited for a while.
func (g *Limiter) Acquire(ctx context.Context, ticket Waiter, wait, holdFor time.Duration) error {
	now := time.Now()
	entered, refusal := g.join(ticket, now, wait)
	if refusal != nil {
		return refusal
	}
	timer := time.NewTimer(min(wait, max(0, ticket.Deadline.Sub(now))))
	defer timer.Stop()
	select {
	case <-entered:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.settle(ticket, holdFor, ctx.Err() != nil)
}

func (g *Limiter) join(ticket Waiter, now time.Time, wait time.Duration) (chan struct{}, *fault.Refusal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.After(ticket.Deadline) {
		return nil, fault.New(fault.TargetUnreachable, "it is too late to start").After(g.expectedWait())
	}
	if latest := now.Add(wait); latest.Before(ticket.Deadline) {
		ticket.Deadline = latest
	}
	entered := make(chan struct{})
	g.waiters[ticket.Attempt] = entered
	g.queue.Push(ticket)
	g.advance()
	g.shedLate(now, ticket.Attempt)
	return entered, nil
}

// shedLate makes those give way who would keep others from starting in time.
func (g *Limiter) shedLate(now time.Time, newcomer ident.AttemptID) {
	outlook := Forecast{NextFree: g.nextFree(now), PerCost: g.pace.perCost(), Slots: g.capacity}
	for _, ticket := range g.queue.Shed(outlook, newcomer) {
		wait := g.expectedWait()
		g.shed[ticket.Attempt] = fault.New(fault.TargetUnreachable, "the expected wait is %s", wait.Round(time.Millisecond)).After(wait)
		close(g.waiters[ticket.Attempt])
	}
}

// nextFree estimates when the first of the held places is given back.
func (g *Limiter) nextFree(now time.Time) time.Time {
	if len(g.held) < g.capacity {
		return now
	}
	var next time.Time
	for _, p := range g.held {
		ends := p.since.Add(time.Duration(p.cost * float64(g.pace.perCost())))
		if next.IsZero() || ends.Before(next) {
			next = ends
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// expectedWait is how long a ticket that comes now would wait.
func (g *Limiter) expectedWait() time.Duration {
	if len(g.held) < g.capacity && g.queue.Len() == 0 {
		return 0
	}
	return time.Duration(g.queue.Cost() * float64(g.pace.perCost()) / float64(max(1, g.capacity)))
}

// settle ends a wait: the place may have been granted at the last moment.
func (g *Limiter) settle(ticket Waiter, holdFor time.Duration, gone bool) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiters, ticket.Attempt)
	if refusal, gaveWay := g.shed[ticket.Attempt]; gaveWay {
		delete(g.shed, ticket.Attempt)
		return refusal
	}
	p, granted := g.held[ticket.Attempt]
	switch {
	case granted && gone:
		g.drop(ticket.Attempt)
		return fault.New(fault.Cancelled, "the request was cancelled while it waited")
	case granted:
		p.expiry = time.AfterFunc(holdFor, func() { g.Release(ticket.Attempt) })
		return nil
	}
	g.queue.Remove(ticket.Workspace, ticket.Attempt)
	if gone {
		return fault.New(fault.Cancelled, "the request was cancelled while it waited")
	}
	return fault.New(fault.EndpointBusy, "no place became free in time").After(g.expectedWait())
}

// Confirm keeps a held place until Leave; it reports whether it was still held.
func (g *Limiter) Confirm(attempt ident.AttemptID) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p, ok := g.held[attempt]
	if !ok {
		return false
	}
	if p.expiry != nil {
		p.expiry.Stop()
		p.expiry = nil
	}
	return true
}

// Holds reports whether the attempt holds a place.
func (g *Limiter) Holds(attempt ident.AttemptID) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, ok := g.held[attempt]
	return ok
}

// Held returns how many places are held.
func (g *Limiter) Held() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.held)
}

// Release gives a place back.
func (g *Limiter) Release(attempt ident.AttemptID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.drop(attempt)
}

func (g *Limiter) drop(attempt ident.AttemptID) {
	p, ok := g.held[attempt]
	if !ok {
		return
	}
	if p.expiry != nil {
		p.expiry.Stop()
	}
	delete(g.held, attempt)
	g.pace.observe(p.cost, time.Since(p.since))
	g.advance()
}

// advance grants free places to those who wait.
func (g *Limiter) advance() {
	for len(g.held) < g.capacity {
		ticket, found := g.queue.Pop()
		if !found {
			return
		}
		g.held[ticket.Attempt] = &place{cost: ticket.Cost, since: time.Now()}
		close(g.waiters[ticket.Attempt])
	}
}
