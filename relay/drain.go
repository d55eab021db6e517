package relay

import (
	"context"
	"errors"
	"time"

	"crocusstep/fault"
	"crocusstep/pool"
)

// minDrainRetryAfter is the shortest Retry-After of a relay that stops: others serve already.
const minDrainRetryAfter = 100 * time.Millisecond

// minTimeShare is the least share of a request's time that must be left until the relay stops
// while nothing is known of how long such requests take: most need a small part of their time.
const minTimeShare = 1.0 / 3

// Drain makes the relay refuse requests that it may not complete until the given time, at which
// its process cancels them.
func (r *Relay) Drain(end time.Time) { r.endsAt.Store(&end) }

// refuseBeforeEnd refuses a request that would be sent too late before the relay stops. The request
// most likely takes no longer than needed, which is zero if that is unknown. One that may have run
// goes on as long as it can.
func (e *exchange) refuseBeforeEnd(needed time.Duration) *fault.Refusal {
	endsAt := e.endsAt.Load()
	if endsAt == nil || e.started || e.executions > 0 {
		return nil
	}
	left := time.Until(*endsAt)
	if needed == 0 {
		needed = time.Duration(minTimeShare * float64(e.timeLeft()))
	}
	if left >= min(needed, e.timeLeft()) {
		return nil
	}
	return fault.New(fault.Draining, "the relay stops in %s, the request may take %s", left.Round(time.Millisecond), needed.Round(time.Millisecond)).
		WithRetryAfter(e.retryAfterJitter(minDrainRetryAfter))
}

// refuseCallBeforeEnd refuses a plain request that the relay may not complete until it stops.
func (e *exchange) refuseCallBeforeEnd() *fault.Refusal {
	return e.refuseBeforeEnd(time.Duration(e.durations.longestOf(e.service.Name, e.route.Kind).highest()))
}

// refuseStreamBeforeEnd refuses a stream that the relay may not complete until it stops, at an engine
// or, if m is nil, at any. Cached is nil while the prompt is to be prefilled. A stream that leaves a
// silent engine is not refused, as it may have run there.
func (s *stream) refuseStreamBeforeEnd(m *pool.Member, cached *CachedPrompt) *fault.Refusal {
	switch {
	case s.endsAt.Load() == nil, s.stall != nil:
		return nil
	case !s.disaggregated():
		return s.refuseCallBeforeEnd()
	}
	needed, known := s.longestOutput(m)
	if !known {
		return s.refuseBeforeEnd(0)
	}
	needed += transferAllowance
	if cached == nil {
		needed += pool.PrefillTime(s.request.Prompt.Tokens)
	}
	return s.refuseBeforeEnd(needed)
}

// completing returns the engines at which the stream most likely ends before the relay stops, or a
// refusal if there is none.
func (s *stream) completing(members []pool.Member, cached *CachedPrompt) (list []pool.Member, refusal *fault.Refusal) {
	if s.endsAt.Load() == nil {
		return members, nil
	}
	for _, m := range members {
		if late := s.refuseStreamBeforeEnd(&m, cached); late != nil {
			refusal = late
			continue
		}
		list = append(list, m)
	}
	if len(list) > 0 {
		return list, nil
	}
	return nil, refusal
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
