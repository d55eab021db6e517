package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/crash"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/pool"
)

// everywhere returns the same script for all plain endpoints.
func everywhere(all ...behaviour) map[ident.EndpointName][]behaviour {
	return map[ident.EndpointName][]behaviour{"p1": all, "p2": all, "p3": all}
}

func TestCall(t *testing.T) {
	scenarios := []struct {
		testName   string
		path       string
		script     map[ident.EndpointName][]behaviour
		status     int
		refusal    fault.Code
		outcome    fault.Outcome
		executions int
		sent       int
	}{
		{testName: "a response is forwarded", path: "/action/x", status: 200, executions: 1, sent: 1},
		{testName: "a failed non-idempotent request is not retried", path: "/action/x", script: everywhere(returnsError), status: 500, executions: 1, sent: 1},
		{testName: "an idempotent request that fails everywhere gets the error response", path: "/lookup/x", script: everywhere(returnsError), status: 500, executions: 2, sent: 2},
		{
			testName: "a non-idempotent request with a lost response is not retried", path: "/action/x", script: everywhere(losesResponse),
			refusal: fault.EndpointFailed, outcome: fault.Unknown, executions: 1, sent: 1,
		},
		{testName: "a rejected non-idempotent request is sent elsewhere", path: "/action/x", script: map[ident.EndpointName][]behaviour{"p1": {rejects}, "p2": {rejects}}, status: 200, executions: 1},
		{testName: "a refused connection does not count as a retry", path: "/action/x", script: map[ident.EndpointName][]behaviour{"p1": {refuses}, "p2": {refuses}}, status: 200, executions: 1, sent: 1},
		{
			testName: "a request that no endpoint executed is refused as not executed", path: "/action/x", script: everywhere(rejects),
			refusal: fault.EndpointBusy, outcome: fault.NotExecuted, sent: 3,
		},
		{
			testName: "a response without a signature is lost", path: "/action/x", script: everywhere(unsigned),
			refusal: fault.EndpointFailed, outcome: fault.Unknown, executions: 1, sent: 1,
		},
		{
			testName: "a truncated response is lost", path: "/action/x", script: everywhere(truncates),
			refusal: fault.EndpointFailed, outcome: fault.Unknown, executions: 1, sent: 1,
		},
		{testName: "an idempotent request is retried after a truncated response", path: "/lookup/x", script: map[ident.EndpointName][]behaviour{"p1": {truncates}, "p2": {}, "p3": {}}, status: 200},
		{testName: "an unknown path is refused", path: "/none/x", refusal: fault.UnknownRoute, outcome: fault.NotExecuted},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{script: s.script}
				w, refusal := send(t.Context(), newTestRelay(t, backend), s.path)
				if s.refusal != "" {
					assert.Equal(t, refusal.Code, s.refusal)
					assert.Equal(t, refusal.Outcome, s.outcome)
				} else {
					assert.Assert(t, refusal == nil)
					assert.Equal(t, w.Code, s.status)
				}
				if s.executions > 0 {
					assert.Equal(t, backend.executions, s.executions)
				}
				if s.sent > 0 {
					assert.Equal(t, len(backend.sent), s.sent)
				}
			})
		})
	}
}

// With endpoints of arbitrary behaviour, a non-idempotent request is executed at most
// once, and a refusal with the outcome NotExecuted is correct.
func TestCallOutcomes(t *testing.T) {
	behaviours := []behaviour{responds, returnsError, rejects, losesResponse, unsigned, truncates, refuses}
	rapid.Check(t, func(rt *rapid.T) {
		script := map[ident.EndpointName][]behaviour{}
		for _, name := range []ident.EndpointName{"p1", "p2", "p3"} {
			script[name] = rapid.SliceOfN(rapid.SampledFrom(behaviours), 1, 2).Draw(rt, string(name))
		}
		path := rapid.SampledFrom([]string{"/action/x", "/lookup/x"}).Draw(rt, "path")
		backend := &fakeBackend{script: script}
		_, refusal := send(context.Background(), newTestRelay(t, backend), path)
		if path == "/action/x" && backend.executions > 1 {
			rt.Fatalf("the non-idempotent request was executed %d times", backend.executions)
		}
		if backend.executions > 2 {
			rt.Fatalf("the idempotent request was executed at %d endpoints", backend.executions)
		}
		if refusal == nil {
			return
		}
		if refusal.Outcome == fault.NotExecuted && backend.executions > 0 || impliesNotExecuted(refusal.Status()) && backend.executions > 0 {
			rt.Fatalf("%v, though it was executed", refusal)
		}
		if impliesNotExecuted(refusal.Status()) && refusal.RetryAfter <= 0 {
			rt.Fatalf("%v has no Retry-After", refusal)
		}
	})
}

func TestCallEndsEarly(t *testing.T) {
	scenarios := []struct {
		testName   string
		disconnect time.Duration
		refusal    fault.Code
		after      time.Duration
	}{
		{testName: "a caller that disconnects ends the call immediately", disconnect: time.Second, refusal: fault.Cancelled, after: time.Second},
		{testName: "the deadline ends the call", disconnect: time.Hour, refusal: fault.PatienceExceeded, after: 14*time.Second - deadlineMargin},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				timer := time.AfterFunc(s.disconnect, cancel)
				defer timer.Stop()
				began := time.Now()
				_, refusal := send(ctx, newTestRelay(t, &fakeBackend{script: everywhere(hangs)}), "/action/x")
				assert.Equal(t, refusal.Code, s.refusal)
				assert.Equal(t, time.Since(began), s.after)
			})
		})
	}
}

func TestNoEndpointIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &fakeBackend{})
		r.config.Pool.ApplySnapshot(nil, 2, false)
		began := time.Now()
		_, refusal := send(t.Context(), r, "/action/x")
		assert.Equal(t, refusal.Status(), http.StatusServiceUnavailable)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

func TestNothingIsServedWithoutRoutes(t *testing.T) {
	r := newTestRelay(t, &fakeBackend{})
	r.table.Store(nil)
	_, refusal := send(t.Context(), r, "/action/x")
	assert.Equal(t, refusal.Code, fault.DocumentsNotLoaded)
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestCrashingRequestIsSuspended(t *testing.T) {
	backend := &fakeBackend{}
	r := newTestRelay(t, backend)
	request := &Request{Host: "h", Target: "/lookup/x"}
	for _, attempt := range []string{"1", "2", "3"} {
		r.crashes.RecordCrash(crash.Report{Fingerprint: request.fingerprint(), Attempt: attempt}, time.Now())
	}
	_, refusal := send(t.Context(), r, "/lookup/x")
	assert.Equal(t, refusal.Code, fault.RequestSuspended)
	assert.Equal(t, refusal.Outcome, fault.NotExecuted)
	assert.Equal(t, len(backend.sent), 0)
}

// Retries must stay within the limits however many requests fail: in an outage of a whole
// service, or after a power failure when other processes respond at all known addresses.
func TestRetriesAreBounded(t *testing.T) {
	scenarios := []struct {
		testName  string
		path      string
		behaviour behaviour
		at        []ident.EndpointName
	}{
		{testName: "idempotent requests with lost responses", path: "/lookup/x", behaviour: losesResponse, at: []ident.EndpointName{"p1", "p2", "p3"}},
		{testName: "rejected non-idempotent requests", path: "/action/x", behaviour: rejects, at: []ident.EndpointName{"p1", "p2", "p3"}},
		{testName: "prompts that no endpoint prefills", path: "/read/x", behaviour: rejects, at: []ident.EndpointName{"r1", "r2"}},
		{testName: "prompts that are prefilled and not decoded", path: "/read/x", behaviour: rejects, at: []ident.EndpointName{"d1", "d2"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const requests = 400
				script := map[ident.EndpointName][]behaviour{}
				for _, name := range s.at {
					for range 6 * requests {
						script[name] = append(script[name], s.behaviour)
					}
				}
				backend := &fakeBackend{script: script}
				r := newTestRelay(t, backend)
				for range requests {
					_, _ = send(t.Context(), r, s.path)
				}
				sends := len(backend.sent) - backend.firstPrefills
				assert.Assert(t, sends-requests <= requests/5+50, "%d retries", sends-requests)
			})
		})
	}
}

func TestDrainingEndpointIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{}
		r := newTestRelay(t, backend)
		for _, name := range []ident.EndpointName{"p1", "p2"} {
			r.config.Pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: name, Service: "plain", Address: ident.Address(name + ":1"), Draining: true}}}, pool.Revision(2+len(name)+int(name[1])), false)
		}
		for range 20 {
			_, _ = send(t.Context(), r, "/action/x")
		}
		for _, sent := range backend.sent {
			assert.Equal(t, sent, "call at p3")
		}
	})
}
