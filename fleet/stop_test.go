package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/caller"
	"crocusstep/conf"
	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/parser"
)

// flushSlack is how long after its shutdown timeout a process may still send responses.
const flushSlack = 500 * time.Millisecond

func shutdownAfter(delay, timeout time.Duration) conf.Shutdown {
	return conf.Shutdown{ShutdownDelay: parser.Duration(delay), Timeout: parser.Duration(timeout)}
}

// newSlowHalvorsen returns a fleet whose plain service takes this long for a call.
func newSlowHalvorsen(t *testing.T, executionTime time.Duration) *Fleet {
	t.Helper()
	return newHalvorsenWith(t, fake.PlainServiceConfig{ExecutionTime: executionTime})
}

func renew(t *testing.T, f *Fleet, entry ident.InstanceName, permit string) caller.CallResult {
	t.Helper()
	result, err := f.Caller(entry).Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "", `{"permit":"`+permit+`","period":"1"}`)
	assert.Check(t, err, "the renewal has no response")
	return result
}

// TestStoppedAgentHandsChatsOver guards against a planned stop of an agent that ends chats at the
// shutdown timeout, though another endpoint could go on.
func TestStoppedAgentHandsChatsOver(t *testing.T) {
	scenarios := []struct {
		testName string
		prompt   string
		// working waits until an endpoint works on the prompt and returns its name.
		working func(f *Fleet) ident.EndpointName
	}{
		{"decode", "a packet length=400", func(f *Fleet) ident.EndpointName { return awaitDecode(f).Name }},
		{"prefill", strings.Repeat("a ", 29_000), func(f *Fleet) ident.EndpointName {
			time.Sleep(500 * time.Millisecond)
			for _, e := range f.Endpoints("reading-prefill") {
				if len(e.Engine().Requests()) > 0 {
					return e.Name
				}
			}
			return ""
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				var tasks conc.WaitGroup
				tasks.Go(func() {
					_, err := sendChat(f, "e1", s.prompt)
					assert.Check(t, err)
				})
				f.StopAgent(s.working(f), time.Second)
				tasks.Wait()
			})
		})
	}
}

// TestStoppedAgentHandsWaitersOver guards against prompts that end at the shutdown timeout of the
// agent at which they wait, as if their callers had left.
func TestStoppedAgentHandsWaitersOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		send := func(prompt string) {
			tasks.Go(func() {
				chat, err := f.Caller("e1").Chat(context.Background(), "packet-reading", prompt, true)
				assert.Check(t, err)
				// A prompt that can't meet its target at the other endpoint is refused as such.
				assert.Check(t, chat.Problem == nil || chat.Problem.Code == fault.TargetUnreachable, "%+v", chat.Problem)
			})
		}
		for _, word := range []string{"a ", "b "} {
			send(strings.Repeat(word, 29_000))
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 4 {
			send(fmt.Sprint("packet ", i))
		}
		time.Sleep(100 * time.Millisecond)
		f.StopAgent("p1", 500*time.Millisecond)
		tasks.Wait()
	})
}

// TestStoppedAgentEndsInTime guards against an agent that waits for an action beyond its shutdown
// timeout, when it can neither answer nor record it any more.
func TestStoppedAgentEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowHalvorsen(t, 8*time.Second)
		defer f.Close()
		var tasks conc.WaitGroup
		tasks.Go(func() {
			result := renew(t, f, "e1", "7")
			assert.Check(t, result.Problem != nil && result.Problem.Outcome == fault.Unknown, "%+v", result)
		})
		time.Sleep(500 * time.Millisecond)
		for _, e := range f.Endpoints("renewal-desk") {
			if e.Agent().InFlight() == 0 {
				continue
			}
			began := time.Now()
			f.StopAgent(e.Name, time.Second)
			assert.Assert(t, time.Since(began) < 2*time.Second, "the agent took %s to stop", time.Since(began))
		}
		tasks.Wait()
		result := renew(t, f, "e1", "7")
		assert.Assert(t, result.Problem != nil && result.Problem.Outcome == fault.Unknown, "%+v", result)
		// The service executes the call though its caller has left.
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(actionRuns(f)), 1)
	})
}

// TestStoppedAgentRecordsActions guards against an action whose response reaches its agent just
// after the shutdown timeout, and whose outcome stays unknown.
func TestStoppedAgentRecordsActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowHalvorsen(t, 2*time.Second)
		defer f.Close()
		var tasks conc.WaitGroup
		tasks.Go(func() { renew(t, f, "e1", "7") })
		time.Sleep(800 * time.Millisecond)
		for _, e := range f.Endpoints("renewal-desk") {
			if e.Agent().InFlight() > 0 {
				f.StopAgent(e.Name, time.Second)
			}
		}
		tasks.Wait()
		result := renew(t, f, "e1", "7")
		assert.Equal(t, result.Status, http.StatusCreated, "%+v", result.Problem)
		assert.Assert(t, result.Replayed)
		assert.Equal(t, len(actionRuns(f)), 1)
	})
}

// TestStoppedAgentForgetsWaitingActions guards against actions that waited for a slot of an agent
// at its shutdown timeout, never ran, and can't be repeated as their records say that they may
// have.
func TestStoppedAgentForgetsWaitingActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 90
		f := newSlowHalvorsen(t, 8*time.Second)
		defer f.Close()
		var tasks conc.WaitGroup
		for i := range count {
			tasks.Go(func() { renew(t, f, "e1", strconv.Itoa(i)) })
		}
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, f.Endpoint("r2").Agent().InFlight() > 16, "no action waits")
		f.StopAgent("r2", 700*time.Millisecond)
		tasks.Wait()
		// Each round fits the 16 slots of the two other agents.
		for i := range count {
			if i%8 == 0 {
				tasks.Wait()
			}
			tasks.Go(func() { renew(t, f, "e1", strconv.Itoa(i)) })
		}
		tasks.Wait()
		runs := map[string]int{}
		for _, run := range actionRuns(f) {
			runs[run.Body]++
		}
		assert.Equal(t, len(runs), count, "actions that had waited did not run when they were repeated")
		for body, n := range runs {
			assert.Equal(t, n, 1, "%s", body)
		}
	})
}

// TestStoppedEntryAnswersCalls guards against responses at the shutdown timeout of an entry that
// claim that a call has not run, and against an action that runs again when it is repeated.
func TestStoppedEntryAnswersCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowHalvorsen(t, 5*time.Second)
		defer f.Close()
		var tasks conc.WaitGroup
		var action, lookup caller.CallResult
		tasks.Go(func() { action = renew(t, f, "e1", "7") })
		tasks.Go(func() {
			var err error
			lookup, err = f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/7/status", "", "")
			assert.Check(t, err, "the lookup has no response")
		})
		time.Sleep(time.Second)
		f.StopEntry("e1", shutdownAfter(0, time.Second))
		tasks.Wait()
		for name, result := range map[string]caller.CallResult{"action": action, "lookup": lookup} {
			assert.Assert(t, result.Problem != nil, "%s", name)
			assert.Equal(t, result.Status, http.StatusBadGateway, "%s: %s", name, result.Problem.Detail)
			assert.Equal(t, result.Problem.Outcome, fault.Unknown, "%s", name)
		}
		repeated := renew(t, f, "e2", "7")
		assert.Equal(t, repeated.Status, http.StatusCreated, "%+v", repeated.Problem)
		assert.Equal(t, len(actionRuns(f)), 1)
	})
}

// actionRuns returns the actions that endpoints have executed.
func actionRuns(f *Fleet) []fake.Run {
	var runs []fake.Run
	for _, e := range f.Endpoints("renewal-desk") {
		for _, run := range e.PlainService.Runs() {
			if run.Method == http.MethodPost {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// TestStoppedEntryAnswersChats guards against responses at the shutdown timeout of an entry that
// don't tell a prompt that waited from one that has run and from a stream that is cut.
func TestStoppedEntryAnswersChats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		results := map[string]*caller.ChatResult{}
		send := func(name, prompt string) {
			result := &caller.ChatResult{}
			results[name] = result
			tasks.Go(func() {
				var err error
				*result, err = f.Caller("e1").Chat(context.Background(), "packet-reading", prompt, true)
				assert.Check(t, err, "%s has no response", name)
			})
		}
		send("stream", "a packet length=400")
		awaitDecode(f)
		// Both prefill endpoints are busy for almost 3 s.
		send("prefill 1", strings.Repeat("a ", 29_000))
		send("prefill 2", strings.Repeat("b ", 29_000))
		time.Sleep(500 * time.Millisecond)
		send("waiting", "a packet")
		time.Sleep(500 * time.Millisecond)
		f.StopEntry("e1", shutdownAfter(0, 500*time.Millisecond))
		tasks.Wait()
		expected := map[string]fault.Problem{
			"stream":    {Status: http.StatusBadGateway, Code: fault.ResponseTruncated, Outcome: fault.Unknown},
			"prefill 1": {Status: http.StatusBadGateway, Code: fault.EndpointFailed, Outcome: fault.Unknown},
			"prefill 2": {Status: http.StatusBadGateway, Code: fault.EndpointFailed, Outcome: fault.Unknown},
			"waiting":   {Status: http.StatusServiceUnavailable, Code: fault.Draining, Outcome: fault.NotExecuted},
		}
		for name, want := range expected {
			got := results[name].Problem
			assert.Check(t, got != nil && !results[name].Complete, "%s: %+v", name, results[name])
			if got != nil {
				assert.Check(t, got.Status == want.Status && got.Code == want.Code && got.Outcome == want.Outcome, "%s: %+v", name, got)
			}
		}
		assert.Assert(t, results["waiting"].Problem.RetryAfterSeconds > 0)
	})
}

// TestStoppedEntryRefusesLateRequests guards against requests that a stopping entry passes on
// though it can't complete them before its shutdown timeout.
func TestStoppedEntryRefusesLateRequests(t *testing.T) {
	scenarios := []struct {
		testName string
		send     func(t *testing.T, f *Fleet) (status int, problem *fault.Problem)
		outcome  fault.Outcome
	}{
		{"an action", func(t *testing.T, f *Fleet) (int, *fault.Problem) {
			result := renew(t, f, "e1", "7")
			return result.Status, result.Problem
		}, fault.Unknown},
		{"a lookup", func(t *testing.T, f *Fleet) (int, *fault.Problem) {
			result, err := f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/7/status", "", "")
			assert.Check(t, err)
			return result.Status, result.Problem
		}, fault.NotExecuted},
		{"a stream", func(t *testing.T, f *Fleet) (int, *fault.Problem) {
			result, err := f.Caller("e1").Chat(context.Background(), "packet-reading", "a packet length=400", true)
			assert.Check(t, err)
			return result.Status, result.Problem
		}, fault.NotExecuted},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSlowHalvorsen(t, 5*time.Second)
				defer f.Close()
				var tasks conc.WaitGroup
				tasks.Go(func() { f.StopEntry("e1", shutdownAfter(3*time.Second, 100*time.Millisecond)) })
				time.Sleep(2 * time.Second)
				began := time.Now()
				status, problem := s.send(t, f)
				assert.Assert(t, problem != nil)
				assert.Equal(t, status, http.StatusServiceUnavailable, problem.Detail)
				assert.Equal(t, problem.Code, fault.Draining)
				assert.Equal(t, problem.Outcome, s.outcome)
				assert.Assert(t, problem.RetryAfterSeconds > 0)
				assert.Assert(t, time.Since(began) < flushSlack, "the refusal took %s", time.Since(began))
				tasks.Wait()
				assert.Equal(t, countRuns(f), 0, "a refused call has run")
			})
		})
	}
}
