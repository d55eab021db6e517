package relay

import (
	"context"
	"errors"

	"crocusstep/fault"
)

// ending names who ended a response that is not complete.
type ending string

const (
	endedByCaller   ending = "caller"
	endedByDeadline ending = "deadline"
	endedByEndpoint ending = "endpoint"
	// endedByRelay means that the relay left an endpoint that was silent, and that no other one
	// went on with the response.
	endedByRelay ending = "relay"
	endedByGrace ending = "grace"
)

// findEnding returns who ended the response, empty if it is a complete one.
func (e *exchange) findEnding(ctx context.Context, refusal *fault.Refusal) ending {
	switch {
	case refusal == nil || refusal.Code != fault.ResponseTruncated && refusal.Code != fault.Cancelled:
		return ""
	case errors.Is(context.Cause(ctx), fault.ErrGraceEnded):
		return endedByGrace
	case errors.Is(ctx.Err(), context.Canceled):
		return endedByCaller
	case ctx.Err() != nil:
		return endedByDeadline
	case e.leftSilent:
		return endedByRelay
	}
	return endedByEndpoint
}
