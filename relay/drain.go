package relay

import (
	"context"
	"errors"
	"time"

	"crocusstep/fault"
)

// minDrainRetryAfter is the shortest Retry-After of a relay that stops: others serve already.
const minDrainRetryAfter = 100 * time.Millisecond

// minTimeShare is the least share of a request's time that must be left until the relay stops:
// most requests need a small part of their time.
const minTimeShare = 1.0 / 3

// Drain makes the relay refuse requests that it may not complete until the given time, at which
// its process cancels them.
func (r *Relay) Drain(end time.Time) { r.endsAt.Store(&end) }

// refuseBeforeEnd refuses a request that came too late before the relay stops.
func (e *exchange) refuseBeforeEnd() *fault.Refusal {
	endsAt := e.endsAt.Load()
	if endsAt == nil || time.Until(*endsAt).Seconds() >= minTimeShare*e.timeLeft().Seconds() {
		return nil
	}
	return fault.New(fault.Draining, "the relay stops").WithRetryAfter(e.retryAfterJitter(minDrainRetryAfter))
}

// refuseAtGraceEnd replaces the refusal of a request that the relay itself has cancelled, as its
// process stops: the caller has not left and gets a response, unless one has begun.
func (e *exchange) refuseAtGraceEnd(ctx context.Context, refusal *fault.Refusal) *fault.Refusal {
	switch {
	case refusal == nil || refusal.Code != fault.Cancelled || !errors.Is(context.Cause(ctx), fault.ErrGraceEnded):
		return refusal
	case e.started:
		return fault.NewUnknown(fault.ResponseTruncated, "the relay stopped in mid-stream")
	case e.executions > 0:
		return fault.NewUnknown(fault.EndpointFailed, "the relay stopped before the response of %s", e.endpoint)
	}
	return fault.New(fault.Draining, "the relay stopped before the request was sent").WithRetryAfter(e.retryAfterJitter(minDrainRetryAfter))
}
