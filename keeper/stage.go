package keeper

import (
	"context"
	"time"
)

const (
	// minStageInterval is the shortest time between two stage changes: a change takes
	// 6 s, during which the engine serves nothing.
	minStageInterval = 15 * time.Second
	// stageTimeout limits the order to the engine on the same instance.
	stageTimeout = time.Second
)

// ChangeStage changes the engine's stage unless it has changed recently. Only this
// process sends orders to its engine.
func (k *Keeper) ChangeStage(ctx context.Context, request StageRequest) StageResponse {
	k.refresh(ctx)
	k.mutex.Lock()
	report := k.report
	reason := ""
	switch {
	case k.down, time.Now().Before(k.pausedUntil):
		reason = "the engine does not report"
	case report.ChangingStage:
		reason = "the engine carries out an order"
	case report.Stage == request.Stage:
		reason = "the engine works on that stage"
	case report.StartMillis != 0 && report.StartMillis != request.StartMillis:
		reason = "the engine is another process"
	case !k.stageChangedAt.IsZero() && time.Since(k.stageChangedAt) < minStageInterval:
		reason = "the engine has changed its stage lately"
	default:
		k.stageChangedAt = time.Now()
	}
	k.mutex.Unlock()
	if reason != "" {
		return StageResponse{Reason: reason}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stageTimeout)
	defer cancel()
	if err := k.engine.ChangeStage(ctx, request, report); err != nil {
		k.mutex.Lock()
		k.applyPause(err)
		k.mutex.Unlock()
		return StageResponse{Sent: true, Reason: err.Error()}
	}
	return StageResponse{Sent: true, Accepted: true}
}
