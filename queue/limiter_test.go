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

func ticketOf(attempt string, deadline time.Duration) Waiter {
	return Waiter{Attempt: ident.AttemptID(attempt), Workspace: "w", Weight: 1, Deadline: time.Now().Add(deadline), Cost: 1}
}

func TestGate(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, g *Limiter)
	}{
		{
			testName: "a full gate refuses at once who will not wait",
			run: func(t *testing.T, g *Limiter) {
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("a", time.Minute), 0, time.Minute))
				err := g.Acquire(t.Context(), ticketOf("b", time.Minute), 0, time.Minute)
				assert.Assert(t, fault.Is(err, fault.EndpointBusy))
			},
		},
		{
			testName: "a place that is not used expires",
			run: func(t *testing.T, g *Limiter) {
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("a", time.Minute), 0, time.Second))
				started := time.Now()
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("b", time.Minute), time.Minute, time.Minute))
				assert.Equal(t, time.Since(started), time.Second)
				assert.Assert(t, !g.Confirm("a"))
			},
		},
		{
			testName: "a used place does not expire",
			run: func(t *testing.T, g *Limiter) {
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("a", time.Minute), 0, time.Second))
				assert.Assert(t, g.Confirm("a"))
				time.Sleep(time.Minute)
				assert.Equal(t, g.Held(), 1)
				g.Release("a")
				assert.Equal(t, g.Held(), 0)
			},
		},
		{
			testName: "nobody waits beyond the deadline",
			run: func(t *testing.T, g *Limiter) {
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("a", time.Minute), 0, time.Hour))
				started := time.Now()
				err := g.Acquire(t.Context(), ticketOf("b", 3*time.Second), time.Hour, time.Second)
				assert.Assert(t, fault.Is(err, fault.EndpointBusy))
				assert.Equal(t, time.Since(started), 3*time.Second)
			},
		},
		{
			testName: "who cannot start in time is refused at once and told when to come back",
			run: func(t *testing.T, g *Limiter) {
				learnPace(t, g, time.Second)
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("a", time.Minute), 0, time.Hour))
				var tasks conc.WaitGroup
				for i := range 5 {
					tasks.Go(func() {
						_ = g.Acquire(t.Context(), ticketOf(fmt.Sprint("w", i), 5*time.Second), time.Minute, time.Second)
					})
				}
				synctest.Wait()
				started := time.Now()
				err := g.Acquire(t.Context(), ticketOf("b", 5*time.Second), time.Minute, time.Second)
				assert.Assert(t, fault.Is(err, fault.TargetUnreachable))
				assert.Equal(t, time.Since(started), time.Duration(0))
				assert.Assert(t, fault.AsRefusal(err).RetryAfter >= 4*time.Second)
				g.Release("a")
				tasks.Wait()
			},
		},
		{
			testName: "an urgent newcomer goes before those who can wait",
			run: func(t *testing.T, g *Limiter) {
				learnPace(t, g, time.Second)
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("a", time.Minute), 0, time.Second))
				var tasks conc.WaitGroup
				for i := range 5 {
					tasks.Go(func() {
						assert.NilError(t, g.Acquire(t.Context(), ticketOf(fmt.Sprint("w", i), time.Minute), time.Minute, time.Second))
					})
				}
				synctest.Wait()
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("b", 2*time.Second), time.Minute, time.Second))
				tasks.Wait()
			},
		},
		{
			testName: "a cancelled wait leaves no trace",
			run: func(t *testing.T, g *Limiter) {
				assert.NilError(t, g.Acquire(t.Context(), ticketOf("a", time.Minute), 0, time.Hour))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := g.Acquire(ctx, ticketOf("b", time.Minute), time.Minute, time.Hour)
				assert.Assert(t, fault.Is(err, fault.Cancelled))
				assert.Equal(t, g.State().Waiting, 0)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { s.run(t, NewLimiter(1)) })
		})
	}
}

// learnPace shows the gate that a place is held for a span.
func learnPace(t *testing.T, g *Limiter, span time.Duration) {
	t.Helper()
	assert.NilError(t, g.Acquire(t.Context(), ticketOf("first", time.Minute), 0, time.Hour))
	g.Confirm("first")
	time.Sleep(span)
	g.Release("first")
}

// TestGateNeverOverfills runs many entrants of all kinds against one gate.
func TestGateNeverOverfills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 3
		g := NewLimiter(capacity)
		var inside, most atomic.Int64
		var tasks conc.WaitGroup
		random := rand.New(rand.NewPCG(7, 7))
		span := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
		for i := range 300 {
			start, patience, stay := span(5*time.Second), span(3*time.Second), span(100*time.Millisecond)
			tasks.Go(func() {
				time.Sleep(start)
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				attempt := ident.AttemptID(fmt.Sprint(i))
				if g.Acquire(ctx, ticketOf(string(attempt), 2*time.Second), 2*time.Second, time.Second) != nil || !g.Confirm(attempt) {
					return
				}
				most.Store(max(most.Load(), inside.Add(1)))
				time.Sleep(stay)
				inside.Add(-1)
				g.Release(attempt)
			})
		}
		tasks.Wait()
		assert.Assert(t, most.Load() <= capacity)
		assert.DeepEqual(t, g.State(), State{Free: capacity})
	})
}
