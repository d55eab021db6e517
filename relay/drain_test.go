package relay

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
)

// newTestRequest returns a request that arrives now, with a prompt if its service has engines.
func newTestRequest(path string, timeout time.Duration) *Request {
	request := &Request{
		Attempt: "a1", Method: http.MethodPost, Target: path, Path: path, Host: "h",
		Header: http.Header{}, Arrived: time.Now(), Timeout: timeout,
	}
	if strings.HasPrefix(path, "/re") {
		request.Prompt = &Prompt{Tokens: 5200, MaxOutput: 8000, EstimatedOutput: 4300}
	}
	return request
}

// TestDrain guards against requests that a relay which stops takes although it may cut them, and
// against refusals of those that end before it in any case.
func TestDrain(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		prompt   *Prompt
		// lastEventID is the last event that the caller has, of an output with 61 tokens an event.
		lastEventID   string
		timeout, left time.Duration
		refused       bool
	}{
		{testName: "a call whose caller waits no longer than the relay has", path: "/action/x", timeout: 3 * time.Second, left: 3 * time.Second},
		{testName: "a call that may outlast the relay", path: "/action/x", timeout: 3 * time.Second, left: 2900 * time.Millisecond, refused: true},
		{testName: "a lookup that may outlast the relay", path: "/lookup/x", timeout: 3 * time.Second, left: 2900 * time.Millisecond, refused: true},
		{testName: "a plain stream that ends in time", path: "/plain-stream/x", timeout: 6 * time.Second, left: 6 * time.Second},
		{testName: "a plain stream that may outlast the relay", path: "/plain-stream/x", timeout: 14 * time.Second, left: 13 * time.Second, refused: true},
		{testName: "a stream whose caller waits no longer than the relay has", path: "/read/x", timeout: 5 * time.Second, left: 5 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: 8000}},
		{testName: "a long stream with much time left", path: "/read/x", timeout: 14 * time.Second, left: 13 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: 8000, EstimatedOutput: 61}, refused: true},
		{testName: "an output with a low limit", path: "/read/x", timeout: 14 * time.Second, left: 5 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: 366}},
		{testName: "an output whose limit is too high", path: "/read/x", timeout: 14 * time.Second, left: 4900 * time.Millisecond, prompt: &Prompt{Tokens: 100, MaxOutput: 366}, refused: true},
		{testName: "a limit of one token", path: "/read/x", timeout: 14 * time.Second, left: 3200 * time.Millisecond, prompt: &Prompt{Tokens: 100, MaxOutput: 1}},
		{testName: "no limit", path: "/read/x", timeout: 14 * time.Second, left: 13 * time.Second, prompt: &Prompt{Tokens: 100}, refused: true},
		{testName: "no limit, with a hint", path: "/read/x", timeout: 14 * time.Second, left: 13 * time.Second, prompt: &Prompt{Tokens: 100, EstimatedOutput: 61}, refused: true},
		{testName: "an absurd limit", path: "/read/x", timeout: 14 * time.Second, left: 13 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: math.MaxInt64}, refused: true},
		{testName: "a stream whose id is near its limit", path: "/resume/x", timeout: 14 * time.Second, left: 4 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: 8000}, lastEventID: "130", refused: true},
		{testName: "a stream whose id is beyond its limit", path: "/resume/x", timeout: 14 * time.Second, left: 4 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: 8000}, lastEventID: "1320", refused: true},
		{testName: "a stream with a low limit that is taken up", path: "/resume/x", timeout: 14 * time.Second, left: 5 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: 366}, lastEventID: "3"},
		{testName: "a stream that is taken up at its begin", path: "/resume/x", timeout: 14 * time.Second, left: 4 * time.Second, prompt: &Prompt{Tokens: 100, MaxOutput: 8000}, lastEventID: "1", refused: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{}
				r := newTestRelay(t, backend)
				r.Drain(Stop{End: time.Now().Add(s.left)})
				request := newTestRequest(s.path, s.timeout)
				request.Prompt, request.LastEventID = s.prompt, s.lastEventID
				refusal := r.Serve(t.Context(), request, httptest.NewRecorder())
				r.Wait()
				assert.Equal(t, refusal != nil && refusal.Code == fault.Draining, s.refused, "%v", refusal)
				if !s.refused {
					return
				}
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Assert(t, refusal.RetryAfter > 0)
				assert.Equal(t, len(backend.sent), 0)
				assert.Equal(t, backend.granted, backend.released)
			})
		})
	}
}

// TestDrainRetryAfter guards against callers that come back to a relay which stops, as no other one of
// its zone takes requests, and against callers that wait although others serve.
func TestDrainRetryAfter(t *testing.T) {
	const unlisted = 2400 * time.Millisecond
	scenarios := []struct {
		testName string
		isAlone  bool
		// after is the time from the signal until the request.
		after, shortest, longest time.Duration
	}{
		{testName: "others serve", shortest: minDrainRetryAfter, longest: 400 * time.Millisecond},
		{testName: "no other relay of the zone serves", isAlone: true, shortest: unlisted, longest: unlisted + 400*time.Millisecond},
		{testName: "no other one, late", isAlone: true, after: 2 * time.Second, shortest: 400 * time.Millisecond, longest: 900 * time.Millisecond},
		{testName: "no other one, after the load balancer has noticed", isAlone: true, after: 3 * time.Second, shortest: minDrainRetryAfter, longest: 400 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				r.alone.Store(s.isAlone)
				r.Drain(Stop{End: time.Now().Add(7 * time.Second), Unlisted: time.Now().Add(unlisted)})
				time.Sleep(s.after)
				_, refusal := send(t.Context(), r, "/read/x")
				assert.Equal(t, refusal.Code, fault.Draining)
				assert.Assert(t, refusal.RetryAfter >= s.shortest && refusal.RetryAfter <= s.longest, "%s", refusal.RetryAfter)
			})
		})
	}
}

// TestGraceEnd guards against requests that get no response, or are logged as left by their
// caller, as the relay cancels them at the end of its grace period.
func TestGraceEnd(t *testing.T) {
	stalling := map[ident.EndpointName][]behaviour{"d1": {stalls}, "d2": {stalls}}
	scenarios := []struct {
		testName string
		path     string
		backend  *fakeBackend
		cause    error
		refusal  fault.Code
		outcome  fault.Outcome
		retries  bool
	}{
		{"a request that may have run", "/action/x", &fakeBackend{script: everywhere(hangs)}, fault.ErrGraceEnded, fault.EndpointFailed, fault.Unknown, false},
		{"a request that waits for memory", "/read/x", &fakeBackend{unreachable: true}, fault.ErrGraceEnded, fault.Draining, fault.NotExecuted, true},
		{"a stream that has begun", "/read/x", &fakeBackend{script: stalling}, fault.ErrGraceEnded, fault.ResponseTruncated, fault.Unknown, false},
		{"a request whose caller left", "/action/x", &fakeBackend{script: everywhere(hangs)}, nil, fault.Cancelled, fault.Unknown, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(100*time.Millisecond, func() { cancel(s.cause) })
				_, refusal := send(ctx, newTestRelay(t, s.backend), s.path)
				assert.Equal(t, refusal.Code, s.refusal, "%s", refusal.Detail)
				assert.Equal(t, refusal.Outcome, s.outcome)
				assert.Equal(t, refusal.RetryAfter > 0, s.retries)
			})
		})
	}
}
