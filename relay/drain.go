package relay

import (
	"context"
	"errors"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
)

const (
	// minDrainRetryAfter is the shortest Retry-After of a relay that stops.
	minDrainRetryAfter = 100 * time.Millisecond
	// soundSilence is how long an engine that is sound may be silent.
	soundSilence = 2 * time.Second
	// maxStreamTime is above any deadline.
	maxStreamTime = 24 * time.Hour
)

// Stop is when a relay's process stops.
type Stop struct {
	// End is when the requests in flight are cancelled.
	End time.Time
	// Unlisted is when the load balancer has noticed the stop and sends no more connections.
	Unlisted time.Time
}

// Drain makes the relay refuse requests that may last until the end of its process.
func (r *Relay) Drain(stop Stop) { r.stop.Store(&stop) }

// SetListed records that the load balancer has heard that the relay is ready; it reports whether that
// is new.
func (r *Relay) SetListed() bool { return !r.listed.Swap(true) }

// available reports whether callers that come to the zone are served by this relay.
func (r *Relay) available() bool { return r.listed.Load() && !r.stopping() }

func (r *Relay) stopping() bool { return r.stop.Load() != nil }

// drainRetryAfter returns the Retry-After of a relay that stops. The other relays of its zone serve
// already; without any, callers come back to this one until the load balancer has noticed.
func (r *Relay) drainRetryAfter() time.Duration {
	shortest := r.retryAfterJitter(minDrainRetryAfter)
	stop := r.stop.Load()
	if stop == nil || !r.alone.Load() {
		return shortest
	}
	return max(0, time.Until(stop.Unlisted)) + shortest
}

// refuseBeforeEnd refuses a request that would be sent and may last longer than the relay: its longest
// time is a bound, since a request that is sent in the stop must not be cut by it. One that may have
// run goes on as long as it can.
func (e *exchange) refuseBeforeEnd(longest time.Duration) *fault.Refusal {
	stop := e.stop.Load()
	if stop == nil || e.started || e.executions > 0 {
		return nil
	}
	left := time.Until(stop.End)
	if longest <= left {
		return nil
	}
	return fault.New(fault.Draining, "the relay stops in %s, the request may take %s", left.Round(time.Millisecond), longest.Round(time.Millisecond)).
		WithRetryAfter(e.drainRetryAfter())
}

// refuseCallBeforeEnd refuses a plain request that the relay may not complete until it stops. At its
// deadline a request gets a response in any case.
func (e *exchange) refuseCallBeforeEnd() *fault.Refusal { return e.refuseBeforeEnd(e.timeLeft()) }

// refuseStreamBeforeEnd refuses a stream that the relay may not complete until it stops. One that leaves
// a silent engine is not refused, as it may have run there.
func (s *stream) refuseStreamBeforeEnd() *fault.Refusal {
	if s.stall != nil {
		return nil
	}
	return s.refuseBeforeEnd(min(s.timeLeft(), s.targetTime()))
}

// targetTime returns how long the stream lasts at most if it keeps to the targets of its route, except
// for one silence, and its caller limits the output; without limit or targets it is maxStreamTime. What
// the caller already has does not count: the id of an event need not be its number.
func (s *stream) targetTime() time.Duration {
	if !s.disaggregated() || s.request.Prompt.MaxOutput == 0 || s.service.Engine.TokensPerEvent == 0 || s.route.TargetEventGap == 0 {
		return maxStreamTime
	}
	events := s.request.Prompt.MaxOutput / s.service.Engine.TokensPerEvent
	// Callers may state limits of any size. The last event may have fewer tokens.
	events = min(events+1, ident.TokenCount(maxStreamTime/s.route.TargetEventGap))
	return s.route.TargetLatency + time.Duration(events)*s.route.TargetEventGap + soundSilence
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
	return fault.New(fault.Draining, "the relay stopped before the request was sent").WithRetryAfter(e.drainRetryAfter())
}
