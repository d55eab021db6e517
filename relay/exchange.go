package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"crocusstep/admit"
	"crocusstep/client"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/quota"
	"crocusstep/table"
)

const (
	// maxSends limits the endpoints that a request is sent to, including those that did
	// not execute it.
	maxSends = 4
	// minTimeLeft is the shortest time left for which a request is sent to an endpoint.
	minTimeLeft = 30 * time.Millisecond
)

// exchange is the state of one request while it is served.
type exchange struct {
	*Relay
	request *Request
	// route has the priority of the workspace.
	route table.Route
	// workspace is nil if the caller needs none.
	workspace *table.Workspace
	service   table.Service
	// tableVersion is that of the table that routed the request.
	tableVersion table.Version
	// keysVersion is that of the newest table that allowed the caller.
	keysVersion table.Version
	// urgent is set if no route to the service is more urgent.
	urgent bool
	// order is nil if the requests to the service differ by neither priority nor workspace.
	order  *admit.Order
	writer http.ResponseWriter
	// tried holds the endpoints that are not used again.
	tried map[ident.EndpointName]bool
	// earlierWait is how long the caller has waited in earlier attempts.
	earlierWait time.Duration
	// answerBy is when the request is given up unless its response has begun; not after deadline.
	answerBy time.Time
	// deadline is when the caller's or the route's timeout expires.
	deadline time.Time
	// claimed is set once, by the begin of the response or by giving it up; begun is set by the former.
	claimed atomic.Bool
	begun   bool
	// giveUp ends the context of a request that is given up.
	giveUp context.CancelCauseFunc

	// sends counts the requests sent to endpoints except a first prefill, executions
	// the endpoints that may have executed the request.
	sends      int
	executions int
	// prefilled is set once an endpoint may have prefilled the prompt.
	prefilled bool
	// charge is what the request took of the workspace's quota, by a grant of granter.
	charge  quota.Charge
	granter ident.Address
	// started is set once a part of the response has been sent to the caller.
	started bool
	status  int
	// endpoint is the last one that was used.
	endpoint ident.EndpointName
	// framing is that of the last response.
	framing client.Framing
	// unfinished is the size of the incomplete event at the end of the last response.
	unfinished ident.ByteCount
	// lastEvent is when the last events arrived.
	lastEvent time.Time
	// firstPartAt is when the first part of the response arrived.
	firstPartAt time.Time
	// longestGap is the longest gap between two parts of the response.
	longestGap time.Duration
	// generated is the number of output tokens forwarded, as far as known.
	generated atomic.Int64
	// tryEvents is the number of events in the response of the current try.
	tryEvents int
	// pinned is the software version that all events of the response must be of, empty if it is
	// unknown. It is nil before the first event.
	pinned atomic.Pointer[ident.SoftwareVersion]
	// versions holds the software version of each try with an event.
	versions []ident.SoftwareVersion
	// probing is set while the request is run although it is blocked, to find out whether
	// it still crashes endpoints.
	probing bool
	// prepaidSends is the number of sends that count against the retry limits already.
	prepaidSends int
	// prepaidAt is when the last of them were counted.
	prepaidAt time.Time
	// leftSilent is set while the request is at no endpoint because the relay has left one that was
	// silent.
	leftSilent bool
	// releases return the memory of the responses that were read.
	releases []func()
	// ending is empty if the response is complete.
	ending ending
}

func (e *exchange) serve(ctx context.Context) (refusal *fault.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	defer e.releaseBodies()
	ctx, stop := e.giveUpInTime(ctx)
	defer stop()
	defer func() {
		refusal = e.refuseAtGraceEnd(ctx, refusal)
		e.ending = e.findEnding(ctx, refusal)
	}()
	e.retryLimiter(e.service.Name).RecordRequest(e.request.Arrived)
	serve, refusal := e.serveCall, (*fault.Refusal)(nil)
	if e.route.Kind == table.Streaming {
		s := newStream(e)
		serve, refusal = s.serve, s.refuseStreamBeforeEnd()
	} else {
		refusal = e.refuseCallBeforeEnd()
	}
	if refusal != nil {
		return refusal
	}
	if refusal := e.chargeQuota(ctx); refusal != nil {
		return refusal
	}
	defer e.returnUnusedQuota()
	if refusal := e.admit(); refusal != nil {
		return refusal
	}
	return serve(ctx)
}

func (e *exchange) timeLeft() time.Duration { return time.Until(e.deadline) }

// mayRetry reports whether there is time for another attempt and the request may
// execute again.
func (e *exchange) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && e.sends < maxSends && e.timeToRespond() >= minTimeLeft && e.mayExecuteAgain()
}

// allowSend reports whether the request may be sent to one more endpoint. The first
// send is free; every other one counts against the retry limits, even if the endpoint
// does not execute the request.
func (e *exchange) allowSend(ctx context.Context) bool {
	if ctx.Err() != nil || e.sends >= maxSends || e.timeToRespond() < minTimeLeft {
		return false
	}
	if e.prepaidSends > 0 {
		e.prepaidSends--
		return true
	}
	return e.sends == 0 || e.retryLimiter(e.service.Name).TryAcquire(time.Now(), e.config.RelayCount())
}

// mayExecuteAgain reports whether one more endpoint may execute the request.
func (e *exchange) mayExecuteAgain() bool {
	return e.executions == 0 || e.route.Retryable() && e.executions < e.route.MaxEndpoints
}

// outcomeOf returns the outcome of an exchange for its endpoint.
func outcomeOf(ctx context.Context, err error) pool.Outcome {
	switch {
	case ctx.Err() != nil, errors.Is(err, client.ErrMaxConns):
		return pool.Neutral
	case err != nil:
		return pool.Unreachable
	}
	return pool.Success
}

// pauseLeft returns the time, with jitter, until the first endpoint accepts requests, if all
// that could serve the request have asked for a pause; else zero.
func (e *exchange) pauseLeft() time.Duration {
	stage := pool.Combined
	if e.service.Engine != nil {
		stage = pool.Decode
	}
	until, paused := e.config.Pool.PausedUntil(e.service.Name, stage)
	if !paused {
		return 0
	}
	return time.Until(until) + rand.N(maxPauseJitter)
}

// finalRefusal returns the refusal of a request without a response; its outcome states
// whether an endpoint may have executed the request.
func (e *exchange) finalRefusal(ctx context.Context, refusal *fault.Refusal) *fault.Refusal {
	switch {
	case callerLeft(ctx):
		refusal = fault.New(fault.Cancelled, "the caller left")
	case ctx.Err() != nil:
		refusal = fault.New(fault.PatienceExceeded, "%s", errGivenUp)
	}
	final := *refusal
	final.Outcome = fault.NotExecuted
	if e.executions > 0 {
		final.Outcome = fault.Unknown
	}
	if final.Outcome == fault.Unknown {
		// A retry would execute the request again.
		final.RetryAfter = 0
		if impliesNotExecuted(final.Status()) {
			final.Code = fault.EndpointFailed
		}
	}
	if final.Outcome == fault.NotExecuted && !impliesNotExecuted(final.Status()) && final.Code != fault.Cancelled && final.Code != fault.UnknownCaller {
		final.Code = fault.EndpointBusy
		final.RetryAfter = max(final.RetryAfter, e.retryAfterJitter(minRetryAfter))
	}
	if final.RetryAfter > 0 {
		final.RetryAfter = max(final.RetryAfter, e.pauseLeft())
	}
	return &final
}

// impliesNotExecuted reports whether a status means that the request was not executed.
func impliesNotExecuted(status int) bool {
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
	firstLatency := time.Duration(0)
	if !e.firstPartAt.IsZero() {
		firstLatency = e.firstPartAt.Sub(e.request.Arrived)
	}
	responseTime := time.Since(e.request.Arrived)
	e.Meter.CountRequest(e.service.Name, outcome, refusal == nil && e.earlierWait+firstLatency <= e.route.TargetLatency)
	if e.ending != "" {
		e.Meter.CountUnfinished(e.service.Name, string(e.ending))
	}
	e.Meter.RecordResponseTime(e.service.Name, responseTime)
	prompt := Prompt{}
	if e.request.Prompt != nil {
		prompt = *e.request.Prompt
	}
	attributes := []any{
		"request", e.request.Attempt, "route", e.route.Name, "service", e.service.Name,
		"table", e.tableVersion, "table-age", e.TableAge(), "endpoints", e.config.Pool.Revision(), "endpoint", e.endpoint, "outcome", outcome,
		"status", e.status, "sends", e.sends, "ran", e.executions, "first", firstLatency, "whole", responseTime, "spent", e.earlierWait,
		"prompt", prompt.Tokens, "estimate", prompt.EstimatedOutput, "max-output", prompt.MaxOutput, "longest-pause", e.longestGap, "tokens-made", e.generated.Load(),
		"resumes", e.request.Resumes, "versions", e.versions, "framing", e.framing, "unfinished", e.unfinished,
		"retry-after", wait, "patience", e.patience(), "patience-left", time.Until(e.callerLeavesAt()), "ended-by", e.ending, "note", note,
	}
	if stop := e.stop.Load(); stop != nil {
		attributes = append(attributes, "until-stop", stop.End.Sub(e.request.Arrived))
	}
	if e.workspace != nil && e.workspace.Quota != nil {
		attributes = append(attributes, "workspace", e.workspace.Name, "charge", e.charge.Total, "granted", e.charge.Granted)
	}
	e.Log.Info("request ended", attributes...)
}
