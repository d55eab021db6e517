package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"crocusstep/fault"
	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/link"
	"crocusstep/pool"
	"crocusstep/table"
)

const (
	// sendsMost bounds the endpoints asked for one request, those included that
	// did not run it.
	sendsMost = 4
	// leastLeft is the least time for which a request is sent to an endpoint.
	leastLeft = 30 * time.Millisecond
)

// exchange is one request on its way.
type exchange struct {
	*Relay
	request *Request
	route   table.Route
	service table.Service
	// version is the table's that routed the request.
	version table.Version
	writer  http.ResponseWriter
	// tried holds the endpoints that are not asked again.
	tried map[ident.EndpointName]bool
	// spent is how long the caller had waited before this attempt.
	spent time.Duration
	// ends is when the caller or the route gives up.
	ends time.Time

	// sends counts arrivals at endpoints beside a first reading; ran counts the
	// endpoints that may have run the request.
	sends int
	ran   int
	// started is set once a part of the answer has gone to the caller.
	started bool
	status  int
	// endpoint is the last one that was asked.
	endpoint ident.EndpointName
	// first is when the first part of the answer came.
	first time.Time
	// pause is the longest between two parts of the answer.
	pause time.Duration
	// made is the answer's tokens passed on, if they are known.
	made ident.TokenCount
}

func (e *exchange) serve(ctx context.Context) *fault.Refusal {
	ctx, cancel := context.WithDeadline(ctx, e.ends)
	defer cancel()
	e.window(e.service.Name).RecordRequest(e.request.Arrived)
	if e.crashes.Size() > 0 && e.crashes.Blocked(e.request.fingerprint(), time.Now()) {
		return fault.New(fault.RequestSuspended, "the request has crashed endpoints").After(blockedReturn)
	}
	if e.route.Kind == table.Reading {
		return e.read(ctx)
	}
	return e.call(ctx)
}

func (e *exchange) left() time.Duration { return time.Until(e.ends) }

// mayTryAgain reports whether there is time and reason for another try.
func (e *exchange) mayTryAgain(ctx context.Context) bool {
	return ctx.Err() == nil && e.sends < sendsMost && e.left() >= leastLeft && e.mayRunAgain()
}

// mayArrive asks for one more arrival at the service's endpoints. The first is
// free; every other one counts against what may be sent once more, also if the
// endpoint does not run it.
func (e *exchange) mayArrive(ctx context.Context) bool {
	if ctx.Err() != nil || e.sends >= sendsMost || e.left() < leastLeft {
		return false
	}
	return e.sends == 0 || e.window(e.service.Name).TryAcquire(time.Now(), e.config.Processes())
}

// mayRunAgain reports whether the request may run at one more endpoint.
func (e *exchange) mayRunAgain() bool {
	return e.ran == 0 || e.route.Repeatable() && e.ran < e.route.MaxEndpoints
}

// verdict is what a failed exchange says of the endpoint.
func verdict(ctx context.Context, err error) pool.Outcome {
	switch {
	case ctx.Err() != nil, errors.Is(err, link.ErrConnections):
		return pool.Neutral
	case err != nil:
		return pool.Unreachable
	}
	return pool.Success
}

// crashed counts a connection that broke while the request was running.
func (e *exchange) crashed(ctx context.Context, err error) {
	if ctx.Err() != nil || !errors.Is(err, link.ErrLost) {
		return
	}
	crash := gossip.Crash{Fingerprint: e.request.fingerprint(), Attempt: string(e.request.Attempt) + "/" + string(e.endpoint)}
	count := e.crashes.Record(crash, time.Now())
	e.Log.Info("an endpoint broke off with the request aboard", "request", e.request.Attempt, "endpoint", e.endpoint,
		"fingerprint", crash.Fingerprint, "count", count, "error", err)
}

// ranToItsEnd ends what crashes have led to for requests like this one.
func (e *exchange) ranToItsEnd() {
	if e.crashes.Size() > 0 {
		e.crashes.Clear(e.request.fingerprint(), time.Now())
	}
}

// failure is the final word on a request without an answer.
func (e *exchange) failure(ctx context.Context, refusal *fault.Refusal) *fault.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal = fault.New(fault.Cancelled, "the caller left")
	} else if ctx.Err() != nil {
		refusal = fault.New(fault.PatienceExceeded, "no whole answer in time")
	}
	told := *refusal
	told.Outcome = fault.NotRun
	if e.ran > 0 {
		told.Outcome = fault.Unknown
	}
	if told.Outcome == fault.Unknown {
		// To come back would be to run it again.
		told.RetryAfter = 0
		if promises(told.Status()) {
			told.Code = fault.EndpointFailed
		}
	}
	if told.Outcome == fault.NotRun && !promises(told.Status()) && told.Code != fault.Cancelled {
		told.Code = fault.EndpointBusy
		told.RetryAfter = max(told.RetryAfter, e.comeBack(returnLeast))
	}
	return &told
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (e *exchange) log(refusal *fault.Refusal) {
	outcome := "answered"
	note := ""
	var wait time.Duration
	if refusal != nil {
		outcome = string(refusal.Code)
		wait = refusal.RetryAfter
		note = refusal.Detail
	}
	first := time.Duration(0)
	if !e.first.IsZero() {
		first = e.first.Sub(e.request.Arrived)
	}
	whole := time.Since(e.request.Arrived)
	e.Meter.Request(e.service.Name, outcome, refusal == nil && e.spent+first <= e.route.Objective)
	e.Meter.WholeAnswer(e.service.Name, whole)
	prompt := Prompt{}
	if e.request.Prompt != nil {
		prompt = *e.request.Prompt
	}
	e.Log.Info("request ended", "request", e.request.Attempt, "route", e.route.Name, "service", e.service.Name,
		"table", e.version, "endpoints", e.config.Pool.Revision(), "endpoint", e.endpoint, "outcome", outcome,
		"status", e.status, "sends", e.sends, "ran", e.ran, "first", first, "whole", whole, "spent", e.spent,
		"prompt", prompt.Tokens, "estimate", prompt.Output, "longest-pause", e.pause, "tokens-made", e.made, "retry-after", wait, "note", note)
}
