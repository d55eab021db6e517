package relay

import (
	"context"
	"errors"

	"crocusstep/fault"
)

// ending names who ended a response that is not complete.
type ending string

const (
	// endedByCaller means that the caller left although it would have waited longer.
	endedByCaller   ending = "caller"
	endedByDeadline ending = "deadline"
	endedByEndpoint ending = "endpoint"
	// endedByRelay means that the relay left an endpoint that was silent, and that no other one
	// went on with the response.
	endedByRelay ending = "relay"
	endedByGrace ending = "grace"
	// endedByPatience means that the relay gave up a response that had not begun, as its caller was about
	// to leave or the route's timeout was over.
	endedByPatience ending = "patience"
	// endedBySilence means that the caller left after nothing had come for as long as it waits.
	endedBySilence ending = "silence"
)

// findEnding returns who ended the response, empty if it is a complete one.
func (e *exchange) findEnding(ctx context.Context, refusal *fault.Refusal) ending {
	switch {
	case refusal == nil:
		return ""
	case refusal.Code != fault.ResponseTruncated && refusal.Code != fault.Cancelled:
		if ctx.Err() != nil && !callerLeft(ctx) {
			return endedByPatience
		}
		return ""
	case errors.Is(context.Cause(ctx), fault.ErrGraceEnded):
		return endedByGrace
	case callerLeft(ctx):
		return e.whyLeft()
	case ctx.Err() != nil:
		return endedByDeadline
	case e.leftSilent:
		return endedByRelay
	}
	return endedByEndpoint
}
