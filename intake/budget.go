package intake

import (
	"errors"
	"sync"
	"time"

	"crocusstep/ident"
)

const (
	// smallBytes is what a request may take of the memory that large ones leave free.
	smallBytes = 64 << 10
	// largeParts of sizeParts of a budget are for requests of any size.
	largeParts, sizeParts = 3, 4
	// releaseTimeout bounds the wait for the memory of a dropped request: its reader is woken at once.
	releaseTimeout = 200 * time.Millisecond
	// minAge counts for requests that have just begun, so that the largest of them is dropped first.
	minAge = time.Millisecond
)

var (
	// ErrOverloaded means that the requests which a process holds have used up their memory. The
	// request that it concerns has not been read completely.
	ErrOverloaded = errors.New("other requests have used up the memory for requests")
	// errTooLarge means that a request needs more memory than any request may have.
	errTooLarge = errors.New("the request needs more memory than there is for one")
)

// Budget bounds the memory that all requests which a process holds take together. All servers of a
// process share one. Nil is no bound.
//
// When it is used up, the incomplete request with the largest product of size and age is dropped:
// what a crowd leaves unfinished yields to requests that arrive and end. A complete request keeps its
// memory until it has its response.
type Budget struct {
	// size is the memory in bytes, largeSize the part that requests above smallBytes may use.
	size, largeSize int64
	// onDrop is called for each request that is dropped; it may be nil.
	onDrop func()

	mutex sync.Mutex
	// used is the sum of what all shares hold, and dropping what the dropped ones of them hold.
	used, dropping int64
	// shares holds those that hold something.
	shares map[*share]bool
	// released is closed and replaced when a share is released or dropped.
	released chan struct{}
}

// NewBudget returns a budget. The function is called for each request that is dropped.
func NewBudget(size ident.ByteCount, onDrop func()) *Budget {
	return &Budget{size: int64(size), largeSize: int64(size) / sizeParts * largeParts, onDrop: onDrop, shares: map[*share]bool{}, released: make(chan struct{})}
}

// share is what one request has of a budget. Its methods may be called on nil.
type share struct {
	budget *Budget
	// drop ends the reading of the request. It is called with the budget's lock held.
	drop func()

	// The fields below are guarded by the budget's mutex.

	held int64
	// began is when the first byte of the request arrived.
	began time.Time
	// complete is set once the request has been read: it is not dropped any more.
	complete bool
	// dropped is set once the request is not read any more.
	dropped bool
}

// newShare returns the share of a request whose first byte has just arrived. It is nil if there is no
// bound.
func (b *Budget) newShare(drop func()) *share {
	if b == nil {
		return nil
	}
	return &share{budget: b, drop: drop, began: time.Now()}
}

// limitOf returns how much all shares may hold if one of them holds size.
func (b *Budget) limitOf(size int64) int64 {
	if size <= smallBytes {
		return b.size
	}
	return b.largeSize
}

// take adds bytes to a share. It drops other requests if there is not enough memory, and fails if
// that is not possible or the request itself is to be dropped.
func (s *share) take(n int64) error {
	if s == nil {
		return nil
	}
	b := s.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var timer *time.Timer
	for {
		limit := b.limitOf(s.held + n)
		switch {
		case s.dropped:
			return ErrOverloaded
		case s.held+n > limit:
			return errTooLarge
		case b.used+n <= limit:
			s.held += n
			b.used += n
			b.shares[s] = true
			return nil
		}
		if b.used-b.dropping+n > limit {
			victim := b.pick(s, n)
			if victim == nil {
				return ErrOverloaded
			}
			b.dropShare(victim)
			continue
		}
		if timer == nil {
			timer = time.NewTimer(releaseTimeout)
			defer timer.Stop()
		}
		released := b.released
		b.mutex.Unlock()
		var expired bool
		select {
		case <-released:
		case <-timer.C:
			expired = true
		}
		b.mutex.Lock()
		if expired {
			return ErrOverloaded
		}
	}
}

// pick returns the incomplete request that holds most for the longest time, counting what one of
// them is about to take. It is nil if all are complete.
func (b *Budget) pick(taker *share, n int64) (victim *share) {
	now := time.Now()
	worst := 0.0
	consider := func(s *share, size int64) {
		if s.complete || s.dropped {
			return
		}
		if weight := float64(size) * max(now.Sub(s.began), minAge).Seconds(); weight > worst {
			victim, worst = s, weight
		}
	}
	for s := range b.shares {
		if s != taker {
			consider(s, s.held)
		}
	}
	consider(taker, taker.held+n)
	return victim
}

// dropShare must be called with the lock held.
func (b *Budget) dropShare(s *share) {
	s.dropped = true
	b.dropping += s.held
	s.drop()
	if b.onDrop != nil {
		b.onDrop()
	}
	b.signal()
}

// signal must be called with the lock held.
func (b *Budget) signal() {
	close(b.released)
	b.released = make(chan struct{})
}

// give returns a part of what a share holds.
func (s *share) give(n int64) {
	if s == nil {
		return
	}
	b := s.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n = min(n, s.held)
	if n == 0 {
		return
	}
	s.held -= n
	b.used -= n
	if s.dropped {
		b.dropping -= n
	}
	if s.held == 0 {
		delete(b.shares, s)
	}
	b.signal()
}

// end returns all that a share holds.
func (s *share) end() {
	if s != nil {
		s.give(s.budget.size)
	}
}

// finish records that the request has been read completely. It returns an error if the request was
// dropped before.
func (s *share) finish() error {
	if s == nil {
		return nil
	}
	s.budget.mutex.Lock()
	defer s.budget.mutex.Unlock()
	if s.dropped {
		return ErrOverloaded
	}
	s.complete = true
	return nil
}

func (s *share) isDropped() bool {
	if s == nil {
		return false
	}
	s.budget.mutex.Lock()
	defer s.budget.mutex.Unlock()
	return s.dropped
}
