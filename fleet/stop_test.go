package fleet

import (
	"context"
	"net/http"
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

// TestStoppedEntryServesWhatItCanComplete guards against requests that a stopping entry refuses
// though others of their service have taken less time than is left.
func TestStoppedEntryServesWhatItCanComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		lookup := func() {
			result, err := f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/7/status", "", "")
			assert.Check(t, err)
			assert.Check(t, result.Problem == nil, "%+v", result.Problem)
		}
		stream := func() {
			_, err := sendChat(f, "e1", "a packet length=40")
			assert.Check(t, err)
		}
		for range 5 {
			lookup()
			stream()
		}
		var tasks conc.WaitGroup
		tasks.Go(func() { f.StopEntry("e1", shutdownAfter(2*time.Second, 500*time.Millisecond)) })
		time.Sleep(time.Second)
		lookup()
		stream()
		tasks.Wait()
	})
}
