package relay

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/pool"
)

// pausingEndpoints is a fakeBackend of which some endpoints reject the first request of each
// relay and ask for a pause.
type pausingEndpoints struct {
	*fakeBackend
	state *EndpointState
	// pauses holds the pauses that endpoints still ask for.
	pauses map[ident.EndpointName]time.Duration
	// allowedAt is the end of the pause that an endpoint has asked for.
	allowedAt map[ident.EndpointName]time.Time
	// early counts the requests before that, returns holds the times of the first after it.
	early   int
	returns map[ident.EndpointName]time.Time
}

func (b *pausingEndpoints) Call(ctx context.Context, e pool.Endpoint, r *Request, timeLeft time.Duration) (*Response, error) {
	b.mutex.Lock()
	pause := b.pauses[e.Name]
	delete(b.pauses, e.Name)
	now := time.Now()
	if until, paused := b.allowedAt[e.Name]; paused {
		if now.Before(until) {
			b.early++
		} else if _, returned := b.returns[e.Name]; !returned {
			b.returns[e.Name] = now
		}
	}
	if pause > 0 {
		b.allowedAt[e.Name] = now.Add(pause)
	}
	b.mutex.Unlock()
	if pause > 0 {
		b.state.Pause(e, pause, "")
		response, err := b.act(ctx, rejects, "")
		response.Paused = true
		return response, err
	}
	time.Sleep(40 * time.Millisecond)
	return b.fakeBackend.Call(ctx, e, r, timeLeft)
}

// TestPausesInBurst plays a burst in which a quarter of a service's endpoints ask for pauses
// of the same length: no caller waits for them, nothing is sent to them before, and they are not all used again in the same instant.
func TestPausesInBurst(t *testing.T) {
	const endpoints, pausing = 80, 20
	for _, pause := range []time.Duration{time.Second, 5 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &pausingEndpoints{
					fakeBackend: &fakeBackend{}, pauses: map[ident.EndpointName]time.Duration{}, allowedAt: map[ident.EndpointName]time.Time{}, returns: map[ident.EndpointName]time.Time{},
				}
				r := newTestRelay(t, backend.fakeBackend)
				backend.state = NewEndpointState(r.Common, r.config.Pool)
				r.config.Endpoints = backend
				var list []pool.Endpoint
				for i := range endpoints {
					name := ident.EndpointName(fmt.Sprintf("e%d", i))
					list = append(list, pool.Endpoint{Name: name, Service: "plain", Address: ident.Address(name + ":1"), Slots: 6})
					if i < pausing {
						backend.pauses[name] = pause
					}
				}
				r.config.Pool.ApplySnapshot(list, 2, false)
				random := rand.New(rand.NewPCG(1, 1))
				var wait sync.WaitGroup
				var mutex sync.Mutex
				failed, slowest := 0, time.Duration(0)
				for began := time.Now(); time.Since(began) < pause+time.Second; {
					wait.Go(func() {
						began := time.Now()
						w, refusal := send(t.Context(), r, "/action/x")
						mutex.Lock()
						defer mutex.Unlock()
						if refusal != nil || w.Code != http.StatusOK {
							failed++
						}
						slowest = max(slowest, time.Since(began))
					})
					time.Sleep(time.Duration(random.IntN(1200)) * time.Microsecond)
				}
				wait.Wait()
				assert.Equal(t, backend.early, 0)
				// Each of the endpoints rejects one request, so at most one request can meet so
				// many rejections that it may not be sent once more.
				assert.Assert(t, failed <= pausing/maxSends, "%d requests were not served", failed)
				assert.Assert(t, slowest <= 100*time.Millisecond, "a caller waited %s", slowest)
				assert.Equal(t, len(backend.returns), pausing, "endpoints used again")
				times := slices.SortedFunc(maps.Values(backend.returns), time.Time.Compare)
				spread := times[len(times)-1].Sub(times[0])
				assert.Assert(t, spread >= maxPauseJitter/4, "all endpoints were used again within %s", spread)
			})
		})
	}
}

// TestAllPausedIsRefusedAtOnce guards against waits for a service whose endpoints all pause.
func TestAllPausedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &fakeBackend{})
		state := NewEndpointState(r.Common, r.config.Pool)
		endpoints, _ := r.config.Pool.Snapshot()
		for _, e := range endpoints {
			state.Pause(e, 4*time.Second, "")
		}
		for _, path := range []string{"/action/x", "/lookup/x", "/read/x", "/resume/x"} {
			began := time.Now()
			_, refusal := send(t.Context(), r, path)
			assert.Equal(t, refusal.Status(), http.StatusServiceUnavailable)
			assert.Assert(t, refusal.RetryAfter >= 4*time.Second && refusal.RetryAfter <= 4*time.Second+2*maxPauseJitter, "%s: %s", path, refusal.RetryAfter)
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
	})
}

var _ Endpoints = (*pausingEndpoints)(nil)
