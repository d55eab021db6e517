package relay

import (
	"context"
	"errors"
	"time"

	"crocusstep/fault"
)

// minDrainRetryAfter is the shortest Retry-After of a relay that stops: others serve already.
const minDrainRetryAfter = 100 * time.Millisecond

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
