package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/admit"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/pool"
)

const wholeStream = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"

// decodes returns the same script for all decode endpoints.
func decodes(all ...behaviour) map[ident.EndpointName][]behaviour {
	return map[ident.EndpointName][]behaviour{"d1": all, "d2": all}
}

func TestServeStream(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		backend  *fakeBackend
		check    func(t *testing.T, b *fakeBackend, body string, refusal *fault.Refusal, took time.Duration)
	}{
		{
			testName: "a prompt is prefilled once and decoded once",
			path:     "/read/x",
			backend:  &fakeBackend{},
			check: func(t *testing.T, b *fakeBackend, body string, refusal *fault.Refusal, _ time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Equal(t, len(b.sent), 2)
			},
		},
		{
			testName: "without memory no prompt is prefilled, and the request is refused immediately",
			path:     "/read/x",
			backend:  &fakeBackend{full: true},
			check: func(t *testing.T, b *fakeBackend, _ string, refusal *fault.Refusal, took time.Duration) {
				assert.Equal(t, refusal.Code, fault.TargetUnreachable)
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Assert(t, refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= maxRetryAfter)
				assert.Equal(t, len(b.sent), 0)
				assert.Equal(t, took, time.Duration(0))
			},
		},
		{
			testName: "a stream that must not be retried is visibly truncated",
			path:     "/read/x",
			backend:  &fakeBackend{script: decodes(interruptsStream)},
			check: func(t *testing.T, b *fakeBackend, body string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Code, fault.ResponseTruncated)
				assert.Equal(t, body, wholeStream[:len(body)])
				assert.Equal(t, b.executions, 1)
			},
		},
		{
			testName: "a resumable stream continues after its last complete event",
			path:     "/resume/x",
			backend:  &fakeBackend{script: map[ident.EndpointName][]behaviour{"d1": {interruptsStream}, "d2": {interruptsStream, responds}}},
			check: func(t *testing.T, b *fakeBackend, body string, refusal *fault.Refusal, _ time.Duration) {
				if refusal == nil {
					assert.Equal(t, body, wholeStream)
				}
				assert.DeepEqual(t, b.resumedAfter, []string{"", "3"})
			},
		},
		{
			testName: "a stream without a response header may be retried elsewhere",
			path:     "/resume/x",
			backend:  &fakeBackend{script: decodes(losesResponse, responds)},
			check: func(t *testing.T, b *fakeBackend, _ string, _ *fault.Refusal, _ time.Duration) {
				assert.Equal(t, b.executions, 2)
			},
		},
		{
			testName: "a lost execution that must not be retried has an unknown outcome",
			path:     "/read/x",
			backend:  &fakeBackend{script: decodes(losesResponse)},
			check: func(t *testing.T, b *fakeBackend, _ string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Outcome, fault.Unknown)
				assert.Assert(t, !impliesNotExecuted(refusal.Status()))
				assert.Equal(t, b.executions, 1)
			},
		},
		{
			testName: "a prompt that the decode endpoint rejects is freed and its memory released",
			path:     "/read/x",
			backend:  &fakeBackend{script: decodes(rejects, rejects, rejects, rejects)},
			check: func(t *testing.T, b *fakeBackend, _ string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Assert(t, len(b.freed) > 0)
				assert.Equal(t, b.released, b.granted)
				assert.Equal(t, b.executions, 0)
			},
		},
		{
			testName: "without prefill endpoints the decode endpoint prefills the prompt",
			path:     "/read/x",
			backend:  &fakeBackend{script: map[ident.EndpointName][]behaviour{"r1": {refuses, refuses}, "r2": {refuses, refuses}}},
			check: func(t *testing.T, b *fakeBackend, body string, refusal *fault.Refusal, _ time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Equal(t, len(b.sent), 1)
			},
		},
		{
			testName: "a prompt that hangs at one endpoint is prefilled elsewhere in time",
			path:     "/read/x",
			backend:  &fakeBackend{script: map[ident.EndpointName][]behaviour{"r1": {hangs}, "r2": {hangs}}},
			check: func(t *testing.T, _ *fakeBackend, body string, refusal *fault.Refusal, took time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Assert(t, took < 1500*time.Millisecond, "%s", took)
			},
		},
		{
			testName: "engines whose keepers are down are used without them",
			path:     "/read/x",
			backend:  &fakeBackend{refusing: true},
			check: func(t *testing.T, _ *fakeBackend, body string, refusal *fault.Refusal, took time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Equal(t, took, time.Duration(0))
			},
		},
		{
			testName: "engines whose instances are unresponsive are sent nothing",
			path:     "/read/x",
			backend:  &fakeBackend{unreachable: true},
			check: func(t *testing.T, b *fakeBackend, _ string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Equal(t, len(b.sent), 0)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, s.backend)
				began := time.Now()
				w, refusal := send(t.Context(), r, s.path)
				s.check(t, s.backend, w.Body.String(), refusal, time.Since(began))
			})
		})
	}
}

// In a burst prompts wait for prefill. A decode endpoint may prefill them itself only
// if this does not disturb its other streams.
func TestLatePrefillEndpoints(t *testing.T) {
	scenarios := []struct {
		testName string
		backend  *fakeBackend
		decodes  int
		refused  bool
	}{
		{testName: "a local prefill that disturbs no stream", backend: &fakeBackend{prefillLate: true, localStall: 150 * time.Millisecond}, decodes: 1},
		{testName: "a local prefill that stalls streams is refused", backend: &fakeBackend{prefillLate: true, localStall: 250 * time.Millisecond}, refused: true},
		{testName: "without prefill endpoints the local prefill is granted", backend: &fakeBackend{prefillDown: true, localStall: 250 * time.Millisecond}, decodes: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				w, refusal := send(t.Context(), newTestRelay(t, s.backend), "/read/x")
				assert.Equal(t, len(s.backend.resumedAfter), s.decodes)
				assert.Equal(t, len(s.backend.sent), s.decodes, "%s", s.backend.sent)
				if !s.refused {
					assert.Assert(t, refusal == nil)
					assert.Equal(t, w.Body.String(), wholeStream)
					return
				}
				assert.Equal(t, refusal.Code, fault.TargetUnreachable)
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Assert(t, refusal.RetryAfter > 0)
				assert.Equal(t, s.backend.released, 1)
				assert.Assert(t, time.Since(began) <= maxSlotWait+slotRetryInterval, "it waited longer than the request can use")
			})
		})
	}
}

// Streams resume after the loss of their engine: the next engine prefills the tokens
// generated for each, with pauses between the prefills.
func TestResumedStreamsAwaitLocalPrefill(t *testing.T) {
	scenarios := []struct {
		testName   string
		localStall time.Duration
		waits      bool
	}{
		{testName: "a local prefill that disturbs no stream", localStall: 150 * time.Millisecond},
		{testName: "a local prefill that stalls streams waits, but not until the caller disconnects", localStall: time.Second, waits: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{nextDecode: interruptsStream, localStall: s.localStall}
				began := time.Now()
				w, refusal := send(t.Context(), newTestRelay(t, backend), "/resume/x")
				assert.Assert(t, refusal == nil)
				assert.Equal(t, w.Body.String(), wholeStream)
				assert.Assert(t, len(backend.stalls) > 0, "no local prefill was requested")
				assert.Equal(t, time.Since(began) >= maxResumeSlotWait, s.waits)
				assert.Assert(t, time.Since(began) <= maxResumeSlotWait+slotRetryInterval)
			})
		})
	}
}

// Engines that change their stage look idle: without a backoff every request would try
// them first and use up its tries.
func TestDownEnginesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{down: map[ident.EndpointName]bool{"r1": true, "d1": true}}
		r := newTestRelay(t, backend)
		for range 20 {
			_, refusal := send(t.Context(), r, "/read/x")
			assert.Assert(t, refusal == nil)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, backend.downRequests <= 2, "down engines were sent %d requests", backend.downRequests)
	})
}

// Callers resume after a power failure: the tokens that they have received are
// prefilled again and take memory.
func TestResumeTokens(t *testing.T) {
	scenarios := []struct {
		testName string
		after    string
		tokens   ident.TokenCount
	}{
		{testName: "a new stream"},
		{testName: "an event number gives the tokens", after: "52", tokens: 52 * 61},
		{testName: "tokens are capped by the output limit", after: "1780000000000", tokens: 8000},
		{testName: "other ids give no tokens", after: "a-52"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := newTestRelay(t, &fakeBackend{})
			route, _ := r.Table().Match("h", "/resume/x")
			request := &Request{LastEventID: s.after, Prompt: &Prompt{Tokens: 5200, MaxOutput: 8000}}
			e := &exchange{Relay: r, route: route, service: r.Table().Services["model"], request: request}
			assert.Equal(t, newStream(e).resumeTokens(), s.tokens)
		})
	}
}

// A caller that disconnects in mid-stream must be distinguishable in the log from an
// endpoint that fails.
func TestCallerDisconnectsMidStream(t *testing.T) {
	for _, path := range []string{"/read/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				timer := time.AfterFunc(time.Second, cancel)
				defer timer.Stop()
				backend := &fakeBackend{script: map[ident.EndpointName][]behaviour{"d1": {stalls}, "d2": {stalls}}}
				w, refusal := send(ctx, newTestRelay(t, backend), path)
				assert.Equal(t, refusal.Code, fault.Cancelled)
				assert.Equal(t, refusal.Outcome, fault.Unknown)
				assert.Equal(t, w.Body.String(), wholeStream)
				assert.Equal(t, backend.executions, 1)
			})
		})
	}
}

// Combined engines and plain services that stream get no separate prefill and keep the
// same guarantees.
func TestStreamsWithoutDisaggregation(t *testing.T) {
	scenarios := []struct {
		testName   string
		nextDecode behaviour
		combined   bool
		path       string
		executions int
		truncated  bool
	}{
		{testName: "combined engines serve the stream", combined: true, path: "/read/x", executions: 1},
		{testName: "a plain service streams", path: "/plain-stream/x", executions: 1},
		{testName: "a rejected plain stream is sent elsewhere", nextDecode: rejects, path: "/plain-stream/x", executions: 1},
		{testName: "an interrupted plain stream is visibly truncated", nextDecode: interruptsStream, path: "/plain-stream/x", executions: 1, truncated: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{nextDecode: s.nextDecode}
				r := newTestRelay(t, backend)
				if s.combined {
					r.config.Pool.ApplySnapshot([]pool.Endpoint{{Name: "c1", Service: "model", Address: "c1:1", Slots: 4}}, 2, false)
				}
				w, refusal := send(t.Context(), r, s.path)
				assert.Equal(t, backend.executions, s.executions)
				if s.truncated {
					assert.Equal(t, refusal.Code, fault.ResponseTruncated)
					return
				}
				assert.Assert(t, refusal == nil)
				assert.Equal(t, w.Body.String(), wholeStream)
				for _, sent := range backend.sent {
					assert.Assert(t, sent[:7] != "prefill", sent)
				}
			})
		})
	}
}

// The endpoint with the reservation is removed between prefill and decode.
func TestDecodeEndpointRemovedDuringPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{}
		r := newTestRelay(t, backend)
		backend.onPrefill = func() {
			backend.onPrefill = nil
			var changes []pool.Change
			for _, name := range []ident.EndpointName{"d1", "d2"} {
				changes = append(changes, pool.Change{Endpoint: pool.Endpoint{Name: name}, Deleted: true})
			}
			r.config.Pool.ApplyChanges(changes, 2, false)
		}
		_, refusal := send(t.Context(), r, "/read/x")
		assert.Equal(t, refusal.Outcome, fault.NotExecuted)
		assert.Equal(t, backend.executions, 0)
		assert.Equal(t, len(backend.freed), 1)
		assert.Equal(t, backend.released, 1)
	})
}

// After the prefill, the endpoint with the reservation is removed or rejects the request.
func TestPrefilledPromptIsUsedElsewhere(t *testing.T) {
	scenarios := []struct {
		testName   string
		nextDecode behaviour
		removed    bool
	}{
		{testName: "the endpoint refuses the connection", nextDecode: refuses},
		{testName: "the endpoint rejects the request", nextDecode: rejects},
		{testName: "the endpoint is removed", removed: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{nextDecode: s.nextDecode}
				r := newTestRelay(t, backend)
				backend.onPrefill = func() {
					if s.removed {
						r.config.Pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: backend.lastReserved}, Deleted: true}}, 2, false)
					}
				}
				w, refusal := send(t.Context(), r, "/read/x")
				assert.Assert(t, refusal == nil)
				assert.Equal(t, w.Body.String(), wholeStream)
				prefills := 0
				for _, sent := range backend.sent {
					if sent[:7] == "prefill" {
						prefills++
					}
				}
				assert.Equal(t, prefills, 1)
				assert.Equal(t, backend.executions, 1)
				assert.Equal(t, len(backend.freed), 0)
			})
		})
	}
}

// With endpoints of arbitrary behaviour, the caller receives a prefix of the correct
// response, a stream that must not be retried is executed once, and a refusal with the
// outcome NotExecuted is correct.
func TestStreamOutcomes(t *testing.T) {
	behaviours := []behaviour{responds, returnsError, rejects, losesResponse, unsigned, interruptsStream, refuses}
	rapid.Check(t, func(rt *rapid.T) {
		script := map[ident.EndpointName][]behaviour{}
		for _, name := range []ident.EndpointName{"r1", "r2", "d1", "d2"} {
			script[name] = rapid.SliceOfN(rapid.SampledFrom(behaviours), 1, 3).Draw(rt, string(name))
		}
		path := rapid.SampledFrom([]string{"/read/x", "/resume/x"}).Draw(rt, "path")
		backend := &fakeBackend{script: script, full: rapid.Bool().Draw(rt, "full")}
		w, refusal := send(context.Background(), newTestRelay(t, backend), path)
		body := w.Body.String()
		if path == "/read/x" && backend.executions > 1 || backend.executions > 2 {
			rt.Fatalf("it was executed %d times", backend.executions)
		}
		if w.Code == 200 && (len(body) > len(wholeStream) || body != wholeStream[:len(body)]) {
			rt.Fatalf("the caller got %q", body)
		}
		if refusal == nil && w.Code == 200 && body != wholeStream {
			rt.Fatalf("a truncated response looks complete: %q", body)
		}
		if refusal != nil && backend.executions > 0 && (refusal.Outcome == fault.NotExecuted || impliesNotExecuted(refusal.Status())) {
			rt.Fatalf("%v, though it was executed", refusal)
		}
	})
}

// In a burst in which callers return, requests that can still meet their target precede
// those that cannot.
func TestWaitWindow(t *testing.T) {
	scenarios := []struct {
		testName    string
		waited      time.Duration
		earlierWait time.Duration
		started     bool
		urgency     admit.Timing
		maxWait     time.Duration
	}{
		{testName: "a new request waits while it can meet its latency target", urgency: admit.InTime, maxWait: 900 * time.Millisecond},
		{testName: "a request that has waited too long is late", waited: time.Second, urgency: admit.Late, maxWait: lateWait},
		{testName: "a returning caller comes after requests in time", earlierWait: 2 * time.Second, urgency: admit.Returning, maxWait: returningWait},
		{testName: "a started stream goes first", started: true, urgency: admit.Begun, maxWait: resumeWait},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				route, _ := r.Table().Match("h", "/read/x")
				e := &exchange{
					Relay: r, route: route, started: s.started, earlierWait: s.earlierWait, deadline: time.Now().Add(14 * time.Second),
					request: &Request{Arrived: time.Now().Add(-s.waited), Prompt: &Prompt{Tokens: 5200}},
				}
				window, urgency := (&stream{exchange: e}).waitWindow()
				assert.Equal(t, urgency, s.urgency)
				assert.Assert(t, window > 0 && window <= s.maxWait, "%s", window)
			})
		})
	}
}
