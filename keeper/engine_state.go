package keeper

import (
	"context"
	"time"

	"crocusstep/ident"
	"crocusstep/memory"
)

const (
	// reportLife is how old a report may be that a decision is made on.
	reportLife = 15 * time.Millisecond
	// reportTimeout bounds the call to the engine on the same instance.
	reportTimeout = 300 * time.Millisecond
	// stepDefault is the time for one token until it was measured.
	stepDefault = 900 * time.Microsecond
	// stepSpanLeast and stepSpanMost bound the time over which a token's time is
	// measured: an event of 61 tokens takes some 50 ms, and a run that pauses for
	// longer than a second was preempted or not looked at.
	stepSpanLeast = 300 * time.Millisecond
	stepSpanMost  = 1500 * time.Millisecond
)

// full is how many runs the engine has when its memory or its slots are taken.
func (k *Keeper) full(slots int) float64 {
	runs := float64(k.report.Capacity) / max(1, k.load.Prompt+k.load.Output/2)
	if slots > 0 {
		runs = min(runs, float64(slots))
	}
	return runs
}

// unknownAnswer is taken for runs that no place was asked for.
var unknownAnswer = memory.LengthEstimate{Median: 4000, Spread: 0.5}

// refresh asks the engine for its state unless it has just said it.
func (k *Keeper) refresh(ctx context.Context) {
	k.mutex.Lock()
	fresh := time.Since(k.reported) < reportLife
	k.mutex.Unlock()
	if fresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := k.engine.Report(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if asked.Before(k.reported) {
		return
	}
	if err != nil {
		if ctx.Err() == nil || !k.down {
			k.Log.Warn("the engine does not report", "error", err)
		}
		k.down, k.reported = true, asked
		return
	}
	if k.down {
		k.Log.Info("the engine reports again", "runs", len(report.Requests))
	}
	k.down = false
	k.take(report, asked)
}

// take matches the places given out with the runs that the engine has.
func (k *Keeper) take(report EngineReport, asked time.Time) {
	if k.report.StartMillis != 0 && report.StartMillis != k.report.StartMillis {
		clear(k.held)
	}
	reported := map[ident.AttemptID]bool{}
	for _, r := range report.Requests {
		reported[r.Attempt] = true
		g, ok := k.held[r.Attempt]
		if !ok {
			continue
		}
		g.seen = true
		k.learnStep(g, r.Held, asked)
	}
	for attempt, g := range k.held {
		if reported[attempt] {
			continue
		}
		if g.seen || asked.Sub(g.since) > startLimit {
			delete(k.held, attempt)
		}
	}
	k.report, k.reported = report, asked
}

// learnStep measures the time for one token of a run. Tokens show in the report by
// whole events, so that a short span would say little.
func (k *Keeper) learnStep(g *grant, held ident.TokenCount, now time.Time) {
	if held <= g.ask.reads() || now.Before(k.readUntil) {
		// It is still being read, or stands still while the engine reads another.
		g.marked = time.Time{}
		return
	}
	span := now.Sub(g.marked)
	switch {
	case g.marked.IsZero() || held < g.mark || span > stepSpanMost:
	case span < stepSpanLeast || held == g.mark:
		return
	default:
		k.steps.add(len(k.report.Requests), span/time.Duration(held-g.mark))
	}
	g.mark, g.marked = held, now
}

// runs is what the engine holds or will hold by the places given out.
func (k *Keeper) runs() []memory.Run {
	runs := make([]memory.Run, 0, len(k.held))
	for _, r := range k.report.Requests {
		g, ok := k.held[r.Attempt]
		if !ok {
			// Another's run, of which only its memory is known.
			runs = append(runs, unknownAnswer.Run(r.Held, unknownAnswer.Median/2))
			continue
		}
		runs = append(runs, g.ask.Output.Run(r.Held, max(0, r.Held-g.ask.Prompt)))
	}
	for _, g := range k.held {
		if !g.seen {
			runs = append(runs, g.ask.expected())
		}
	}
	return runs
}

// used is the memory that runs hold as reported.
func (k *Keeper) used() ident.TokenCount {
	var sum ident.TokenCount
	for _, r := range k.report.Requests {
		sum += r.Held
	}
	return sum
}
