package keeper

import (
	"context"
	"time"

	"crocusstep/pool"
)

const (
	// stageDwell is the least time between two changes of an engine's stage: a
	// change takes 6 s, in which the engine does nothing.
	stageDwell = 15 * time.Second
	// turnSettles is how long after a turn the engine's report may not show the
	// prompt yet, as it is still on its way through two regions.
	turnSettles = 60 * time.Millisecond
	// paceShare is the weight of the newest reading in an engine's pace.
	paceShare = 0.1
	// paceLeast and paceMost bound the pace; engines of one service differ by two
	// times at most, and what is beyond is a queue that was not seen.
	paceLeast = 0.5
	paceMost  = 3.0
	// ownReadingTimes is how much longer an engine that makes answers takes for a
	// reading: it reads at half the speed.
	ownReadingTimes = 2
	// ownPause is the time between two readings of an engine that makes answers, in
	// which its runs make a few events at their usual pace.
	ownPause = 300 * time.Millisecond
	// orderTimeout bounds an order to the engine on the same instance.
	orderTimeout = time.Second
)

// SchedulePrefill grants the reading of a prompt if what is ahead of it is read in time.
// Turns are given out by the time that readings take, so that nobody has to say
// when one has ended.
func (k *Keeper) SchedulePrefill(ctx context.Context, turn PrefillRequest) PrefillResponse {
	k.refresh(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if turn.Local {
		return k.ownTurn(turn)
	}
	k.learnPace(turn.LastTiming)
	reading := time.Duration(k.pace * float64(pool.PrefillTime(turn.Tokens)))
	if k.down || !k.works(pool.Prefill) {
		return PrefillResponse{Down: true}
	}
	now := time.Now()
	if k.report.Waiting == 0 && k.report.Active == 0 && now.Sub(k.turned) > turnSettles {
		k.readUntil = now
	}
	ahead := max(0, k.readUntil.Sub(now))
	if ahead > turn.MaxWait {
		return PrefillResponse{Backlog: ahead, Slowdown: k.pace}
	}
	k.turned = now
	k.readUntil = now.Add(ahead + reading)
	return PrefillResponse{Granted: true, Backlog: ahead, Slowdown: k.pace}
}

// learnPace takes over how long a reading took, by the time that it usually takes.
func (k *Keeper) learnPace(last PrefillTiming) {
	if last.Tokens <= 0 {
		return
	}
	pace := float64(last.Duration) / float64(pool.PrefillTime(last.Tokens))
	k.pace += paceShare * (min(paceMost, max(paceLeast, pace)) - k.pace)
}

// ownTurn grants a reading to an engine that makes answers if its runs stand still
// for no longer than they may, and not again and again.
func (k *Keeper) ownTurn(turn PrefillRequest) PrefillResponse {
	if k.down || !k.works(pool.Decode) {
		return PrefillResponse{Down: true}
	}
	now := time.Now()
	stall := ownReadingTimes * pool.PrefillTime(turn.Tokens)
	if len(k.report.Requests) > 0 && (stall > turn.MaxStall || now.Before(k.readUntil.Add(ownPause))) {
		return PrefillResponse{Backlog: max(0, k.readUntil.Add(ownPause).Sub(now))}
	}
	k.readUntil = now.Add(stall)
	return PrefillResponse{Granted: true}
}

// ChangeStage has the engine work on another stage, unless it has changed
// lately. This process is the only one that gives its engine orders.
func (k *Keeper) ChangeStage(ctx context.Context, order StageRequest) StageResponse {
	k.refresh(ctx)
	k.mutex.Lock()
	report := k.report
	why := ""
	switch {
	case k.down:
		why = "the engine does not report"
	case report.ChangingStage:
		why = "the engine carries out an order"
	case report.Stage == order.Stage:
		why = "the engine works on that stage"
	case report.StartMillis != 0 && report.StartMillis != order.StartMillis:
		why = "the engine is another process"
	case !k.staged.IsZero() && time.Since(k.staged) < stageDwell:
		why = "the engine has changed its stage lately"
	default:
		k.staged = time.Now()
	}
	k.mutex.Unlock()
	if why != "" {
		return StageResponse{Reason: why}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	if err := k.engine.ChangeStage(ctx, order, report); err != nil {
		return StageResponse{Sent: true, Reason: err.Error()}
	}
	return StageResponse{Sent: true, Accepted: true}
}
