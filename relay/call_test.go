package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/fault"
	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
)

// everywhere has all plain endpoints do the same.
func everywhere(all ...behaviour) map[ident.EndpointName][]behaviour {
	return map[ident.EndpointName][]behaviour{"p1": all, "p2": all, "p3": all}
}

func TestCall(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		script   map[ident.EndpointName][]behaviour
		status   int
		refusal  fault.Code
		outcome  fault.Outcome
		runs     int
		sent     int
	}{
		{testName: "an answer is passed on", path: "/action/x", status: 200, runs: 1, sent: 1},
		{testName: "an action that failed is not run again", path: "/action/x", script: everywhere(failsIt), status: 500, runs: 1, sent: 1},
		{testName: "a lookup that failed everywhere is told the failure", path: "/lookup/x", script: everywhere(failsIt), status: 500, runs: 2, sent: 2},
		{
			testName: "an action whose answer was lost is not run again", path: "/action/x", script: everywhere(breaksOff),
			refusal: fault.EndpointFailed, outcome: fault.Unknown, runs: 1, sent: 1,
		},
		{testName: "an action that was rejected runs elsewhere", path: "/action/x", script: map[ident.EndpointName][]behaviour{"p1": {rejects}, "p2": {rejects}}, status: 200, runs: 1},
		{testName: "a refused connection costs no repeat", path: "/action/x", script: map[ident.EndpointName][]behaviour{"p1": {refuses}, "p2": {refuses}}, status: 200, runs: 1, sent: 1},
		{
			testName: "what no endpoint ran is refused as not run", path: "/action/x", script: everywhere(rejects),
			refusal: fault.EndpointBusy, outcome: fault.NotRun, sent: 3,
		},
		{
			testName: "an answer without a signature is none", path: "/action/x", script: everywhere(unsealed),
			refusal: fault.EndpointFailed, outcome: fault.Unknown, runs: 1, sent: 1,
		},
		{
			testName: "a truncated answer is none", path: "/action/x", script: everywhere(truncates),
			refusal: fault.EndpointFailed, outcome: fault.Unknown, runs: 1, sent: 1,
		},
		{testName: "a lookup goes on after a truncated answer", path: "/lookup/x", script: map[ident.EndpointName][]behaviour{"p1": {truncates}, "p2": {}, "p3": {}}, status: 200},
		{testName: "an unknown path is refused", path: "/none/x", refusal: fault.UnknownRoute, outcome: fault.NotRun},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stand := &standIn{script: s.script}
				w, refusal := send(t.Context(), newTestRelay(t, stand), s.path)
				if s.refusal != "" {
					assert.Equal(t, refusal.Code, s.refusal)
					assert.Equal(t, refusal.Outcome, s.outcome)
				} else {
					assert.Assert(t, refusal == nil)
					assert.Equal(t, w.Code, s.status)
				}
				if s.runs > 0 {
					assert.Equal(t, stand.runs, s.runs)
				}
				if s.sent > 0 {
					assert.Equal(t, len(stand.sent), s.sent)
				}
			})
		})
	}
}

// TestCallPromises lets endpoints do anything: an action runs at most once, and a
// refusal that says not run is true.
func TestCallPromises(t *testing.T) {
	acts := []behaviour{answers, failsIt, rejects, breaksOff, unsealed, truncates, refuses}
	rapid.Check(t, func(rt *rapid.T) {
		script := map[ident.EndpointName][]behaviour{}
		for _, name := range []ident.EndpointName{"p1", "p2", "p3"} {
			script[name] = rapid.SliceOfN(rapid.SampledFrom(acts), 1, 2).Draw(rt, string(name))
		}
		path := rapid.SampledFrom([]string{"/action/x", "/lookup/x"}).Draw(rt, "path")
		stand := &standIn{script: script}
		_, refusal := send(context.Background(), newTestRelay(t, stand), path)
		if path == "/action/x" && stand.runs > 1 {
			rt.Fatalf("the action ran %d times", stand.runs)
		}
		if stand.runs > 2 {
			rt.Fatalf("the lookup ran at %d endpoints", stand.runs)
		}
		if refusal == nil {
			return
		}
		if refusal.Outcome == fault.NotRun && stand.runs > 0 || promises(refusal.Status()) && stand.runs > 0 {
			rt.Fatalf("%v, though it ran", refusal)
		}
		if promises(refusal.Status()) && refusal.RetryAfter <= 0 {
			rt.Fatalf("%v does not say when to come back", refusal)
		}
	})
}

func TestCallGivesUp(t *testing.T) {
	scenarios := []struct {
		testName string
		leave    time.Duration
		refusal  fault.Code
		after    time.Duration
	}{
		{testName: "a caller that leaves ends the call at once", leave: time.Second, refusal: fault.Cancelled, after: time.Second},
		{testName: "the deadline ends the call", leave: time.Hour, refusal: fault.PatienceExceeded, after: 14*time.Second - deadlineMargin},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				timer := time.AfterFunc(s.leave, cancel)
				defer timer.Stop()
				began := time.Now()
				_, refusal := send(ctx, newTestRelay(t, &standIn{script: everywhere(hangs)}), "/action/x")
				assert.Equal(t, refusal.Code, s.refusal)
				assert.Equal(t, time.Since(began), s.after)
			})
		})
	}
}

func TestNoEndpointIsSaidAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &standIn{})
		r.config.Pool.ApplySnapshot(nil, 2, false)
		began := time.Now()
		_, refusal := send(t.Context(), r, "/action/x")
		assert.Equal(t, refusal.Status(), http.StatusServiceUnavailable)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

func TestNothingIsServedWithoutRoutes(t *testing.T) {
	r := newTestRelay(t, &standIn{})
	r.table.Store(nil)
	_, refusal := send(t.Context(), r, "/action/x")
	assert.Equal(t, refusal.Code, fault.DocumentsNotLoaded)
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestCrashingRequestIsStopped(t *testing.T) {
	stand := &standIn{}
	r := newTestRelay(t, stand)
	request := &Request{Host: "h", Target: "/lookup/x"}
	for _, attempt := range []string{"1", "2", "3"} {
		r.crashes.Record(gossip.Crash{Fingerprint: request.fingerprint(), Attempt: attempt}, time.Now())
	}
	_, refusal := send(t.Context(), r, "/lookup/x")
	assert.Equal(t, refusal.Code, fault.RequestSuspended)
	assert.Equal(t, refusal.Outcome, fault.NotRun)
	assert.Equal(t, len(stand.sent), 0)
}

// TestRetriesAreBounded is an outage of a whole service, and a power cut after
// which other processes answer at all known addresses: what is sent once more stays
// within the allowance however many requests fail.
func TestRetriesAreBounded(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		does     behaviour
		at       []ident.EndpointName
	}{
		{testName: "lookups whose answers are lost", path: "/lookup/x", does: breaksOff, at: []ident.EndpointName{"p1", "p2", "p3"}},
		{testName: "actions that are rejected", path: "/action/x", does: rejects, at: []ident.EndpointName{"p1", "p2", "p3"}},
		{testName: "prompts that no endpoint reads", path: "/read/x", does: rejects, at: []ident.EndpointName{"r1", "r2"}},
		{testName: "prompts that are read and not answered", path: "/read/x", does: rejects, at: []ident.EndpointName{"d1", "d2"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const requests = 400
				script := map[ident.EndpointName][]behaviour{}
				for _, name := range s.at {
					for range 6 * requests {
						script[name] = append(script[name], s.does)
					}
				}
				stand := &standIn{script: script}
				r := newTestRelay(t, stand)
				for range requests {
					_, _ = send(t.Context(), r, s.path)
				}
				arrivals := len(stand.sent) - stand.firstReadings
				assert.Assert(t, arrivals-requests <= requests/5+50, "%d repeats", arrivals-requests)
			})
		})
	}
}

func TestLeavingEndpointIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := &standIn{}
		r := newTestRelay(t, stand)
		for _, name := range []ident.EndpointName{"p1", "p2"} {
			r.config.Pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: name, Service: "plain", Address: ident.Address(name + ":1"), Leaving: true}}}, pool.Revision(2+len(name)+int(name[1])), false)
		}
		for range 20 {
			_, _ = send(t.Context(), r, "/action/x")
		}
		for _, sent := range stand.sent {
			assert.Equal(t, sent, "call at p3")
		}
	})
}
