package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/client"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/retry"
)

// lostPrefill is a fakeBackend that loses the response to the first prefill.
type lostPrefill struct {
	*fakeBackend
	lost bool
}

func (b *lostPrefill) Prefill(ctx context.Context, e pool.Endpoint, r *Request, left time.Duration) (*CachedPrompt, *Response, error) {
	if !b.lost {
		b.lost = true
		b.sent = append(b.sent, "prefill at "+string(e.Name))
		return nil, nil, client.ErrResponseLost
	}
	return b.fakeBackend.Prefill(ctx, e, r, left)
}

// chargedRetries returns how many of a number of retries the limits have counted.
func chargedRetries(r *Relay, limit int) int {
	left := 0
	for r.retryLimiter("model").TryAcquire(time.Now(), 1) {
		left++
	}
	return limit - left
}

// retryLimitsOf allows a number of retries; the limiter uses four fifths of what it is given.
func retryLimitsOf(count int) retry.Limits {
	return retry.Limits{Slack: float64(count) / 0.8, Window: time.Minute}
}

// TestRepeatedPrefillIsOneRetry guards against requests whose first prefill endpoint was silent and that
// use up the retries which silent streams need to move: neither the first prefill nor the first decode
// counts.
func TestRepeatedPrefillIsOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{}
		r := newTestRelay(t, b)
		r.config.Endpoints = &lostPrefill{fakeBackend: b}
		r.SetRetries(retryLimitsOf(1))
		w, refusal := send(t.Context(), r, "/read/x")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, w.Body.String(), wholeStream)
		assert.Equal(t, len(b.sent), 3, "%v", b.sent)
		assert.Assert(t, strings.HasPrefix(b.sent[1], "prefill"), "%v", b.sent)
		assert.Equal(t, chargedRetries(r, 1), 1)
	})
}

// TestRetriesAreCounted guards against sends beyond the first that the retry limits do not count, however
// endpoints treat a request. Only the first accepted prefill does not count as a send; whether an
// endpoint has accepted one whose response was lost cannot be known.
func TestRetriesAreCounted(t *testing.T) {
	const limit = 100
	prefills := []behaviour{responds, responds, rejects, refuses, losesResponse}
	decodes := []behaviour{responds, rejects, refuses, losesResponse, interruptsStream, stalls, hangs}
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 53))
				b := &fakeBackend{script: map[ident.EndpointName][]behaviour{}}
				for range 3 {
					for _, name := range []ident.EndpointName{"r1", "r2"} {
						b.script[name] = append(b.script[name], prefills[random.IntN(len(prefills))])
					}
					for _, name := range []ident.EndpointName{"d1", "d2"} {
						b.script[name] = append(b.script[name], decodes[random.IntN(len(decodes))])
					}
				}
				r := newImpatientRelay(t, b)
				r.SetRetries(retryLimitsOf(limit))
				_, _ = send(t.Context(), r, []string{"/read/x", "/resume/x"}[random.IntN(2)])
				free := 0
				for _, sent := range b.sent {
					if strings.HasPrefix(sent, "prefill") {
						free = 1
					}
				}
				extra := len(b.sent) - free - 1
				charged := chargedRetries(r, limit)
				assert.Assert(t, charged >= extra, "%v: charged %d", b.sent, charged)
			})
		})
	}
}
