package relay

import (
	"context"
	"errors"
	"time"

	"crocusstep/table"
)

const (
	// deadlineMargin leaves time to end a response before the caller's or the route's timeout.
	deadlineMargin = 20 * time.Millisecond
	// maxTransitShare is the part of a caller's patience that is kept for the way of its response: a
	// short one would else leave no time to serve the request.
	maxTransitShare = 4
)

// errGivenUp means that the response has not begun when the request must be refused for its caller
// to hear of it.
var errGivenUp = errors.New("no response before the caller leaves")

// answerBy returns when a request on a route is given up unless its response has begun: the caller
// gets the refusal before it leaves, if both ways together take no longer than the transit.
func (r *Relay) answerBy(request *Request, route *table.Route) time.Time {
	patience := patienceOf(request, route)
	return request.Arrived.Add(min(patience-r.transit(patience), route.Timeout-deadlineMargin))
}

// AnswerBy returns when a request that is still being read is given up.
func (r *Relay) AnswerBy(request *Request) time.Time {
	route := table.Route{Timeout: request.Timeout}
	if t := r.table.Load(); t != nil {
		if matched, found := t.Match(request.Host, request.Path); found {
			route = matched
		}
	}
	return r.answerBy(request, &route)
}

// transit is the time kept for the way of a response to a caller.
func (r *Relay) transit(patience time.Duration) time.Duration {
	return max(deadlineMargin, min(r.config.Transit, patience/maxTransitShare))
}

// patienceOf returns how long a caller waits for the begin of a response.
func patienceOf(request *Request, route *table.Route) time.Duration {
	if route.Patience > 0 {
		return min(request.Timeout, route.Patience)
	}
	return request.Timeout
}

func (e *exchange) patience() time.Duration { return patienceOf(e.request, &e.route) }

// callerLeavesAt returns when the caller leaves if nothing more comes, as seen from here.
func (e *exchange) callerLeavesAt() time.Time {
	at := e.request.Arrived.Add(e.request.Timeout)
	if e.route.Patience <= 0 {
		return at
	}
	since := e.request.Arrived
	if !e.lastEvent.IsZero() {
		since = e.lastEvent
	}
	if silent := since.Add(e.route.Patience); silent.Before(at) {
		return silent
	}
	return at
}

// giveUpInTime returns a context that ends when the request is given up. A response that has begun
// by then goes on until the deadline.
func (e *exchange) giveUpInTime(ctx context.Context) (limited context.Context, stop func()) {
	limited, e.giveUp = context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(e.answerBy), func() {
		if e.claimed.CompareAndSwap(false, true) {
			e.giveUp(errGivenUp)
		}
	})
	return limited, func() {
		timer.Stop()
		e.giveUp(nil)
	}
}

// begin reports whether a response may begin, or has begun: not once it has been given up. The
// context of the request has ended then.
func (e *exchange) begin() bool {
	if !e.begun {
		e.begun = e.claimed.CompareAndSwap(false, true)
	}
	if !e.begun {
		e.giveUp(errGivenUp)
	}
	return e.begun
}

// timeToRespond is the time left until the request is given up, or until the end of a response that has begun.
func (e *exchange) timeToRespond() time.Duration {
	if e.started {
		return e.timeLeft()
	}
	return time.Until(e.answerBy)
}

// callerLeft reports whether the context of a request has ended because its caller left.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errGivenUp)
}

// whyLeft returns who ended the response of a caller that has left.
func (e *exchange) whyLeft() ending {
	transit := e.transit(e.patience())
	switch {
	case time.Until(e.request.Arrived.Add(e.request.Timeout)) <= transit:
		return endedByDeadline
	case time.Until(e.callerLeavesAt()) <= transit:
		return endedBySilence
	}
	return endedByCaller
}
