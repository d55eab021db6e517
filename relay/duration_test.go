package relay

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
)

// TestDurationsOfKinds guards against requests that a stopping relay refuses although they are short, as
// other kinds of requests to their service take long.
func TestDurationsOfKinds(t *testing.T) {
	scenarios := []struct {
		testName string
		// earlier is the path of a request that takes 4 s or more before the stop.
		earlier  string
		path     string
		noPrompt bool
		timeout  time.Duration
		left     time.Duration
		refused  bool
	}{
		{"a call beside plain streams", "/plain-stream/x", "/action/x", false, 3 * time.Second, 1500 * time.Millisecond, false},
		{"a plain stream beside plain streams", "/plain-stream/x", "/plain-stream/x", false, 6 * time.Second, 3 * time.Second, true},
		{"a request without a prompt beside streams with one", "/read/x", "/read/x", true, 3 * time.Second, 1500 * time.Millisecond, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{laterDecodes: slowEvents}
				r := newTestRelay(t, backend)
				began := time.Now()
				_, refusal := send(t.Context(), r, s.earlier)
				assert.Assert(t, refusal == nil)
				assert.Assert(t, time.Since(began) > 4*time.Second)
				backend.laterDecodes = ""
				r.Drain(time.Now().Add(s.left))
				request := newTestRequest(s.path, s.timeout)
				if s.noPrompt {
					request.Prompt = nil
				}
				refusal = r.Serve(t.Context(), request, httptest.NewRecorder())
				r.Wait()
				assert.Equal(t, refusal != nil && refusal.Code == fault.Draining, s.refused, "%v", refusal)
			})
		})
	}
}
