package entry

import (
	"context"
	"errors"
	"time"

	"crocusstep/cost"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
)

// durations estimates how long the requests of a service take.
type durations struct {
	// firstToken, interval and lookup are in seconds, output in tokens.
	firstToken, interval, output, lookup cost.Median
}

// upper returns a duration that most requests stay below, or the default if none is known.
func upper(m *cost.Median, now time.Time, unknown time.Duration) time.Duration {
	median, deviation := m.Estimate(now)
	if median == 0 {
		return unknown
	}
	return time.Duration((median + deviation) * float64(time.Second))
}

// Drain makes the entry unready, so that the load balancer stops sending requests, and makes it
// refuse requests that it may not complete until the given time, at which its process cancels
// them.
func (e *Entry) Drain(end time.Time) { e.endsAt.Store(&end) }

func (e *Entry) draining() bool { return e.endsAt.Load() != nil }

// refuseBeforeEnd refuses a request that needs more time than is left until the entry stops.
func (e *Entry) refuseBeforeEnd(needed time.Duration) *fault.Refusal {
	endsAt := e.endsAt.Load()
	if endsAt == nil || time.Until(*endsAt) >= needed {
		return nil
	}
	return fault.New(fault.Draining, "the entry stops").WithRetryAfter(e.withJitter(0))
}

// cancelledAtGraceEnd reports whether a request failed because its process stops, rather than by
// a refusal.
func cancelledAtGraceEnd(ctx context.Context, err error) bool {
	return errors.Is(context.Cause(ctx), fault.ErrGraceEnded) && fault.AsRefusal(err).Code == fault.Internal
}

// refusalAtGraceEnd returns the refusal of a request that the entry itself has cancelled.
func (c *chatExchange) refusalAtGraceEnd() *fault.Refusal {
	refusal := fault.New(fault.Draining, "the entry stopped before the request was sent")
	switch {
	case c.assembler.Next() > 0:
		refusal = fault.NewUnknown(fault.ResponseTruncated, "the entry stopped before the end of the response")
	case c.prefillStarted:
		refusal = fault.NewUnknown(fault.EndpointFailed, "the entry stopped before the response")
	}
	return refusal.WithRetryAfter(c.withJitter(0))
}

// learn passes the durations of a service to a function, which may change them.
func (e *Entry) learn(service ident.ServiceName, update func(*durations)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	d, ok := e.durations[service]
	if !ok {
		d = &durations{}
		e.durations[service] = d
	}
	update(d)
}

// expectedTime returns how long the request is expected to take. Without recent requests of its
// service it goes by the targets and the largest output.
func (c *chatExchange) expectedTime() (expected time.Duration) {
	now, targets := time.Now(), c.document.Targets
	c.learn(c.document.Service, func(d *durations) {
		tokens := float64(c.maxTokens)
		if median, deviation := d.output.Estimate(now); median > 0 {
			tokens = min(tokens, median+deviation)
		}
		interval := upper(&d.interval, now, targets.BetweenTokens.Std())
		expected = upper(&d.firstToken, now, targets.FirstToken.Std()) + time.Duration(tokens*float64(interval))
	})
	return expected
}

// learnDurations learns from a complete response.
func (c *chatExchange) learnDurations() {
	tokens := c.assembler.Next()
	if tokens == 0 {
		return
	}
	now := time.Now()
	c.learn(c.document.Service, func(d *durations) {
		d.output.Add(float64(tokens), now)
		d.firstToken.Add(c.firstTokenAt.Sub(c.arrived).Seconds(), now)
		d.interval.Add(c.lastTokenAt.Sub(c.firstTokenAt).Seconds()/float64(max(1, tokens-1)), now)
	})
}

// expectedTime returns how long the call is expected to take. An action may take all of its
// patience: if it is cut, its caller can't tell whether it has run.
func (c *callExchange) expectedTime() (expected time.Duration) {
	targets := c.document.Targets
	if c.call.Class == spec.Action {
		return targets.Patience.Std()
	}
	c.learn(c.document.Service, func(d *durations) { expected = upper(&d.lookup, time.Now(), targets.WholeAnswer.Std()) })
	return expected
}
