package relay

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
)

// TestDrainAfterWait guards against requests that came in time before a relay stops, wait for a
// permit, a slot or an endpoint that rejects them, and are sent when they can only be cut.
func TestDrainAfterWait(t *testing.T) {
	rejecting := func(operation string, wait time.Duration) func(string) {
		return func(received string) {
			if received == operation {
				time.Sleep(wait)
			}
		}
	}
	scenarios := []struct {
		testName string
		path     string
		// left is the time from the arrival until the relay stops. Outputs last 5 s at most, calls 14 s.
		left time.Duration
		// limited is set if all endpoints state a limit.
		limited bool
		// asked is what the request waits for, for 700 ms.
		asked string
		// nextDecode is what the first decode does, and onSend what comes before it.
		nextDecode behaviour
		script     map[ident.EndpointName][]behaviour
		onSend     func(string)
		refused    bool
		// sent are the operations that endpoints may receive, each once.
		sent []string
	}{
		{testName: "a permit of a plain endpoint", path: "/action/x", left: 13900 * time.Millisecond, limited: true, asked: "permit", refused: true},
		{testName: "a permit that comes in time", path: "/action/x", left: 14 * time.Second, limited: true, asked: "permit", sent: []string{"call"}},
		{testName: "a permit for a plain stream", path: "/plain-stream/x", left: 13900 * time.Millisecond, limited: true, asked: "permit", refused: true},
		{
			testName: "a plain endpoint that rejects the request late", path: "/action/x", left: 13900 * time.Millisecond, refused: true, sent: []string{"call"},
			script: everywhere(rejects), onSend: rejecting("call", 700*time.Millisecond),
		},
		{
			testName: "a plain endpoint that fails the request late", path: "/lookup/x", left: 13900 * time.Millisecond, sent: []string{"call", "call"},
			script: everywhere(returnsError), onSend: rejecting("call", 700*time.Millisecond),
		},
		{testName: "memory", path: "/read/x", left: 5600 * time.Millisecond, asked: "memory", refused: true},
		{testName: "a prefill slot", path: "/read/x", left: 5600 * time.Millisecond, asked: "slot", refused: true},
		{testName: "a prefill slot that comes in time", path: "/read/x", left: 5800 * time.Millisecond, asked: "slot", sent: []string{"prefill", "decode"}},
		{testName: "a slow prefill", path: "/read/x", left: 5600 * time.Millisecond, onSend: rejecting("prefill", 700*time.Millisecond), refused: true, sent: []string{"prefill"}},
		{
			testName: "an engine that rejects the request late", path: "/read/x", left: 5600 * time.Millisecond, nextDecode: rejects,
			onSend: rejecting("decode", 700*time.Millisecond), refused: true, sent: []string{"prefill", "decode"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{script: s.script, nextDecode: s.nextDecode, onSend: s.onSend}
				r := newTestRelay(t, backend)
				if s.asked != "" {
					backend.onAsk = func(what string) {
						if what == s.asked {
							time.Sleep(700 * time.Millisecond)
						}
					}
				}
				if s.limited {
					r.config.RelayCount = func() int { return 1000 }
					members, _ := r.config.Pool.Snapshot()
					for _, e := range members {
						r.config.Pool.SetLimit(e, 10, time.Now(), time.Now())
					}
				}
				end := time.Now().Add(s.left)
				time.AfterFunc(100*time.Millisecond, func() { r.Drain(Stop{End: end}) })
				request := newTestRequest(s.path, 14*time.Second+deadlineMargin)
				if request.Prompt != nil {
					request.Prompt.MaxOutput = 366
				}
				refusal := r.Serve(t.Context(), request, httptest.NewRecorder())
				r.Wait()
				var operations []string
				for _, sent := range backend.sent {
					operation, _, _ := strings.Cut(sent, " ")
					operations = append(operations, operation)
				}
				assert.Assert(t, slices.Equal(operations, s.sent), "%v", backend.sent)
				if !s.refused {
					assert.Assert(t, refusal == nil, "%v", refusal)
					return
				}
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, fault.Draining)
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Assert(t, refusal.RetryAfter > 0)
				assert.Equal(t, backend.executions, 0)
				assert.Equal(t, backend.released, backend.granted, "reservations are released")
				if len(s.sent) > 0 && s.path == "/read/x" {
					assert.Equal(t, len(backend.freed), 1, "the prompt is freed")
				}
			})
		})
	}
}
