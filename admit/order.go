// Package admit decides whose request comes first where an engine's memory is short, and what
// is kept free for requests that are more urgent than the one at hand.
package admit

import (
	"cmp"
	"math"
	"time"

	"crocusstep/ident"
)

// Timing says what a caller still gains from being served soon; the lowest comes first.
type Timing int

const (
	// Begun streams have callers that see a gap.
	Begun Timing = iota
	// InTime requests can still meet their latency target. If returning callers preceded
	// them, all would miss it in a burst.
	InTime
	// Returning callers were refused before.
	Returning
	// Late requests can no longer meet their latency target.
	Late
)

// Order is what a relay states of a request to a service whose requests differ by priority or
// workspace.
type Order struct {
	// Priority is that of the workspace or route; zero is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Inner is the priority of the route, where Priority is that of the workspace.
	Inner int `json:"inner,omitempty"`
	// Workspace is empty if the caller needs none.
	Workspace ident.WorkspaceName `json:"workspace,omitempty"`
	// Weight is the workspace's part of what is shared, relative to the other ones; zero
	// counts as 1.
	Weight float64 `json:"weight,omitempty"`
	// Again is set if another engine's keeper was asked before.
	Again bool `json:"again,omitempty"`
}

// AskedFirst returns the order, which may be nil, for the first keeper that is asked.
func (o *Order) AskedFirst() *Order { return o.asked(false) }

// AskedAgain returns the order, which may be nil, for the next keeper that is asked.
func (o *Order) AskedAgain() *Order { return o.asked(true) }

func (o *Order) asked(again bool) *Order {
	if o == nil {
		return nil
	}
	next := *o
	next.Again = again
	return &next
}

// weight returns the weight, which is positive.
func (o Order) weight() float64 {
	if o.Weight > 0 && !math.IsInf(o.Weight, 0) {
		return o.Weight
	}
	return 1
}

// Rank orders requests that wait for one engine; those of equal rank stay in order of arrival.
type Rank struct {
	Timing Timing
	// Aged requests have a priority that is served far less often than the others.
	Aged     bool
	Priority int
	// Debt is the level of what the workspace used beyond its share.
	Debt int
	// Inner is the priority among requests that are equal in all else.
	Inner int
}

// Compare orders ranks, the one that is served first is the lowest. Streams that have begun
// come first, then aged requests, then priority, time left, debt and the route's priority.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(
		compareFirst(r.Timing == Begun, other.Timing == Begun),
		compareFirst(r.Aged, other.Aged),
		cmp.Compare(r.Priority, other.Priority),
		cmp.Compare(r.Timing, other.Timing),
		cmp.Compare(r.Debt, other.Debt),
		cmp.Compare(r.Inner, other.Inner),
	)
}

// compareFirst puts true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// lookAhead is the number of more urgent requests that a less urgent one may delay before it
// yields: about as many as an engine runs at once, in whose time all memory becomes free once.
const lookAhead = 8

// Yields reports whether a request that fits must leave its memory to more urgent ones, of
// which rate arrive a second: if the memory for one of them then becomes free only after its
// arrival, and would earlier without the request. FitsIn returns the time until the next of
// them fits behind some others, with the request admitted or not.
func Yields(rate float64, fitsIn func(behind int, admitted bool) time.Duration) bool {
	if !(rate > 0) {
		return false
	}
	for n := 1; n <= lookAhead; n *= 2 {
		arrives := time.Duration(float64(n) / rate * float64(time.Second))
		wait := fitsIn(n-1, true)
		if wait > arrives && wait > fitsIn(n-1, false) {
			return true
		}
	}
	return false
}
