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

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/memory"
	"crocusstep/meter"
	"crocusstep/pool"
)

// engine stands in for the engine beside a keeper: it holds the runs that it was
// given and makes one token of each every step.
type engine struct {
	mutex  sync.Mutex
	report EngineReport
	err    error
	orders []StageRequest
	// follows holds the count of orders that each order followed.
	follows []int64
}

func (e *engine) Report(context.Context) (EngineReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.report, e.err
}

func (e *engine) ChangeStage(_ context.Context, order StageRequest, follows EngineReport) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders = append(e.orders, order)
	e.follows = append(e.follows, follows.Orders)
	return e.err
}

func (e *engine) set(change func(*EngineReport)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.report)
}

// begin has the engine run a request that was granted a place.
func (e *engine) begin(ask ReserveRequest) {
	e.set(func(r *EngineReport) {
		r.Requests = append(r.Requests, RunningRequest{Attempt: ask.Attempt, Held: ask.Prompt})
	})
}

func (e *engine) finish(attempt ident.AttemptID) {
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

func newTestKeeper(t testing.TB, e *engine) *Keeper {
	t.Helper()
	m, err := meter.NewMeter()
	assert.NilError(t, err)
	return NewKeeper(common.NewCommon(slog.New(slog.NewTextHandler(io.Discard, nil)), m), e)
}

func askOf(name string, urgency int, wait time.Duration) ReserveRequest {
	return ReserveRequest{Attempt: ident.AttemptID(name), Prompt: 4000, Output: memory.LengthEstimate{Median: 1000, Spread: 0.5, Limit: 1500}, Slots: 64, MaxWait: wait, Urgency: urgency}
}

// inOrder is one urgency of all.
const inOrder = 1

func TestKeeper(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, k *Keeper, e *engine)
	}{
		{
			testName: "places are granted while the memory ahead suffices",
			run: func(t *testing.T, k *Keeper, _ *engine) {
				granted := 0
				for k.Reserve(t.Context(), askOf(fmt.Sprint(granted), 0, 0)).Granted {
					granted++
				}
				assert.Equal(t, granted, 3)
			},
		},
		{
			testName: "who cannot wait is refused at once",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				began := time.Now()
				answer := k.Reserve(t.Context(), askOf("x", 0, 0))
				assert.Assert(t, !answer.Granted && answer.ExpectedWait > 0)
				assert.Equal(t, time.Since(began), time.Duration(0))
			},
		},
		{
			testName: "who cannot be served in time is refused at once, not at the end of the wait",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				began := time.Now()
				assert.Assert(t, !k.Reserve(t.Context(), askOf("x", 0, 100*time.Millisecond)).Granted)
				assert.Equal(t, time.Since(began), time.Duration(0))
			},
		},
		{
			testName: "who may be served in time waits, as answers end sooner than expected",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				expected := k.Reserve(t.Context(), askOf("x", 0, 0)).ExpectedWait
				time.AfterFunc(expected/2, func() { e.finish("0") })
				assert.Assert(t, k.Reserve(t.Context(), askOf("y", 0, expected*2/3)).Granted)
			},
		},
		{
			testName: "a run that ends makes room for who waits",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				time.AfterFunc(500*time.Millisecond, func() { e.finish("0") })
				began := time.Now()
				assert.Assert(t, k.Reserve(t.Context(), askOf("x", 0, 5*time.Second)).Granted)
				assert.Assert(t, time.Since(began) < 500*time.Millisecond+2*pollInterval)
			},
		},
		{
			testName: "in a burst those in time go before those who are late",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				late, inTime := make(chan bool, 1), make(chan bool, 1)
				go func() { late <- k.Reserve(t.Context(), askOf("late", 3, 3*time.Second)).Granted }()
				synctest.Wait()
				go func() { inTime <- k.Reserve(t.Context(), askOf("in time", 1, 3*time.Second)).Granted }()
				synctest.Wait()
				e.finish("0")
				assert.Assert(t, <-inTime)
				e.begin(askOf("in time", 1, 0))
				assert.Assert(t, !<-late)
			},
		},
		{
			testName: "in a burst a long prompt keeps its turn before shorter ones",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				order := make(chan string, 2)
				ask := func(name string, prompt ident.TokenCount) {
					a := askOf(name, inOrder, 3*time.Second)
					a.Prompt = prompt
					go func() {
						if k.Reserve(t.Context(), a).Granted {
							order <- name
						}
					}()
					synctest.Wait()
				}
				ask("long", 9000)
				ask("shorter", 8000)
				e.finish("0")
				e.finish("1")
				assert.Equal(t, <-order, "long")
				e.finish("2")
				k.Release("long")
				assert.Equal(t, <-order, "shorter")
			},
		},
		{
			testName: "a place whose run never begins is taken back",
			run: func(t *testing.T, k *Keeper, _ *engine) {
				for i := range 3 {
					assert.Assert(t, k.Reserve(t.Context(), askOf(fmt.Sprint(i), 0, 0)).Granted)
				}
				time.Sleep(startLimit + reportLife)
				assert.Assert(t, k.Reserve(t.Context(), askOf("x", 0, 0)).Granted)
			},
		},
		{
			testName: "a place that is given back is free at once",
			run: func(t *testing.T, k *Keeper, _ *engine) {
				for i := range 3 {
					assert.Assert(t, k.Reserve(t.Context(), askOf(fmt.Sprint(i), 0, 0)).Granted)
				}
				k.Release("1")
				assert.Assert(t, k.Reserve(t.Context(), askOf("x", 0, 0)).Granted)
			},
		},
		{
			testName: "a place whose run has begun is not given back",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				k.Release("1")
				assert.Assert(t, !k.Reserve(t.Context(), askOf("x", 0, 0)).Granted)
			},
		},
		{
			testName: "an asker that leaves while it waits takes no place",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				assert.Assert(t, !k.Reserve(ctx, askOf("gone", 0, 5*time.Second)).Granted)
				e.finish("0")
				assert.Assert(t, k.Reserve(t.Context(), askOf("x", 0, 0)).Granted)
			},
		},
		{
			testName: "an engine that restarts has no runs",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				e.set(func(r *EngineReport) { r.StartMillis, r.Requests = 2, nil })
				time.Sleep(reportLife)
				assert.Assert(t, k.Reserve(t.Context(), askOf("x", 0, 0)).Granted)
			},
		},
		{
			testName: "an engine that does not report gets nothing",
			run: func(t *testing.T, k *Keeper, e *engine) {
				e.err = errors.New("connection refused")
				assert.Assert(t, k.Reserve(t.Context(), askOf("x", 0, 0)).Down)
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Tokens: 1}).Down)
			},
		},
		{
			testName: "an engine that changes its stage gets nothing",
			run: func(t *testing.T, k *Keeper, e *engine) {
				e.set(func(r *EngineReport) { r.ChangingStage = true })
				assert.Assert(t, k.Reserve(t.Context(), askOf("x", 0, 0)).Down)
			},
		},
		{
			testName: "runs of others count with their memory",
			run: func(t *testing.T, k *Keeper, e *engine) {
				e.set(func(r *EngineReport) { r.Requests = []RunningRequest{{Attempt: "other", Held: 18000}} })
				assert.Assert(t, !k.Reserve(t.Context(), askOf("x", 0, 0)).Granted)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{report: EngineReport{Capacity: 20000, Stage: pool.Decode, StartMillis: 1}}
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

// fill has the engine run as many requests as there is room for.
func fill(t *testing.T, k *Keeper, e *engine) {
	t.Helper()
	for i := range 3 {
		ask := askOf(fmt.Sprint(i), 0, 0)
		assert.Assert(t, k.Reserve(t.Context(), ask).Granted)
		e.begin(ask)
	}
	time.Sleep(reportLife)
}

func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{report: EngineReport{Stage: pool.Prefill, StartMillis: 1, Waiting: 1}}
		k := newTestKeeper(t, e)
		turn := PrefillRequest{Tokens: 5000, MaxWait: 250 * time.Millisecond}
		granted := 0
		for k.SchedulePrefill(t.Context(), turn).Granted {
			granted++
		}
		assert.Equal(t, granted, 3, "three readings of 101 ms: the next would wait longer than 250 ms")
		time.Sleep(pool.PrefillTime(5000))
		assert.Assert(t, k.SchedulePrefill(t.Context(), turn).Granted, "turns come free as time passes")
		e.set(func(r *EngineReport) { r.Waiting = 0 })
		time.Sleep(turnSettles + time.Millisecond)
		assert.Equal(t, k.SchedulePrefill(t.Context(), turn).Backlog, time.Duration(0), "an engine that is seen idle has nothing ahead")
	})
}

// TestTurnsOfASlowEngine has readings take twice the usual time: fewer turns are
// granted, and the relays hear of it.
func TestTurnsOfASlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKeeper(t, &engine{report: EngineReport{Stage: pool.Prefill, StartMillis: 1}})
		slow := PrefillTiming{Tokens: 5000, Duration: 2 * pool.PrefillTime(5000)}
		var answer PrefillResponse
		for range 50 {
			answer = k.SchedulePrefill(t.Context(), PrefillRequest{Tokens: 100, MaxWait: time.Second, LastTiming: slow})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, answer.Slowdown > 1.9 && answer.Slowdown < 2.1, "%f", answer.Slowdown)
		time.Sleep(time.Second)
		granted := 0
		for k.SchedulePrefill(t.Context(), PrefillRequest{Tokens: 5000, MaxWait: 250 * time.Millisecond}).Granted {
			granted++
		}
		assert.Equal(t, granted, 2, "two readings of 202 ms: the next would wait longer than 250 ms")
	})
}

// TestOwnTurns is a burst in which the prefill endpoints cannot keep up: an engine
// that makes answers reads as much itself as its other callers do not notice.
func TestOwnTurns(t *testing.T) {
	const stall = 200 * time.Millisecond
	scenarios := []struct {
		testName string
		run      func(t *testing.T, k *Keeper, e *engine)
	}{
		{
			testName: "an engine without runs reads anything",
			run: func(t *testing.T, k *Keeper, _ *engine) {
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 11000, MaxStall: stall}).Granted)
			},
		},
		{
			testName: "beside others no prompt that makes them stand still for too long",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				assert.Assert(t, !k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 6000, MaxStall: stall}).Granted)
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 4000, MaxStall: stall}).Granted)
			},
		},
		{
			testName: "one after another with pauses between",
			run: func(t *testing.T, k *Keeper, e *engine) {
				fill(t, k, e)
				turn := PrefillRequest{Local: true, Tokens: 4000, MaxStall: stall}
				granted := 0
				for range 100 {
					if k.SchedulePrefill(t.Context(), turn).Granted {
						granted++
					}
					time.Sleep(10 * time.Millisecond)
				}
				assert.Equal(t, granted, 3, "each takes 166 ms, and 300 ms go by between two")
			},
		},
		{
			testName: "an engine that reads for others reads nothing for itself",
			run: func(t *testing.T, k *Keeper, e *engine) {
				e.set(func(r *EngineReport) { r.Stage = pool.Prefill })
				assert.Assert(t, k.SchedulePrefill(t.Context(), PrefillRequest{Local: true, Tokens: 100, MaxStall: stall}).Down)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{report: EngineReport{Capacity: 20000, Stage: pool.Decode, StartMillis: 1}}
				s.run(t, newTestKeeper(t, e), e)
			})
		})
	}
}

func TestChangeStage(t *testing.T) {
	order := StageRequest{Endpoint: "e", StartMillis: 1, Stage: pool.Decode}
	scenarios := []struct {
		testName string
		report   EngineReport
		earlier  time.Duration
		taken    bool
	}{
		{testName: "an engine changes its stage", report: EngineReport{Stage: pool.Prefill, StartMillis: 1, Orders: 4}, taken: true},
		{testName: "not while it changes", report: EngineReport{Stage: pool.Prefill, StartMillis: 1, ChangingStage: true}},
		{testName: "not to what it is", report: EngineReport{Stage: pool.Decode, StartMillis: 1}},
		{testName: "not if another process was meant", report: EngineReport{Stage: pool.Prefill, StartMillis: 2}},
		{testName: "not again for a while", report: EngineReport{Stage: pool.Prefill, StartMillis: 1}, earlier: stageDwell / 2},
		{testName: "again after a while", report: EngineReport{Stage: pool.Prefill, StartMillis: 1}, earlier: 2 * stageDwell, taken: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{report: s.report}
				k := newTestKeeper(t, e)
				if s.earlier > 0 {
					k.staged = time.Now()
					time.Sleep(s.earlier)
				}
				answer := k.ChangeStage(t.Context(), order)
				assert.Equal(t, answer.Accepted, s.taken, answer.Reason)
				assert.Equal(t, len(e.orders) == 1, s.taken)
				if s.taken {
					assert.Equal(t, e.follows[0], s.report.Orders)
				}
			})
		})
	}
}

// TestStepIsMeasuredOverWholeEvents has the engine report its runs every 25 ms,
// while tokens show 61 at a time: the time for one token is still the true one.
func TestStepIsMeasuredOverWholeEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const step, event = 800 * time.Microsecond, 61
		e := &engine{report: EngineReport{Capacity: 100000, Stage: pool.Decode, StartMillis: 1}}
		k := newTestKeeper(t, e)
		ask := askOf("a", 0, 0)
		assert.Assert(t, k.Reserve(t.Context(), ask).Granted)
		e.begin(ask)
		began := time.Now()
		for range 200 {
			time.Sleep(25 * time.Millisecond)
			made := ident.TokenCount(time.Since(began)/step) / event * event
			e.set(func(r *EngineReport) { r.Requests[0].Held = ask.Prompt + made })
			k.refresh(t.Context())
		}
		measured := k.steps.at(1)
		assert.Assert(t, measured > step*9/10 && measured < step*11/10, "%s", measured)
	})
}
