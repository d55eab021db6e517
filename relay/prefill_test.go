package relay

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/retry"
)

// TestLapsedHandles lets prefill endpoints drop each prompt before a decode endpoint has
// fetched it, as when their handles lapse at once. Each prefill succeeds and is in vain, so
// the endpoints must be left soon, and prompts be prefilled where they are decoded.
func TestLapsedHandles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{handlesLapse: true}
		r := newTestRelay(t, backend)
		const requests = 20
		for range requests {
			_, refusal := send(t.Context(), r, "/read/x")
			_ = refusal
		}
		prefills := 0
		for _, sent := range backend.sent {
			if sent == "prefill at r1" || sent == "prefill at r2" {
				prefills++
			}
		}
		assert.Assert(t, prefills <= requests/2, "%d prompts were prefilled in vain", prefills)
		for _, m := range r.config.Pool.Members("model", pool.Prefill) {
			assert.Assert(t, m.Suspended, "%s still gets prompts", m.Name)
		}
	})
}

// TestNoPrefillBeyondRetries exhausts the retry limits: a prompt that one endpoint has rejected
// must not be sent to another one.
func TestNoPrefillBeyondRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{script: map[ident.EndpointName][]behaviour{"r1": {rejects}, "r2": {rejects}}}
		r := newTestRelay(t, backend)
		r.SetRetries(retry.Limits{Window: 10 * time.Second})
		_, refusal := send(t.Context(), r, "/read/x")
		assert.Equal(t, refusal.Outcome, fault.NotExecuted)
		assert.Equal(t, len(backend.sent), 1, "%v", backend.sent)
	})
}

// A stream breaks off, and the retry limits allow one more send of the two that its prefill and
// its decode at another engine take.
func TestNoPrefillWithoutDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{nextDecode: interruptsStream}
		r := newTestRelay(t, backend)
		r.SetRetries(retry.Limits{Slack: 1.25, Window: 10 * time.Second})
		_, refusal := send(t.Context(), r, "/resume/x")
		assert.Assert(t, refusal != nil)
		prefills := 0
		for _, sent := range backend.sent {
			if strings.HasPrefix(sent, "prefill") {
				prefills++
			}
		}
		assert.Equal(t, prefills, 1, "%v", backend.sent)
	})
}
