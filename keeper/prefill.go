package keeper

import (
	"context"
	"time"

	"crocusstep/pool"
)

const (
	// prefillReportDelay is how long a granted prefill may be missing from the engine's
	// report, as the prompt is still on its way between two regions.
	prefillReportDelay = 60 * time.Millisecond
	// slowdownWeight is the weight of the newest prefill in the slowdown.
	slowdownWeight = 0.1
	// minSlowdown and maxSlowdown limit a measured slowdown. Engines of one service
	// differ by a factor of two at most; more than that is an unobserved queue.
	minSlowdown = 0.5
	maxSlowdown = 3.0
	// localPrefillFactor is how much longer a prefill takes in a decode engine, which
	// prefills at half the speed.
	localPrefillFactor = 2
	// localPrefillInterval is the pause between two prefills of a decode engine, in
	// which its requests generate a few events at their usual rate.
	localPrefillInterval = 300 * time.Millisecond
)

// SchedulePrefill grants a prefill slot if the backlog is prefilled in time. Slots
// end by their expected duration, so that relays need not report the end.
func (k *Keeper) SchedulePrefill(ctx context.Context, request PrefillRequest) PrefillResponse {
	k.observeStart(request.StartMillis)
	k.refresh(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if request.Local {
		return k.scheduleLocalPrefill(request)
	}
	if request.Lapsed {
		k.lapses.add(time.Now())
		k.Log.Info("a prompt that was prefilled here could not be fetched", "request", request.Attempt, "lapses", k.lapses.count)
		return PrefillResponse{}
	}
	k.updateSlowdown(request.LastTiming)
	k.speed.addPrefill(request.LastTiming, time.Now())
	slowdown, speed := k.slowdown, k.speedFor(request.Speed)
	if speed != nil && speed.Slowdown > 0 {
		slowdown = speed.Slowdown
	}
	duration := time.Duration(slowdown * float64(pool.PrefillTime(request.Tokens)))
	if k.down || !k.serves(pool.Prefill) {
		return PrefillResponse{Down: true}
	}
	now := time.Now()
	if request.Speed && k.lapses.lapsing(now) {
		return PrefillResponse{Lapsing: true, Slowdown: slowdown, Speed: speed}
	}
	if k.report.Waiting == 0 && k.report.Active == 0 && now.Sub(k.prefillGrantedAt) > prefillReportDelay {
		k.prefillUntil = now
	}
	backlog := max(0, k.prefillUntil.Sub(now))
	if backlog > request.MaxWait {
		return PrefillResponse{Backlog: backlog, Slowdown: slowdown, Speed: speed}
	}
	k.prefillGrantedAt = now
	k.prefillUntil = now.Add(backlog + duration)
	return PrefillResponse{Granted: true, Backlog: backlog, Slowdown: slowdown, Speed: speed}
}

// updateSlowdown adds a measured prefill to the moving average.
func (k *Keeper) updateSlowdown(last PrefillTiming) {
	if last.Tokens <= 0 {
		return
	}
	slowdown := float64(last.Duration) / float64(pool.PrefillTime(last.Tokens))
	k.slowdown += slowdownWeight * (min(maxSlowdown, max(minSlowdown, slowdown)) - k.slowdown)
}

// scheduleLocalPrefill grants a prefill in a decode engine if it stalls the running
// requests for no longer than allowed and does not directly follow another one.
func (k *Keeper) scheduleLocalPrefill(request PrefillRequest) PrefillResponse {
	if k.down || !k.serves(pool.Decode) {
		return PrefillResponse{Down: true}
	}
	now := time.Now()
	stall := localPrefillFactor * pool.PrefillTime(request.Tokens)
	if len(k.report.Requests) > 0 && (stall > request.MaxStall || now.Before(k.prefillUntil.Add(localPrefillInterval))) {
		return PrefillResponse{Backlog: max(0, k.prefillUntil.Add(localPrefillInterval).Sub(now))}
	}
	k.prefillUntil = now.Add(stall)
	return PrefillResponse{Granted: true}
}
