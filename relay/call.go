package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"crocusstep/fault"
	"crocusstep/link"
	"crocusstep/pool"
)

// answerMost is the largest answer of a plain call that is taken, in bytes.
const answerMost = 4 << 20

// whole is a plain answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// call serves a plain request: it takes an answer in whole before it passes it
// on, so that a truncated one can be told from a complete one.
func (e *exchange) call(ctx context.Context) *fault.Refusal {
	refusal := fault.New(fault.NoEndpoint, "no endpoint of %s", e.service.Name).After(e.comeBack(returnLeast))
	var failed *whole
	for {
		endpoint, found := e.choose()
		if !found || !e.mayRunAgain() || !e.mayArrive(ctx) {
			break
		}
		answer, err := e.ask(ctx, endpoint)
		if answer != nil && err == nil {
			if answer.status < http.StatusInternalServerError || !e.route.Repeatable() {
				e.deliver(answer)
				return nil
			}
			failed = answer
			continue
		}
		refusal = refusalOf(err, endpoint).After(e.comeBack(returnLeast))
	}
	if failed != nil {
		e.deliver(failed)
		return nil
	}
	return e.failure(ctx, refusal)
}

// choose returns the best endpoint that was not tried.
func (e *exchange) choose() (pool.Member, bool) {
	members := e.config.Pool.Members(e.service.Name, pool.Combined)
	members = slices.DeleteFunc(members, func(m pool.Member) bool { return e.tried[m.Name] })
	if len(members) == 0 {
		return pool.Member{}, false
	}
	return e.config.Home.RankPlain(members)[0], true
}

// errNotRun is an endpoint's promise that it did not run a request.
var errNotRun = errors.New("the endpoint did not run the request")

func refusalOf(err error, m pool.Member) *fault.Refusal {
	switch {
	case errors.Is(err, errNotRun), errors.Is(err, link.ErrNotSent):
		return fault.New(fault.EndpointBusy, "%s did not run it", m.Name)
	}
	return fault.New(fault.EndpointFailed, "%s broke off", m.Name)
}

// ask sends the request to one endpoint and takes its whole answer.
func (e *exchange) ask(ctx context.Context, m pool.Member) (taken *whole, err error) {
	e.tried[m.Name] = true
	e.endpoint = m.Name
	end := e.config.Pool.Begin(m.Endpoint, 0)
	began := time.Now()
	judged := pool.Neutral
	defer func() { end(judged, time.Since(began)) }()
	answer, err := e.config.Endpoints.Call(ctx, m.Endpoint, e.request, e.left())
	if err != nil {
		judged = verdict(ctx, err)
		if !errors.Is(err, link.ErrNotSent) {
			e.sends++
			e.ran++
			e.crashed(ctx, err)
		}
		e.Log.Info("a call failed", "request", e.request.Attempt, "endpoint", m.Name, "outstanding", m.Outstanding,
			"failure-rate", m.FailureRate, "left", e.left(), "error", err)
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	e.sends++
	if answer.NotRun {
		judged = pool.Failed
		if answer.Misdirected {
			judged = pool.Mismatch
		}
		e.Log.Info("an endpoint did not run a request", "request", e.request.Attempt, "endpoint", m.Name,
			"status", answer.Status, "outstanding", m.Outstanding)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, answerMost))
		return nil, errNotRun
	}
	e.ran++
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerMost))
	if err != nil {
		judged = verdict(ctx, err)
		e.Log.Info("an answer broke off", "request", e.request.Attempt, "endpoint", m.Name, "bytes", len(body), "error", err)
		return nil, errors.Join(link.ErrLost, err)
	}
	if answer.Good() && !answer.Sealed {
		judged = pool.Failed
		e.Log.Info("an answer has no signature", "request", e.request.Attempt, "endpoint", m.Name, "status", answer.Status)
		return nil, errors.Join(link.ErrLost, errors.New("the answer has no signature"))
	}
	judged = pool.Success
	e.ranToItsEnd()
	if answer.Status >= http.StatusInternalServerError {
		judged = pool.Failed
	}
	return &whole{status: answer.Status, header: answer.Header, body: body}, nil
}

func (e *exchange) deliver(a *whole) {
	e.first = time.Now()
	e.status = a.status
	e.head(a.header)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.writer.WriteHeader(a.status)
	// A failed write means that the caller left; there is nobody left to tell.
	_, _ = e.writer.Write(a.body)
}

// head passes an endpoint's headers on.
func (e *exchange) head(header http.Header) {
	to := e.writer.Header()
	for name, values := range header {
		to[name] = values
	}
	if _, stated := to["Content-Type"]; !stated {
		// Keeps the server from guessing one.
		to["Content-Type"] = nil
	}
	if _, stated := to["Date"]; !stated {
		to["Date"] = nil
	}
}
