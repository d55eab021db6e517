package relay

import (
	"math"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/cost"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/table"
)

// TestDrainOfUnknownLength guards against streams of which nothing is known and that count as short, and
// against streams taken up at their end that count as unknown.
func TestDrainOfUnknownLength(t *testing.T) {
	scenarios := []struct {
		testName    string
		prompt      Prompt
		lastEventID string
		hasNoPace   bool
		left        time.Duration
		refused     bool
	}{
		{testName: "a limit and a hint", prompt: Prompt{Tokens: 100, MaxOutput: 8000, EstimatedOutput: 4000}, left: 8500 * time.Millisecond},
		{testName: "a limit only", prompt: Prompt{Tokens: 100, MaxOutput: 8000}, left: 7500 * time.Millisecond, refused: true},
		{testName: "neither, with little time left", prompt: Prompt{Tokens: 100}, left: time.Second, refused: true},
		{testName: "neither, with much time left", prompt: Prompt{Tokens: 100}, left: 5 * time.Second},
		{testName: "an unknown pace, with little time left", prompt: Prompt{Tokens: 100, MaxOutput: 8000}, hasNoPace: true, left: 4 * time.Second, refused: true},
		{testName: "an absurd hint", prompt: Prompt{Tokens: 100, EstimatedOutput: math.MaxInt64}, left: 5 * time.Second, refused: true},
		{testName: "an absurd hint and limit", prompt: Prompt{Tokens: 100, MaxOutput: 1 << 45, EstimatedOutput: 1 << 45}, left: 5 * time.Second, refused: true},
		{testName: "a stream whose limit is reached", prompt: Prompt{Tokens: 100, MaxOutput: 8000}, lastEventID: "132", left: time.Second},
		{testName: "a stream that begins", prompt: Prompt{Tokens: 100, MaxOutput: 8000}, lastEventID: "1", left: time.Second, refused: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				if !s.hasNoPace {
					r.durations.pacesOf("model").Observe("d1", cost.Process{Version: "v1"}, time.Millisecond, time.Now())
				}
				request := newTestRequest("/resume/x", 14*time.Second)
				request.Prompt, request.LastEventID = &s.prompt, s.lastEventID
				e := &exchange{Relay: r, request: request, service: r.Table().Services["model"], deadline: request.Arrived.Add(request.Timeout)}
				e.service.Name = "model"
				r.Drain(time.Now().Add(s.left))
				refusal := newStream(e).refuseStreamBeforeEnd(nil, nil)
				assert.Equal(t, refusal != nil, s.refused, "%v", refusal)
			})
		})
	}
}

// TestDrainAfterWait guards against requests that came in time before a relay stops, wait for a
// permit, a slot or an endpoint that rejects them, and are sent when they can only be cut.
func TestDrainAfterWait(t *testing.T) {
	process := cost.Process{Version: "v1"}
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
		// left is the time until the relay stops; calls take 1 s, outputs at d1 4 s and at d2 6 s.
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
		{testName: "a permit of a plain endpoint", path: "/action/x", left: 1600 * time.Millisecond, limited: true, asked: "permit", refused: true},
		{testName: "a permit that comes in time", path: "/action/x", left: 1800 * time.Millisecond, limited: true, asked: "permit", sent: []string{"call"}},
		{testName: "a permit for a plain stream", path: "/plain-stream/x", left: 1600 * time.Millisecond, limited: true, asked: "permit", refused: true},
		{
			testName: "a plain endpoint that rejects the request late", path: "/action/x", left: 1600 * time.Millisecond, refused: true, sent: []string{"call"},
			script: everywhere(rejects), onSend: rejecting("call", 700*time.Millisecond),
		},
		{
			testName: "a plain endpoint that fails the request late", path: "/lookup/x", left: 1600 * time.Millisecond, sent: []string{"call", "call"},
			script: everywhere(returnsError), onSend: rejecting("call", 700*time.Millisecond),
		},
		{testName: "a prefill slot", path: "/read/x", left: 4800 * time.Millisecond, asked: "slot", refused: true},
		{testName: "a prefill slot that comes in time", path: "/read/x", left: 6 * time.Second, asked: "slot", sent: []string{"prefill", "decode"}},
		{testName: "a slow prefill", path: "/read/x", left: 4800 * time.Millisecond, onSend: rejecting("prefill", 800*time.Millisecond), refused: true, sent: []string{"prefill"}},
		{testName: "an engine that rejects the request, beside a slow one", path: "/read/x", left: 5 * time.Second, nextDecode: rejects, refused: true, sent: []string{"prefill", "decode"}},
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
				for _, kind := range []table.Kind{table.Lookup, table.Action, table.Streaming} {
					r.durations.longestOf("plain", kind).record(int(time.Second), time.Now())
				}
				r.durations.pacesOf("model").Observe("d1", process, 500*time.Microsecond, time.Now())
				r.durations.pacesOf("model").Observe("d2", process, 750*time.Microsecond, time.Now())
				r.Drain(time.Now().Add(s.left))
				refusal := r.Serve(t.Context(), newTestRequest(s.path, 14*time.Second), httptest.NewRecorder())
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
