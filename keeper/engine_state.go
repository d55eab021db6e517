package keeper

import (
	"context"
	"errors"
	"time"

	"crocusstep/ident"
	"crocusstep/memory"
	"crocusstep/pool"
)

const (
	// reportTTL is the maximum age of an engine report used for a decision.
	reportTTL = 15 * time.Millisecond
	// reportTimeout limits the call to the engine on the same instance.
	reportTimeout = 300 * time.Millisecond
	// defaultStepTime is used until enough decode steps have been measured.
	defaultStepTime = 900 * time.Microsecond
	// minStepSample and maxStepSample limit the interval over which the step time is
	// measured: an event of 61 tokens takes about 50 ms, and a request without progress
	// for more than a second was preempted or not polled.
	minStepSample = 300 * time.Millisecond
	maxStepSample = 1500 * time.Millisecond
)

// maxRequests estimates how many requests run when the memory or the slots are full.
func (k *Keeper) maxRequests(slots int) float64 {
	requests := float64(k.report.Capacity) / max(1, k.mean.Prompt+k.mean.Output/2)
	if slots > 0 {
		requests = min(requests, float64(slots))
	}
	return requests
}

// unknownOutput is assumed for requests in the engine without a reservation.
var unknownOutput = memory.LengthEstimate{Median: 4000, Spread: 0.5}

// refresh polls the engine unless its last report is recent.
func (k *Keeper) refresh(ctx context.Context) {
	k.mutex.Lock()
	fresh := time.Since(k.reportedAt) < reportTTL
	paused := time.Now().Before(k.pausedUntil)
	k.mutex.Unlock()
	if fresh || paused {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	polledAt := time.Now()
	report, err := k.engine.Report(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if polledAt.Before(k.reportedAt) {
		return
	}
	if err != nil {
		k.applyPause(err)
		if ctx.Err() == nil || !k.down {
			k.Log.Warn("the engine does not report", "error", err)
		}
		k.down, k.reportedAt = true, polledAt
		return
	}
	if k.down {
		k.Log.Info("the engine reports again", "runs", len(report.Requests))
	}
	k.down = false
	k.applyReport(report, polledAt)
}

// applyPause keeps the keeper from calling an engine that has asked for a pause.
func (k *Keeper) applyPause(err error) {
	var pause *PauseError
	if errors.As(err, &pause) {
		k.pausedUntil = time.Now().Add(min(pause.Pause, pool.MaxPause))
		k.down = true
	}
}

// observeStart ends the pause of the engine's process once a relay knows that a later one has its
// place: the keeper does not call the engine meanwhile.
func (k *Keeper) observeStart(startMillis int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if startMillis <= k.latestStart {
		return
	}
	k.latestStart = startMillis
	if time.Now().Before(k.pausedUntil) {
		k.Log.Info("the engine that asked for a pause was replaced", "started", startMillis)
		k.pausedUntil = time.Time{}
	}
}

// applyReport stores a report and reconciles the reservations with the requests that
// the engine holds.
func (k *Keeper) applyReport(report EngineReport, polledAt time.Time) {
	if k.report.StartMillis != 0 && report.StartMillis != k.report.StartMillis {
		clear(k.reservations)
		k.speed = engineSpeed{}
	}
	reported := map[ident.AttemptID]bool{}
	for _, running := range report.Requests {
		reported[running.Attempt] = true
		r, ok := k.reservations[running.Attempt]
		if !ok {
			continue
		}
		r.started, r.held = true, running.Held
		k.measureStep(r, running.Held, polledAt)
	}
	for attempt, r := range k.reservations {
		if reported[attempt] {
			continue
		}
		if r.started || polledAt.Sub(r.grantedAt) > reservationTTL {
			k.dropReservation(attempt)
		}
	}
	k.report, k.reportedAt = report, polledAt
	k.latestStart = max(k.latestStart, report.StartMillis)
}

// measureStep measures the time of a decode step from the progress of one request.
// The report shows tokens by whole events, so that a short interval is inaccurate.
func (k *Keeper) measureStep(r *reservation, held ident.TokenCount, now time.Time) {
	if held <= r.request.initialTokens() || now.Before(k.prefillUntil) {
		// The engine is prefilling this request, or another one that stalls it.
		r.sampledAt = time.Time{}
		return
	}
	elapsed := now.Sub(r.sampledAt)
	switch {
	case r.sampledAt.IsZero() || held < r.sampleTokens || elapsed > maxStepSample:
	case elapsed < minStepSample || held == r.sampleTokens:
		return
	default:
		step := elapsed / time.Duration(held-r.sampleTokens)
		k.stepTime.add(len(k.report.Requests), step)
		k.speed.addStep(step, now)
	}
	r.sampleTokens, r.sampledAt = held, now
}

// runs returns the requests that hold memory, or will by their reservations.
func (k *Keeper) runs() []memory.Run {
	runs := make([]memory.Run, 0, len(k.reservations))
	for _, running := range k.report.Requests {
		r, ok := k.reservations[running.Attempt]
		if !ok {
			// Only the held memory is known of a request without a reservation.
			runs = append(runs, unknownOutput.Run(running.Held, unknownOutput.Median/2))
			continue
		}
		runs = append(runs, r.request.Output.Run(running.Held, max(0, running.Held-r.request.Prompt)))
	}
	for _, r := range k.reservations {
		if !r.started {
			runs = append(runs, r.request.run())
		}
	}
	return runs
}

// used returns the tokens in memory according to the last report.
func (k *Keeper) used() ident.TokenCount {
	var sum ident.TokenCount
	for _, running := range k.report.Requests {
		sum += running.Held
	}
	return sum
}
