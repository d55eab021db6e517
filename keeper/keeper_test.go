package keeper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/admit"
	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/memory"
	"crocusstep/meter"
	"crocusstep/pool"
)

// fakeEngine reports the requests that a test gives it and records stage changes.
type fakeEngine struct {
	mutex   sync.Mutex
	report  EngineReport
	err     error
	changes []StageRequest
	// orderCounts holds the order count that each change was based on.
	orderCounts []int64
}

func (e *fakeEngine) Report(context.Context) (EngineReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.report, e.err
}

func (e *fakeEngine) ChangeStage(_ context.Context, change StageRequest, current EngineReport) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.changes = append(e.changes, change)
	e.orderCounts = append(e.orderCounts, current.Orders)
	return e.err
}

func (e *fakeEngine) set(change func(*EngineReport)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.report)
}

// start has the engine run a request with a reservation.
func (e *fakeEngine) start(request ReserveRequest) {
	e.set(func(r *EngineReport) {
		r.Requests = append(r.Requests, RunningRequest{Attempt: request.Attempt, Held: request.Prompt})
	})
}

func (e *fakeEngine) finish(attempt ident.AttemptID) {
	e.set(func(r *EngineReport) {
		var kept []RunningRequest
		for _, run := range r.Requests {
			if run.Attempt != attempt {
				kept = append(kept, run)
			}
		}
		r.Requests = kept
	})
}

func newTestKeeper(t testing.TB, e *fakeEngine) *Keeper {
	t.Helper()
	m, err := meter.NewMeter()
	assert.NilError(t, err)
	return NewKeeper(common.NewCommon(slog.New(slog.NewTextHandler(io.Discard, nil)), m), e)
}

func newRequest(name string, urgency admit.Timing, wait time.Duration) ReserveRequest {
	return ReserveRequest{Attempt: ident.AttemptID(name), Prompt: 4000, Output: memory.LengthEstimate{Median: 1000, Spread: 0.5, Limit: 1500}, Slots: 64, MaxWait: wait, Urgency: urgency}
}

// sameUrgency is used where requests do not differ by urgency.
const sameUrgency = 1

func TestKeeper(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, k *Keeper, e *fakeEngine)
	}{
		{
			testName: "reservations are granted while the expected peak fits into memory",
			run: func(t *testing.T, k *Keeper, _ *fakeEngine) {
				granted := 0
				for k.Reserve(t.Context(), newRequest(fmt.Sprint(granted), 0, 0)).Granted {
					granted++
				}
				assert.Equal(t, granted, 3)
			},
		},
		{
			testName: "a request that cannot wait is rejected immediately",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				start := time.Now()
				response := k.Reserve(t.Context(), newRequest("x", 0, 0))
				assert.Assert(t, !response.Granted && response.ExpectedWait > 0)
				assert.Equal(t, time.Since(start), time.Duration(0))
			},
		},
		{
			testName: "a request with too long an expected wait is rejected immediately, not after its wait",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				start := time.Now()
				assert.Assert(t, !k.Reserve(t.Context(), newRequest("x", 0, 100*time.Millisecond)).Granted)
				assert.Equal(t, time.Since(start), time.Duration(0))
			},
		},
		{
			testName: "a request that may be served in time waits, as outputs end sooner than expected",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				expected := k.Reserve(t.Context(), newRequest("x", 0, 0)).ExpectedWait
				time.AfterFunc(expected/2, func() { e.finish("0") })
				assert.Assert(t, k.Reserve(t.Context(), newRequest("y", 0, expected*2/3)).Granted)
			},
		},
		{
			testName: "a request that ends frees memory for a waiting one",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				time.AfterFunc(500*time.Millisecond, func() { e.finish("0") })
				start := time.Now()
				assert.Assert(t, k.Reserve(t.Context(), newRequest("x", 0, 5*time.Second)).Granted)
				assert.Assert(t, time.Since(start) < 500*time.Millisecond+2*pollInterval)
			},
		},
		{
			testName: "in a burst, requests within their target go before late ones",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				late, onTime := make(chan bool, 1), make(chan bool, 1)
				go func() { late <- k.Reserve(t.Context(), newRequest("late", 3, 3*time.Second)).Granted }()
				synctest.Wait()
				go func() { onTime <- k.Reserve(t.Context(), newRequest("on time", 1, 3*time.Second)).Granted }()
				synctest.Wait()
				e.finish("0")
				assert.Assert(t, <-onTime)
				e.start(newRequest("on time", 1, 0))
				assert.Assert(t, !<-late)
			},
		},
		{
			testName: "in a burst, a long prompt is not overtaken by shorter ones",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				order := make(chan string, 2)
				reserve := func(name string, prompt ident.TokenCount) {
					request := newRequest(name, sameUrgency, 3*time.Second)
					request.Prompt = prompt
					go func() {
						if k.Reserve(t.Context(), request).Granted {
							order <- name
						}
					}()
					synctest.Wait()
				}
				reserve("long", 9000)
				reserve("shorter", 8000)
				e.finish("0")
				e.finish("1")
				assert.Equal(t, <-order, "long")
				e.finish("2")
				k.Release(ReleaseRequest{Attempt: "long"})
				assert.Equal(t, <-order, "shorter")
			},
		},
		{
			testName: "a reservation whose request never starts expires",
			run: func(t *testing.T, k *Keeper, _ *fakeEngine) {
				for i := range 3 {
					assert.Assert(t, k.Reserve(t.Context(), newRequest(fmt.Sprint(i), 0, 0)).Granted)
				}
				time.Sleep(reservationTTL + reportTTL)
				assert.Assert(t, k.Reserve(t.Context(), newRequest("x", 0, 0)).Granted)
			},
		},
		{
			testName: "released memory is available immediately",
			run: func(t *testing.T, k *Keeper, _ *fakeEngine) {
				for i := range 3 {
					assert.Assert(t, k.Reserve(t.Context(), newRequest(fmt.Sprint(i), 0, 0)).Granted)
				}
				k.Release(ReleaseRequest{Attempt: "1"})
				assert.Assert(t, k.Reserve(t.Context(), newRequest("x", 0, 0)).Granted)
			},
		},
		{
			testName: "the release of an earlier reservation leaves a later one of its attempt",
			run: func(t *testing.T, k *Keeper, _ *fakeEngine) {
				earlier := k.Reserve(t.Context(), newRequest("1", 0, 0)).Grant
				k.Release(ReleaseRequest{Attempt: "1", Grant: earlier})
				for i := range 3 {
					assert.Assert(t, k.Reserve(t.Context(), newRequest(fmt.Sprint(i), 0, 0)).Granted)
				}
				k.Release(ReleaseRequest{Attempt: "1", Grant: earlier})
				assert.Assert(t, !k.Reserve(t.Context(), newRequest("x", 0, 0)).Granted)
			},
		},
		{
			testName: "a reservation whose request has started cannot be released",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				k.Release(ReleaseRequest{Attempt: "1"})
				assert.Assert(t, !k.Reserve(t.Context(), newRequest("x", 0, 0)).Granted)
			},
		},
		{
			testName: "a client that disconnects while it waits gets no reservation",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				assert.Assert(t, !k.Reserve(ctx, newRequest("disconnected", 0, 5*time.Second)).Granted)
				e.finish("0")
				time.Sleep(reportTTL)
				assert.Assert(t, k.Reserve(t.Context(), newRequest("x", 0, 0)).Granted)
			},
		},
		{
			testName: "a restarted engine holds no requests",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				fill(t, k, e)
				e.set(func(r *EngineReport) { r.StartMillis, r.Requests = 2, nil })
				time.Sleep(reportTTL)
				assert.Assert(t, k.Reserve(t.Context(), newRequest("x", 0, 0)).Granted)
			},
		},
		{
			testName: "an engine that does not report is sent no requests",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				e.err = errors.New("connection refused")
				assert.Assert(t, k.Reserve(t.Context(), newRequest("x", 0, 0)).Down)
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Tokens: 1}).Down)
			},
		},
		{
			testName: "an engine that changes its stage is sent no requests",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				e.set(func(r *EngineReport) { r.ChangingStage = true })
				assert.Assert(t, k.Reserve(t.Context(), newRequest("x", 0, 0)).Down)
			},
		},
		{
			testName: "requests without a reservation count with the memory they hold",
			run: func(t *testing.T, k *Keeper, e *fakeEngine) {
				e.set(func(r *EngineReport) { r.Requests = []RunningRequest{{Attempt: "other", Held: 18000}} })
				assert.Assert(t, !k.Reserve(t.Context(), newRequest("x", 0, 0)).Granted)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{report: EngineReport{Capacity: 20000, Stage: pool.Decode, StartMillis: 1}}
				k := newTestKeeper(t, e)
				ctx, cancel := context.WithCancel(t.Context())
				go k.Run(ctx)
				s.run(t, k, e)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// fill has the engine run as many requests as fit into its memory.
func fill(t *testing.T, k *Keeper, e *fakeEngine) {
	t.Helper()
	for i := range 3 {
		request := newRequest(fmt.Sprint(i), 0, 0)
		assert.Assert(t, k.Reserve(t.Context(), request).Granted)
		e.start(request)
	}
	time.Sleep(reportTTL)
}
