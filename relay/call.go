package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"crocusstep/client"
	"crocusstep/fault"
	"crocusstep/pool"
	"crocusstep/table"
)

// bufferedResponse is a plain response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// serveCall serves a plain request. It reads the complete response before it forwards
// any of it, so that the caller never receives a truncated response.
func (e *exchange) serveCall(ctx context.Context) *fault.Refusal {
	refusal := e.noEndpoint()
	var failed *bufferedResponse
	for {
		if !e.mayExecuteAgain() {
			break
		}
		endpoint, unavailable := e.pickEndpoint(ctx)
		if unavailable != nil {
			if unavailable.Code != fault.NoEndpoint {
				refusal = unavailable
			}
			break
		}
		final := e.revoked()
		if final == nil {
			final = e.refuseCallBeforeEnd()
		}
		if final != nil {
			e.config.Pool.ReturnPermit(endpoint.Endpoint)
			refusal = final
			break
		}
		if !e.allowSend(ctx) {
			e.config.Pool.ReturnPermit(endpoint.Endpoint)
			break
		}
		response, err := e.callEndpoint(ctx, endpoint)
		if response != nil && err == nil {
			if response.status < http.StatusInternalServerError || !e.route.Retryable() {
				e.writeResponse(response)
				return nil
			}
			e.Log.Info("an endpoint failed a request", "request", e.request.Attempt, "endpoint", endpoint.Name, "status", response.status)
			failed = response
			continue
		}
		refusal = refusalOf(err, endpoint).WithRetryAfter(e.retryAfterJitter(minRetryAfter))
	}
	if failed != nil {
		e.writeResponse(failed)
		return nil
	}
	return e.finalRefusal(ctx, refusal)
}

// noEndpoint refuses a request whose service has no endpoint that was not tried.
func (e *exchange) noEndpoint() *fault.Refusal {
	return fault.New(fault.NoEndpoint, "no endpoint of %s", e.service.Name).WithRetryAfter(e.retryAfterJitter(minRetryAfter))
}

// pickEndpoint returns the best endpoint that was not tried and has a permit, which the caller
// must use or return.
func (e *exchange) pickEndpoint(ctx context.Context) (pool.Member, *fault.Refusal) {
	members := e.config.Pool.Members(e.service.Name, pool.Combined)
	members = slices.DeleteFunc(members, func(m pool.Member) bool { return e.tried[m.Name] || !e.runsVersion(m.Version) })
	if e.route.Kind == table.Streaming {
		members = e.beginsAt(ctx, members)
	}
	if len(members) == 0 {
		return pool.Member{}, e.noEndpoint()
	}
	soonest, shortest := pool.Member{}, time.Duration(-1)
	for _, m := range e.config.Topology.RankPlain(members) {
		wait, acquired := e.acquirePermit(ctx, m, e.permitWait())
		if acquired {
			return m, nil
		}
		if shortest < 0 || wait < shortest {
			soonest, shortest = m, wait
		}
	}
	wait, acquired := e.awaitPermit(ctx, soonest, shortest)
	if !acquired {
		return pool.Member{}, e.refuseOverLimit(wait)
	}
	return soonest, nil
}

// errNotExecuted means that an endpoint stated that it did not execute the request.
var errNotExecuted = errors.New("the endpoint did not run the request")

func refusalOf(err error, m pool.Member) *fault.Refusal {
	switch {
	case errors.Is(err, errNotExecuted), errors.Is(err, client.ErrNotSent):
		return fault.New(fault.EndpointBusy, "%s did not run it", m.Name)
	}
	return fault.New(fault.EndpointFailed, "%s broke off", m.Name)
}

// callEndpoint sends the request to one endpoint and reads the complete response.
func (e *exchange) callEndpoint(ctx context.Context, m pool.Member) (result *bufferedResponse, err error) {
	e.tried[m.Name] = true
	e.endpoint = m.Name
	end := e.config.Pool.Begin(m.Endpoint, 0)
	began := time.Now()
	outcome := pool.Neutral
	defer func() { end(outcome, time.Since(began)) }()
	response, err := e.config.Endpoints.Call(ctx, m.Endpoint, e.request, e.timeLeft())
	if err != nil {
		outcome = outcomeOf(ctx, err)
		if !errors.Is(err, client.ErrNotSent) {
			e.sends++
			e.executions++
			e.recordCrash(ctx, err)
		}
		e.Log.Info("a call failed", "request", e.request.Attempt, "endpoint", m.Name, "outstanding", m.Outstanding,
			"failure-rate", m.FailureRate, "left", e.timeLeft(), "error", err)
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	e.sends++
	if response.NotExecuted {
		outcome = response.rejection()
		e.Log.Info("an endpoint did not run a request", "request", e.request.Attempt, "endpoint", m.Name,
			"status", response.Status, "outstanding", m.Outstanding)
		discardBody(response.Body)
		return nil, errNotExecuted
	}
	e.executions++
	e.framing = response.Framing
	body, err := e.readBody(response.Body)
	if err != nil {
		outcome = outcomeOf(ctx, err)
		e.Log.Info("a response was not complete", "request", e.request.Attempt, "endpoint", m.Name, "error", err)
		return nil, err
	}
	if response.Successful() && !response.Signed {
		outcome = pool.Failed
		e.Log.Info("a response has no signature", "request", e.request.Attempt, "endpoint", m.Name, "status", response.Status)
		return nil, errors.Join(client.ErrResponseLost, errors.New("the answer has no signature"))
	}
	outcome = pool.Success
	e.clearCrashes()
	if response.Status >= http.StatusInternalServerError {
		outcome = pool.Failed
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body}, nil
}

func (e *exchange) writeResponse(r *bufferedResponse) {
	e.firstPartAt = time.Now()
	e.status = r.status
	e.copyHeader(r.header)
	if e.request.Method != http.MethodHead {
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	e.writer.WriteHeader(r.status)
	// A failed write means that the caller has disconnected.
	_, _ = e.writer.Write(r.body)
}

// copyHeader copies an endpoint's headers to the response.
func (e *exchange) copyHeader(header http.Header) {
	to := e.writer.Header()
	for name, values := range header {
		to[name] = values
	}
	if _, stated := to["Content-Type"]; !stated {
		// Keeps net/http from adding a detected type.
		to["Content-Type"] = nil
	}
	if _, stated := to["Date"]; !stated {
		to["Date"] = nil
	}
}
