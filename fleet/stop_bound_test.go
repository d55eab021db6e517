package fleet

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/caller"
	"crocusstep/fault"
	"crocusstep/wire"
)

// readStatus sends a lookup.
func readStatus(t *testing.T, f *Fleet) caller.CallResult {
	t.Helper()
	result, err := f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/7/status", "", "")
	assert.Check(t, err, "the lookup has no response")
	return result
}

// read sends a chat with a limit of tokens; zero is none.
func read(t *testing.T, f *Fleet, prompt string, limit int) caller.ChatResult {
	t.Helper()
	result, err := f.Caller("e1").LimitedChat(context.Background(), "packet-reading", prompt, true, limit)
	assert.Check(t, err, "the chat has no response")
	return result
}

func assertDraining(t *testing.T, problem *fault.Problem) {
	t.Helper()
	assert.Assert(t, problem != nil)
	assert.Equal(t, problem.Code, fault.Draining, problem.Detail)
	assert.Equal(t, problem.Outcome, fault.NotExecuted)
	assert.Assert(t, problem.RetryAfterSeconds > 0)
}

// TestStoppedEntryServesWhatItCanComplete guards against a stopping entry that refuses what has
// certainly ended before it does, and one that takes what may last longer.
func TestStoppedEntryServesWhatItCanComplete(t *testing.T) {
	// What the documents state of patience, attempts, targets and limits.
	const (
		limit     = 40
		longest   = 3*30*time.Second + limit*76*time.Millisecond + wire.StreamIdleTimeout
		callsLast = 10 * time.Second
		stopTime  = 2 * longest
		margin    = 200 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		ends := time.Now().Add(stopTime)
		tasks.Go(func() { f.StopEntry("e1", shutdownAfter(stopTime, 0)) })
		sleepUntil := func(left time.Duration) { time.Sleep(time.Until(ends.Add(-left))) }

		sleepUntil(longest + margin)
		chat := read(t, f, "a packet length=400", limit)
		assert.Assert(t, chat.Complete && chat.Tokens == limit, "%+v", chat)
		sleepUntil(longest - margin)
		assertDraining(t, read(t, f, "a packet length=4", limit).Problem)

		sleepUntil(callsLast + margin)
		assert.Assert(t, readStatus(t, f).Problem == nil)
		assert.Assert(t, renew(t, f, "e1", "7").Problem == nil)
		sleepUntil(callsLast - margin)
		assertDraining(t, readStatus(t, f).Problem)
		tasks.Wait()
	})
}

// TestStoppedEntryGoesByBounds guards against requests that a stopping entry takes as others of
// their service were short, and cuts.
func TestStoppedEntryGoesByBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		for range 5 {
			assert.Assert(t, read(t, f, "a packet length=40", 0).Complete)
			assert.Assert(t, readStatus(t, f).Problem == nil)
		}
		for _, name := range plainNames {
			f.Network.Silence(EngineHost(name), true)
		}
		var tasks conc.WaitGroup
		tasks.Go(func() { f.StopEntry("e1", shutdownAfter(2*time.Second, 2*time.Second)) })
		time.Sleep(time.Second)
		tasks.Go(func() { assertDraining(t, read(t, f, "a packet length=400", 0).Problem) })
		tasks.Go(func() { assertDraining(t, readStatus(t, f).Problem) })
		tasks.Wait()
	})
}

// TestSlowPaceInStop guards against a stopping entry that goes by the stated pace of a service whose
// engines are slower.
func TestSlowPaceInStop(t *testing.T) {
	const (
		limit    = 400
		slowdown = 8
		// longest is the longest time at the stated pace.
		longest = 3*30*time.Second + limit*76*time.Millisecond + wire.StreamIdleTimeout
	)
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		for _, e := range f.Endpoints("reading-decode") {
			e.Engine().SlowDown(slowdown)
		}
		assert.Assert(t, read(t, f, "a packet length=40", 0).Complete)
		var tasks conc.WaitGroup
		tasks.Go(func() { f.StopEntry("e1", shutdownAfter(time.Second, longest)) })
		time.Sleep(500 * time.Millisecond)
		assertDraining(t, read(t, f, "a packet length=400", limit).Problem)
		tasks.Wait()
	})
}

// TestStoppedAgentRefusesWaitingCalls guards against calls that are refused as if their callers had
// left, as they waited at the agents when these stopped.
func TestStoppedAgentRefusesWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 90
		f := newSlowHalvorsen(t, 8*time.Second)
		defer f.Close()
		var tasks conc.WaitGroup
		check := func(kind string, result caller.CallResult) {
			if problem := result.Problem; problem != nil {
				assert.Check(t, problem.Code != fault.Cancelled, "%s: %+v", kind, problem)
				assert.Check(t, problem.Code != fault.Draining || problem.RetryAfterSeconds > 0, "%s: %+v", kind, problem)
			}
		}
		for i := range count {
			tasks.Go(func() { check("an action", renew(t, f, "e1", strconv.Itoa(i))) })
			tasks.Go(func() {
				result, err := f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/"+strconv.Itoa(i)+"/status", "", "")
				assert.Check(t, err)
				check("a lookup", result)
			})
		}
		time.Sleep(500 * time.Millisecond)
		for _, name := range plainNames {
			tasks.Go(func() { f.StopAgent(name, 700*time.Millisecond) })
		}
		tasks.Wait()
	})
}

// TestStoppedAgentStartsNothingLate guards against actions that wait at an agent which stops, and
// start so late that their outcome stays unknown.
func TestStoppedAgentStartsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowHalvorsen(t, 1500*time.Millisecond)
		defer f.Close()
		var tasks conc.WaitGroup
		for i := range 90 {
			tasks.Go(func() {
				result := renew(t, f, "e1", strconv.Itoa(i))
				assert.Check(t, result.Problem == nil || result.Problem.Outcome == fault.NotExecuted, "%+v", result.Problem)
			})
		}
		time.Sleep(500 * time.Millisecond)
		f.StopAgent("r2", 1500*time.Millisecond)
		tasks.Wait()
	})
}

// TestStoppedEntryAnswersSlowBodies guards against connections that close without a response, as the
// body of their request was not complete when the entry ended.
func TestStoppedEntryAnswersSlowBodies(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/services/renewal-desk/renewals"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				var tasks conc.WaitGroup
				tasks.Go(func() {
					body := &slowReader{text: strings.NewReader(`{"permit":`), wait: 5 * time.Second}
					response, problem := sendRaw(t, f, http.MethodPost, path, nil, body)
					assert.Check(t, response.StatusCode == http.StatusServiceUnavailable && problem.Code == fault.Draining, "%+v", problem)
				})
				time.Sleep(100 * time.Millisecond)
				f.StopEntry("e1", shutdownAfter(0, time.Second))
				tasks.Wait()
			})
		})
	}
}

// TestStoppedEntrySendsNothingLate guards against chats that came before the signal, wait for an
// endpoint during the stop, and are sent so late that the stop cuts them.
func TestStoppedEntrySendsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		// Both prefill endpoints are busy for almost 3 s.
		for _, word := range []string{"a ", "b "} {
			tasks.Go(func() { read(t, f, strings.Repeat(word, 29_000), 0) })
			time.Sleep(100 * time.Millisecond)
		}
		tasks.Go(func() { assertDraining(t, read(t, f, "a packet length=400", 0).Problem) })
		time.Sleep(100 * time.Millisecond)
		f.StopEntry("e1", shutdownAfter(0, 6*time.Second))
		tasks.Wait()
	})
}

// TestStoppedEntryRepeatsNothingLate guards against lookups that came before the signal, found an
// agent that is gone, and are sent to another one so late that the stop cuts them.
func TestStoppedEntryRepeatsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowHalvorsen(t, 3*time.Second)
		defer f.Close()
		for _, name := range plainNames {
			// A dial takes 1 s to fail.
			f.Network.Partition("e1", AgentHost(name))
		}
		var tasks conc.WaitGroup
		tasks.Go(func() {
			assertDraining(t, readStatus(t, f).Problem)
			assert.Equal(t, countRuns(f), 0)
		})
		time.Sleep(100 * time.Millisecond)
		tasks.Go(func() { f.StopEntry("e1", shutdownAfter(0, 2500*time.Millisecond)) })
		for _, name := range plainNames {
			f.Network.Heal("e1", AgentHost(name))
		}
		tasks.Wait()
	})
}
