package relay

import (
	"context"
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

// TestDrain guards against requests that a relay which stops takes although it will cut them.
func TestDrain(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		timeout  time.Duration
		left     time.Duration
		refused  bool
	}{
		{"a call that ends before the relay", "/action/x", 3 * time.Second, 5 * time.Second, false},
		{"a call that most likely ends before it", "/action/x", 3 * time.Second, 1100 * time.Millisecond, false},
		{"a call just before the end", "/action/x", 3 * time.Second, 900 * time.Millisecond, true},
		{"a stream just after the connections ended", "/read/x", 14 * time.Second, 4900 * time.Millisecond, false},
		{"a stream that would be cut", "/read/x", 14 * time.Second, 3 * time.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{}
				r := newTestRelay(t, backend)
				r.Drain(time.Now().Add(s.left))
				w := httptest.NewRecorder()
				refusal := r.Serve(t.Context(), newTestRequest(s.path, s.timeout), w)
				if !s.refused {
					assert.Assert(t, refusal == nil)
					assert.Equal(t, w.Code, http.StatusOK)
					return
				}
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, fault.Draining)
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Assert(t, refusal.RetryAfter > 0 && refusal.RetryAfter < 500*time.Millisecond)
				assert.Equal(t, len(backend.sent), 0)
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
