package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
)

// TestEnding guards against cut responses whose log does not tell who cut them.
func TestEnding(t *testing.T) {
	cut := fault.NewUnknown(fault.ResponseTruncated, "cut")
	left := func(t *testing.T, cause error) context.Context {
		t.Helper()
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		return ctx
	}
	scenarios := []struct {
		testName   string
		ctx        func(t *testing.T) context.Context
		refusal    *fault.Refusal
		leftSilent bool
		// since is the time from the last event, or from the arrival, to the end.
		since, sinceArrival time.Duration
		started             bool
		want                ending
	}{
		{testName: "a complete response", ctx: (*testing.T).Context},
		{testName: "a refusal is complete", ctx: (*testing.T).Context, refusal: fault.New(fault.NoEndpoint, "none"), leftSilent: true},
		{testName: "the endpoint broke off", ctx: (*testing.T).Context, refusal: cut, want: endedByEndpoint},
		{testName: "the relay left a silent endpoint", ctx: (*testing.T).Context, refusal: cut, leftSilent: true, want: endedByRelay},
		{testName: "the caller left", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, nil) }, refusal: fault.New(fault.Cancelled, "left"), leftSilent: true, want: endedByCaller},
		{
			testName: "the caller left after a silence before the first event", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, nil) },
			refusal: fault.New(fault.Cancelled, "left"), sinceArrival: testPatience, want: endedBySilence,
		},
		{
			testName: "the caller left after a silence in mid-stream", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, nil) },
			refusal: fault.New(fault.Cancelled, "left"), started: true, since: testPatience, sinceArrival: 5 * time.Second, want: endedBySilence,
		},
		{
			testName: "the caller left in mid-stream", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, nil) },
			refusal: fault.New(fault.Cancelled, "left"), started: true, since: time.Second, sinceArrival: 5 * time.Second, want: endedByCaller,
		},
		{
			testName: "the caller left at its deadline", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, nil) },
			refusal: fault.New(fault.Cancelled, "left"), started: true, since: time.Second, sinceArrival: 14 * time.Second, want: endedByDeadline,
		},
		{
			testName: "the relay gave up", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, errGivenUp) },
			refusal: fault.New(fault.PatienceExceeded, "given up"), sinceArrival: testPatience, want: endedByPatience,
		},
		{testName: "the grace period ended", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, fault.ErrGraceEnded) }, refusal: cut, want: endedByGrace},
		{testName: "the deadline of a call passed", ctx: func(t *testing.T) context.Context {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			t.Cleanup(cancel)
			<-ctx.Done()
			return ctx
		}, refusal: fault.NewUnknown(fault.PatienceExceeded, "given up"), want: endedByPatience},
		{testName: "the grace period ended before the response", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, fault.ErrGraceEnded) }, refusal: fault.New(fault.Draining, "stopped")},
		{testName: "the deadline passed", ctx: func(t *testing.T) context.Context {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			t.Cleanup(cancel)
			<-ctx.Done()
			return ctx
		}, refusal: cut, leftSilent: true, want: endedByDeadline},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newImpatientRelay(t, &fakeBackend{})
				request := newTestRequest("/read/x", 14*time.Second)
				route, _ := r.Table().Match("h", "/read/x")
				e := &exchange{Relay: r, request: request, route: route, leftSilent: s.leftSilent, started: s.started}
				if s.started {
					e.lastEvent = request.Arrived.Add(s.sinceArrival - s.since)
				}
				time.Sleep(s.sinceArrival)
				assert.Equal(t, e.findEnding(s.ctx(t), s.refusal), s.want)
			})
		})
	}
}
