package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
)

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
