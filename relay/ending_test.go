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
		want       ending
	}{
		{testName: "a complete response", ctx: (*testing.T).Context},
		{testName: "a refusal is complete", ctx: (*testing.T).Context, refusal: fault.New(fault.NoEndpoint, "none"), leftSilent: true},
		{testName: "the endpoint broke off", ctx: (*testing.T).Context, refusal: cut, want: endedByEndpoint},
		{testName: "the relay left a silent endpoint", ctx: (*testing.T).Context, refusal: cut, leftSilent: true, want: endedByRelay},
		{testName: "the caller left", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, nil) }, refusal: fault.New(fault.Cancelled, "left"), leftSilent: true, want: endedByCaller},
		{testName: "the grace period ended", ctx: func(t *testing.T) context.Context { t.Helper(); return left(t, fault.ErrGraceEnded) }, refusal: cut, want: endedByGrace},
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
				e := &exchange{leftSilent: s.leftSilent}
				assert.Equal(t, e.findEnding(s.ctx(t), s.refusal), s.want)
			})
		})
	}
}
