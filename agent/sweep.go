package agent

import (
	"context"
	"time"

	"crocusstep/common"

	"crocusstep/ident"
)

const (
	// cancelTimeout bounds one cancel request to the engine.
	cancelTimeout = time.Second
	// cancelAttempts is the number of times a cancel request is sent before the
	// attempt is left to the sweep.
	cancelAttempts = 2
)

// sweepLoop periodically compares the engine's requests with the attempts of this
// agent and cancels those that an earlier incarnation or a lost cancel request left
// behind, at the latest one interval after the agent has started.
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
		// An engine that is down holds no memory for requests.
		return
	}
	for _, r := range running {
		if a.active.has(r.Attempt) {
			continue
		}
		a.Log.Info("cancelling an orphaned request in the engine", "attempt", r.Attempt, "state", r.State)
		if err := a.engine.Cancel(ctx, r.Attempt); err != nil {
			a.Log.Warn("could not cancel an orphaned request", "attempt", r.Attempt, "error", err)
		}
	}
}

// cancelAttempt cancels an attempt in the engine. It does not use the caller's
// context, which has often ended by then.
func (a *Agent) cancelAttempt(attempt ident.AttemptID) {
	for range cancelAttempts {
		ctx, cancel := context.WithTimeout(a.ctx, cancelTimeout)
		err := a.engine.Cancel(ctx, attempt)
		cancel()
		if err == nil {
			return
		}
		a.Log.Warn("could not cancel a request in the engine", "attempt", attempt, "error", err)
		common.Sleep(a.ctx, 100*time.Millisecond)
	}
}
