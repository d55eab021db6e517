package agent

import (
	"context"
	"time"

	"crocusstep/common"

	"crocusstep/ident"
)

const (
	// cancelTimeout bounds one cancel at the engine.
	cancelTimeout = time.Second
	// cancelTries is how often a cancel is sent before it is left to the sweep.
	cancelTries = 2
)

// sweepLoop compares the engine's list with what this agent wants to run. It
// frees what a former incarnation or a lost cancel left behind, at the latest
// one interval after the agent is up.
func (a *Agent) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a.sweep(ctx)
		common.Sleep(ctx, a.config.SweepInterval)
	}
}

func (a *Agent) sweep(ctx context.Context) {
	running, err := a.engine.Requests(ctx)
	a.down.Store(err != nil)
	if err != nil {
		// An engine that is down holds nothing.
		return
	}
	for _, r := range running {
		if a.known.has(r.Attempt) {
			continue
		}
		a.Log.Info("cancelling an orphan in the engine", "attempt", r.Attempt, "state", r.State)
		if err := a.engine.Cancel(ctx, r.Attempt); err != nil {
			a.Log.Warn("an orphan was not cancelled", "attempt", r.Attempt, "error", err)
		}
	}
}

// forget drops an attempt at the engine. It works without the caller's context,
// which has often ended by then.
func (a *Agent) forget(attempt ident.AttemptID) {
	defer a.known.remove(attempt)
	for range cancelTries {
		ctx, cancel := context.WithTimeout(a.ctx, cancelTimeout)
		err := a.engine.Cancel(ctx, attempt)
		cancel()
		if err == nil {
			return
		}
		a.Log.Warn("a cancel failed", "attempt", attempt, "error", err)
		common.Sleep(a.ctx, 100*time.Millisecond)
	}
}
