package entry

import (
	"context"
	"errors"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/wire"
)

// paceWindow is how long a slow pace is remembered, at least.
const paceWindow = 2 * time.Minute

// slowestPace is the longest mean time between two tokens of the recent outputs of a service.
type slowestPace struct {
	// current is that since a time, previous that of the window before.
	current, previous time.Duration
	since             time.Time
}

func (s *slowestPace) add(interval time.Duration, now time.Time) {
	s.roll(now)
	s.current = max(s.current, interval)
}

func (s *slowestPace) value(now time.Time) time.Duration {
	s.roll(now)
	return max(s.current, s.previous)
}

func (s *slowestPace) roll(now time.Time) {
	age := now.Sub(s.since)
	if age < paceWindow {
		return
	}
	s.previous = s.current
	if age >= 2*paceWindow {
		s.previous = 0
	}
	s.current, s.since = 0, now
}

// Drain makes the entry unready, so that the load balancer stops sending requests, and makes it
// refuse requests that it may not complete until the given time, at which its process cancels
// them.
func (e *Entry) Drain(end time.Time) { e.endsAt.Store(&end) }

func (e *Entry) draining() bool { return e.endsAt.Load() != nil }

// refuseBeforeEnd refuses a request that may still run when the entry stops.
func (e *Entry) refuseBeforeEnd(latestEnd time.Time) *fault.Refusal {
	endsAt := e.endsAt.Load()
	if endsAt == nil || !latestEnd.After(*endsAt) {
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

// pace returns the slowest pace that a service has shown, after it was updated.
func (e *Entry) pace(service ident.ServiceName, update func(*slowestPace)) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.paces[service]
	if !ok {
		s = &slowestPace{}
		e.paces[service] = s
	}
	update(s)
	return s.value(time.Now())
}

// latestEnd returns when the request has ended: each attempt may wait for a token until the
// patience ends, the output may have all of its tokens at the slowest pace that the service states
// or has shown, and an endpoint may fall silent once for as long as that is tolerated.
func (c *chatExchange) latestEnd() time.Time {
	waits := time.Duration(c.document.Retries.Attempts) * c.document.Targets.Patience.Std()
	return c.arrived.Add(waits + c.outputTime(c.maxTokens) + wire.StreamIdleTimeout)
}

// outputTime returns how long tokens take at the slowest pace that the service states or has shown.
func (c *chatExchange) outputTime(tokens ident.TokenCount) time.Duration {
	shown := c.pace(c.document.Service, func(*slowestPace) {})
	return time.Duration(tokens) * max(shown, c.document.Targets.BetweenTokens.Std())
}

// refuseUnsent refuses a request that has not run, and may still run when the entry stops: the stop
// may have begun while it waited.
func (c *chatExchange) refuseUnsent() error {
	if c.prefillStarted {
		return nil
	}
	if refusal := c.refuseBeforeEnd(c.latestEnd()); refusal != nil {
		return refusal
	}
	return nil
}

// learnPace learns from an output, complete or not. Its longest gap is left out, as latestEnd
// counts a silence.
func (c *chatExchange) learnPace() {
	gaps := int(c.assembler.Next()) - 2
	if gaps < 1 {
		return
	}
	interval := (c.lastTokenAt.Sub(c.firstTokenAt) - c.longestGap) / time.Duration(gaps)
	c.pace(c.document.Service, func(s *slowestPace) { s.add(interval, time.Now()) })
}

// latestEnd returns when the call has ended, as the entry answers when the patience ends.
func (c *callExchange) latestEnd() time.Time {
	return time.Now().Add(c.document.Targets.Patience.Std())
}

// refuseUnsent refuses a call that has not run, and may last until the context's deadline, after the
// end of the entry.
func (c *callExchange) refuseUnsent(ctx context.Context) *fault.Refusal {
	deadline, _ := ctx.Deadline()
	return c.refuseBeforeEnd(deadline)
}
