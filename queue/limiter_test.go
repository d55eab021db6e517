package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
)

func newWaiter(attempt string, deadline time.Duration) Waiter {
	return Waiter{Attempt: ident.AttemptID(attempt), Workspace: "w", Weight: 1, Deadline: time.Now().Add(deadline), Cost: 1}
}

func TestLimiter(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, l *Limiter)
	}{
		{
			testName: "a full limiter immediately refuses an attempt that does not wait",
			run: func(t *testing.T, l *Limiter) {
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("a", time.Minute), 0, time.Minute))
				err := l.Acquire(t.Context(), newWaiter("b", time.Minute), 0, time.Minute)
				assert.Assert(t, fault.Is(err, fault.EndpointBusy))
			},
		},
		{
			testName: "an unconfirmed slot expires",
			run: func(t *testing.T, l *Limiter) {
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("a", time.Minute), 0, time.Second))
				started := time.Now()
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("b", time.Minute), time.Minute, time.Minute))
				assert.Equal(t, time.Since(started), time.Second)
				assert.Assert(t, !l.Confirm("a"))
			},
		},
		{
			testName: "a confirmed slot does not expire",
			run: func(t *testing.T, l *Limiter) {
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("a", time.Minute), 0, time.Second))
				assert.Assert(t, l.Confirm("a"))
				time.Sleep(time.Minute)
				assert.Equal(t, l.Held(), 1)
				l.Release("a")
				assert.Equal(t, l.Held(), 0)
			},
		},
		{
			testName: "a waiter times out at its deadline",
			run: func(t *testing.T, l *Limiter) {
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("a", time.Minute), 0, time.Hour))
				started := time.Now()
				err := l.Acquire(t.Context(), newWaiter("b", 3*time.Second), time.Hour, time.Second)
				assert.Assert(t, fault.Is(err, fault.EndpointBusy))
				assert.Equal(t, time.Since(started), 3*time.Second)
			},
		},
		{
			testName: "an attempt that cannot start in time is immediately refused with a retry delay",
			run: func(t *testing.T, l *Limiter) {
				learnHoldTime(t, l, time.Second)
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("a", time.Minute), 0, time.Hour))
				var tasks conc.WaitGroup
				for i := range 5 {
					tasks.Go(func() {
						_ = l.Acquire(t.Context(), newWaiter(fmt.Sprint("w", i), 5*time.Second), time.Minute, time.Second)
					})
				}
				synctest.Wait()
				started := time.Now()
				err := l.Acquire(t.Context(), newWaiter("b", 5*time.Second), time.Minute, time.Second)
				assert.Assert(t, fault.Is(err, fault.TargetUnreachable))
				assert.Equal(t, time.Since(started), time.Duration(0))
				assert.Assert(t, fault.AsRefusal(err).RetryAfter >= 4*time.Second)
				l.Release("a")
				tasks.Wait()
			},
		},
		{
			testName: "a newcomer with an early deadline starts before waiters with later ones",
			run: func(t *testing.T, l *Limiter) {
				learnHoldTime(t, l, time.Second)
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("a", time.Minute), 0, time.Second))
				var tasks conc.WaitGroup
				for i := range 5 {
					tasks.Go(func() {
						assert.NilError(t, l.Acquire(t.Context(), newWaiter(fmt.Sprint("w", i), time.Minute), time.Minute, time.Second))
					})
				}
				synctest.Wait()
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("b", 2*time.Second), time.Minute, time.Second))
				tasks.Wait()
			},
		},
		{
			testName: "a cancelled attempt leaves the queue",
			run: func(t *testing.T, l *Limiter) {
				assert.NilError(t, l.Acquire(t.Context(), newWaiter("a", time.Minute), 0, time.Hour))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := l.Acquire(ctx, newWaiter("b", time.Minute), time.Minute, time.Hour)
				assert.Assert(t, fault.Is(err, fault.Cancelled))
				assert.Equal(t, l.State().Waiting, 0)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { s.run(t, NewLimiter(1)) })
		})
	}
}

// learnHoldTime makes the limiter observe a slot that is held for the duration.
func learnHoldTime(t *testing.T, l *Limiter, duration time.Duration) {
	t.Helper()
	assert.NilError(t, l.Acquire(t.Context(), newWaiter("first", time.Minute), 0, time.Hour))
	l.Confirm("first")
	time.Sleep(duration)
	l.Release("first")
}

// TestLimiterNeverExceedsCapacity runs many concurrent attempts, some of which
// time out, against one limiter.
func TestLimiterNeverExceedsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 3
		l := NewLimiter(capacity)
		var held, maxHeld atomic.Int64
		var tasks conc.WaitGroup
		random := rand.New(rand.NewPCG(7, 7))
		randDuration := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
		for i := range 300 {
			start, timeout, hold := randDuration(5*time.Second), randDuration(3*time.Second), randDuration(100*time.Millisecond)
			tasks.Go(func() {
				time.Sleep(start)
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				attempt := ident.AttemptID(fmt.Sprint(i))
				if l.Acquire(ctx, newWaiter(string(attempt), 2*time.Second), 2*time.Second, time.Second) != nil || !l.Confirm(attempt) {
					return
				}
				maxHeld.Store(max(maxHeld.Load(), held.Add(1)))
				time.Sleep(hold)
				held.Add(-1)
				l.Release(attempt)
			})
		}
		tasks.Wait()
		assert.Assert(t, maxHeld.Load() <= capacity)
		assert.DeepEqual(t, l.State(), State{Free: capacity})
	})
}
