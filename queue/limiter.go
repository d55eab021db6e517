package queue

import (
	"context"
	"sync"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
)

// Limiter limits how many attempts hold a slot concurrently; the others wait in a
// queue. A slot that is granted but not confirmed expires.
type Limiter struct {
	mutex    sync.Mutex
	capacity int
	queue    *Queue
	// notify holds a channel for each waiting attempt, closed when it is
	// granted a slot or shed.
	notify map[ident.AttemptID]chan struct{}
	// shed holds the refusals of attempts that were shed, until Acquire returns
	// them.
	shed map[ident.AttemptID]*fault.Refusal
	// held never exceeds capacity, except after capacity was lowered.
	held map[ident.AttemptID]*slot
	// holdTime is the average time that a slot is held per unit of cost.
	holdTime holdTime
}

type slot struct {
	cost float64
	// expiry releases a slot that is not confirmed in time; nil once confirmed.
	expiry    *time.Timer
	grantedAt time.Time
}

// NewLimiter returns a limiter with this many slots.
func NewLimiter(capacity int) *Limiter {
	return &Limiter{
		capacity: capacity,
		queue:    NewQueue(),
		notify:   map[ident.AttemptID]chan struct{}{},
		shed:     map[ident.AttemptID]*fault.Refusal{},
		held:     map[ident.AttemptID]*slot{},
	}
}

// State is the load of a limiter.
type State struct {
	Free    int
	Waiting int
	// Cost is the total cost of waiting and held attempts.
	Cost float64
}

// State returns the limiter's current load.
func (l *Limiter) State() State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	cost := l.queue.Cost()
	for _, s := range l.held {
		cost += s.cost
	}
	return State{Free: l.capacity - len(l.held), Waiting: l.queue.Len(), Cost: cost}
}

// SetCapacity changes the number of slots; held slots are not revoked.
func (l *Limiter) SetCapacity(capacity int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.capacity = capacity
	l.dispatch()
}

// Acquire waits for a slot until maxWait has passed, the waiter's deadline is
// reached or the context is cancelled. The slot is released after holdTimeout
// unless Confirm is called before. As soon as not all waiters can start by
// their deadlines, one of them is shed: the newcomer or one that already waits.
func (l *Limiter) Acquire(ctx context.Context, waiter Waiter, maxWait, holdTimeout time.Duration) error {
	now := time.Now()
	notified, refusal := l.enqueue(waiter, now, maxWait)
	if refusal != nil {
		return refusal
	}
	timer := time.NewTimer(min(maxWait, max(0, waiter.Deadline.Sub(now))))
	defer timer.Stop()
	select {
	case <-notified:
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.finishWait(waiter, holdTimeout, ctx.Err() != nil)
}

func (l *Limiter) enqueue(waiter Waiter, now time.Time, maxWait time.Duration) (chan struct{}, *fault.Refusal) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.After(waiter.Deadline) {
		return nil, fault.New(fault.TargetUnreachable, "it is too late to start").WithRetryAfter(l.expectedWait())
	}
	if latest := now.Add(maxWait); latest.Before(waiter.Deadline) {
		waiter.Deadline = latest
	}
	notified := make(chan struct{})
	l.notify[waiter.Attempt] = notified
	l.queue.Push(waiter)
	l.dispatch()
	l.shedLate(now, waiter.Attempt)
	return notified, nil
}

// shedLate sheds waiters that would keep others from starting by their
// deadlines.
func (l *Limiter) shedLate(now time.Time, newcomer ident.AttemptID) {
	forecast := Forecast{NextFree: l.nextRelease(now), PerCost: l.holdTime.perCost(), Slots: l.capacity}
	for _, waiter := range l.queue.Shed(forecast, newcomer) {
		wait := l.expectedWait()
		l.shed[waiter.Attempt] = fault.New(fault.TargetUnreachable, "the expected wait is %s", wait.Round(time.Millisecond)).WithRetryAfter(wait)
		close(l.notify[waiter.Attempt])
	}
}

// nextRelease estimates when the first of the held slots is released.
func (l *Limiter) nextRelease(now time.Time) time.Time {
	if len(l.held) < l.capacity {
		return now
	}
	var next time.Time
	for _, s := range l.held {
		end := s.grantedAt.Add(time.Duration(s.cost * float64(l.holdTime.perCost())))
		if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// expectedWait estimates how long a waiter that arrives now would wait.
func (l *Limiter) expectedWait() time.Duration {
	if len(l.held) < l.capacity && l.queue.Len() == 0 {
		return 0
	}
	return time.Duration(l.queue.Cost() * float64(l.holdTime.perCost()) / float64(max(1, l.capacity)))
}

// finishWait ends a wait. The slot may have been granted at the last moment, so
// it checks the result under the lock.
func (l *Limiter) finishWait(waiter Waiter, holdTimeout time.Duration, cancelled bool) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.notify, waiter.Attempt)
	if refusal, wasShed := l.shed[waiter.Attempt]; wasShed {
		delete(l.shed, waiter.Attempt)
		return refusal
	}
	s, granted := l.held[waiter.Attempt]
	switch {
	case granted && cancelled:
		l.release(waiter.Attempt)
		return fault.New(fault.Cancelled, "the request was cancelled while it waited")
	case granted:
		s.expiry = time.AfterFunc(holdTimeout, func() { l.Release(waiter.Attempt) })
		return nil
	}
	l.queue.Remove(waiter.Workspace, waiter.Attempt)
	if cancelled {
		return fault.New(fault.Cancelled, "the request was cancelled while it waited")
	}
	return fault.New(fault.EndpointBusy, "no place became free in time").WithRetryAfter(l.expectedWait())
}

// Confirm keeps a granted slot until Release; it returns false if the slot has
// expired.
func (l *Limiter) Confirm(attempt ident.AttemptID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s, ok := l.held[attempt]
	if !ok {
		return false
	}
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
	return true
}

// Holds reports whether the attempt holds a slot.
func (l *Limiter) Holds(attempt ident.AttemptID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, ok := l.held[attempt]
	return ok
}

// Held returns how many slots are held.
func (l *Limiter) Held() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.held)
}

// Release returns a slot.
func (l *Limiter) Release(attempt ident.AttemptID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.release(attempt)
}

func (l *Limiter) release(attempt ident.AttemptID) {
	s, ok := l.held[attempt]
	if !ok {
		return
	}
	if s.expiry != nil {
		s.expiry.Stop()
	}
	delete(l.held, attempt)
	l.holdTime.observe(s.cost, time.Since(s.grantedAt))
	l.dispatch()
}

// dispatch grants free slots to waiters.
func (l *Limiter) dispatch() {
	for len(l.held) < l.capacity {
		waiter, found := l.queue.Pop()
		if !found {
			return
		}
		l.held[waiter.Attempt] = &slot{cost: waiter.Cost, grantedAt: time.Now()}
		close(l.notify[waiter.Attempt])
	}
}
