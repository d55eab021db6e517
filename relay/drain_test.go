package relay

import (
	"context"
	"fmt"
	"net/http"
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
	"crocusstep/pool"
	"crocusstep/table"
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

// TestDrainByDuration guards against a relay that stops and goes by the time of the caller, not by
// the time that its request takes: it cuts long streams, and refuses short requests.
func TestDrainByDuration(t *testing.T) {
	process := cost.Process{Version: "v1"}
	scenarios := []struct {
		testName string
		path     string
		// perToken holds the paces of the engines; the output has most likely no more than 8,000 tokens.
		perToken map[ident.EndpointName]time.Duration
		// longest is the longest duration of a call.
		longest, left time.Duration
		refused       bool
		// decode is the engine that must be used, if set.
		decode string
	}{
		{"a stream that most likely ends before the relay", "/read/x", map[ident.EndpointName]time.Duration{"d1": 500 * time.Microsecond}, 0, 4500 * time.Millisecond, false, ""},
		{"a stream that would be cut, with much time left", "/read/x", map[ident.EndpointName]time.Duration{"d1": time.Millisecond}, 0, 7300 * time.Millisecond, true, ""},
		{"a short stream, with little time left", "/read/x", map[ident.EndpointName]time.Duration{"d1": 100 * time.Microsecond}, 0, 1500 * time.Millisecond, false, ""},
		{"one engine is too slow", "/read/x", map[ident.EndpointName]time.Duration{"d1": time.Millisecond, "d2": 500 * time.Microsecond}, 0, 5 * time.Second, false, "decode at d2"},
		{"all engines are too slow", "/read/x", map[ident.EndpointName]time.Duration{"d1": time.Millisecond, "d2": time.Millisecond}, 0, 7 * time.Second, true, ""},
		{"a call that ends in time, with little time left", "/action/x", nil, 100 * time.Millisecond, 300 * time.Millisecond, false, ""},
		{"a call that may take longer than the relay has", "/action/x", nil, 2 * time.Second, 1500 * time.Millisecond, true, ""},
		{"a call whose caller waits no longer than the relay has", "/action/x", nil, 5 * time.Second, 3 * time.Second, false, ""},
		{"a plain stream that may take longer than the relay has", "/plain-stream/x", nil, 2 * time.Second, 1500 * time.Millisecond, true, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{}
				r := newTestRelay(t, backend)
				for name, perToken := range s.perToken {
					r.durations.pacesOf("model").Observe(name, process, perToken, time.Now())
				}
				for _, kind := range []table.Kind{table.Action, table.Streaming} {
					r.durations.longestOf("plain", kind).record(int(s.longest), time.Now())
				}
				r.Drain(time.Now().Add(s.left))
				timeout := 14 * time.Second
				if s.path == "/action/x" {
					timeout = 3 * time.Second
				}
				refusal := r.Serve(t.Context(), newTestRequest(s.path, timeout), httptest.NewRecorder())
				r.Wait()
				if !s.refused {
					assert.Assert(t, refusal == nil)
					assert.Assert(t, s.decode == "" || slices.Contains(backend.sent, s.decode), "%v", backend.sent)
					return
				}
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, fault.Draining)
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Equal(t, len(backend.sent), 0)
				assert.Equal(t, backend.granted, backend.released)
			})
		})
	}
}

// TestPaceIsLearned guards against paces that are taken from the time before the first event, or
// from too few events.
func TestPaceIsLearned(t *testing.T) {
	scenarios := []struct {
		testName string
		events   int
		pace     time.Duration
	}{
		{"a long output", 41, time.Millisecond},
		{"too short an output", paceEvents - 1, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				e := &exchange{Relay: r, request: newTestRequest("/read/x", time.Minute), service: r.Table().Services["model"]}
				e.service.Name = "model"
				output := &stream{exchange: e, source: pool.Endpoint{Name: "d1", Version: "v1"}}
				time.Sleep(time.Second)
				for id := range s.events {
					output.recordEvents(1)
					if id < s.events-1 {
						time.Sleep(61 * time.Millisecond)
					}
				}
				output.observePace()
				assert.Equal(t, r.durations.pacesOf("model").Of("d1", cost.Process{Version: "v1"}, time.Now()), s.pace)
			})
		})
	}
}

// TestPaceOfUnevenStreams guards against engines that count as faster than they are, and get streams
// that a stopping relay then cuts: events that arrive together were not made at once, and comments are
// no output.
func TestPaceOfUnevenStreams(t *testing.T) {
	const interval = 61 * time.Millisecond
	numbered := func(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }
	// together returns the first events of a stream as one part, and those after them alone.
	together := func(first, all int) (parts []string) {
		begin := ""
		for id := 1; id <= first; id++ {
			begin += numbered(id)
		}
		parts = append(parts, begin)
		for id := first + 1; id <= all; id++ {
			parts = append(parts, numbered(id))
		}
		return parts
	}
	beats := make([]string, 41)
	for i := range beats {
		beats[i] = ": ping\n\n"
		if i%4 == 0 {
			beats[i] = numbered(i/4 + 1)
		}
	}
	scenarios := []struct {
		testName string
		parts    []string
		pace     time.Duration
	}{
		{"events one by one", together(1, 41), time.Millisecond},
		{"the first events together", together(30, 41), time.Millisecond},
		{"too few events after those that came together", together(38, 41), 0},
		{"all events together", together(41, 41), 0},
		{"comments between the events", beats, 4 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				e := &exchange{Relay: r, request: newTestRequest("/read/x", time.Minute), service: r.Table().Services["model"]}
				e.service.Name = "model"
				e.writer = httptest.NewRecorder()
				output := &stream{exchange: e, source: pool.Endpoint{Name: "d1", Version: "v1"}}
				began := false
				for i, part := range s.parts {
					if i > 0 {
						time.Sleep(interval)
					}
					assert.NilError(t, output.forwardEvents(&Response{Status: http.StatusOK}, []byte(part), &began))
				}
				output.observePace()
				assert.Equal(t, r.durations.pacesOf("model").Of("d1", cost.Process{Version: "v1"}, time.Now()), s.pace)
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
