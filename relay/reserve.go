package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
)

const (
	// transferAllowance is kept for moving a prompt's memory and for the first
	// token, when the latest start is worked out.
	transferAllowance = 90 * time.Millisecond
	// lateWait is how long a caller whose objective has passed waits for a place.
	lateWait = 1200 * time.Millisecond
	// goesOnWait is how long a stream that broke off waits for another place: its
	// caller leaves after a gap of 3.6 s, and the prompt must be read again.
	resumeWait = 2500 * time.Millisecond
	// cameBackAfter is the patience that a caller has used up when it counts as
	// one that was refused before; new ones differ by their way here.
	returningAfter = 250 * time.Millisecond
	// cameBackWait is how long such a caller waits: callers leave a stream without
	// an event after 3.6 s at an objective of 900 ms.
	returningWait = 1200 * time.Millisecond
	// triedDecodes bounds the decode endpoints asked before waiting at the best.
	maxDecodeTries = 3
	// keeperPause is how long a keeper that did not answer is not asked.
	keeperBackoff = 2 * time.Second
	// downPause is how long an endpoint whose engine works on nothing goes behind all
	// others: a change of stages takes 6 s, and a restart two.
	downBackoff = time.Second
	// downTokens has such an endpoint go behind any that is full, for as long as what
	// a keeper said is used.
	downPenaltyTokens = 1 << 30
	// blindTokens bounds the prompt tokens this process has under way at a decode
	// endpoint whose keeper does not answer: a third of the engines' memory.
	maxUnreservedTokens = 30000
)

// reserve gets a place at a decode endpoint: it asks the most promising at once
// and then waits at the one with the shortest expected wait.
func (s *stream) reserve(ctx context.Context) (*reservation, error) {
	window, urgency := s.waitWindow()
	deadline := time.Now().Add(window)
	best, shortest := pool.Member{}, time.Duration(-1)
	members := s.decodeCandidates()
	if len(members) == 0 {
		return nil, fault.New(fault.NoEndpoint, "no decode endpoint of %s", s.service.Name).After(s.retryAfterJitter(minRetryAfter))
	}
	for _, m := range members[:min(maxDecodeTries, len(members))] {
		response, res := s.tryReserve(ctx, m, 0, urgency)
		if res != nil || ctx.Err() != nil {
			return res, ctx.Err()
		}
		if !response.Down && (shortest < 0 || response.Wait < shortest) {
			best, shortest = m, response.Wait
		}
	}
	if left := time.Until(deadline); shortest >= 0 && !keeper.Hopeless(shortest, left) {
		response, res := s.tryReserve(ctx, best, left, urgency)
		if res != nil || ctx.Err() != nil {
			return res, ctx.Err()
		}
		shortest = response.Wait
	}
	s.Log.Info("no place in time", "request", s.request.Attempt, "window", window, "expected-wait", shortest, "spent", s.earlierWait)
	return nil, fault.New(fault.TargetUnreachable, "the expected wait for memory is %s", shortest.Round(time.Millisecond)).
		After(s.retryAfterWait(shortest))
}

// The order in which requests get places, the least first.
const (
	// goesOn streams have begun, and their callers see a pause.
	resumedUrgency = iota
	// inTime requests can still meet their objective. They go before those that
	// came back late, or in a burst all would be late.
	inTimeUrgency
	// cameBack callers were refused before.
	returningUrgency
	// tooLate requests can no longer meet their objective.
	lateUrgency
)

// waitWindow is how long it helps to wait for a place, and with which urgency.
func (s *stream) waitWindow() (time.Duration, int) {
	switch {
	case s.started:
		return min(resumeWait, s.timeLeft()/2), resumedUrgency
	case s.earlierWait > returningAfter:
		return min(returningWait, s.timeLeft()/2), returningUrgency
	}
	reading := pool.ReadingTime(s.request.Prompt.Tokens)
	latest := s.request.Arrived.Add(s.route.Objective - reading - transferAllowance)
	if left := time.Until(latest); left > 0 {
		return left, inTimeUrgency
	}
	return min(lateWait, s.timeLeft()/2), lateUrgency
}

func (s *stream) decodeCandidates() []pool.Member {
	members := s.config.Pool.Members(s.service.Name, pool.Decode)
	// Engines that do both read their prompts themselves.
	members = append(members, s.config.Pool.Members(s.service.Name, pool.Whole)...)
	members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
	return s.config.Home.Decodes(members, time.Now())
}

// askPlace asks a keeper for a place. A keeper that does not answer is passed
// over for a while, and its endpoint is used within a bound of this process's own.
func (s *stream) tryReserve(ctx context.Context, m pool.Member, wait time.Duration, urgency int) (keeper.Answer, *reservation) {
	if s.keeperUnreachable(m.Name) {
		return s.reserveUnchecked(m)
	}
	p := s.request.Prompt
	response, err := s.config.Keepers.Ask(ctx, m.Address, keeper.Ask{
		Attempt: s.request.Attempt,
		Prompt:  p.Tokens,
		Made:    s.resumeTokens(),
		Answer:  s.lengthsOf(s.service.Name).Estimate(p.EstimatedOutput, p.MaxOutput),
		Slots:   m.Slots,
		Wait:    wait,
		Urgency: urgency,
	})
	if err != nil {
		if !s.keeperFailed(ctx, m, err) {
			return keeper.Answer{Down: true}, nil
		}
		return s.reserveUnchecked(m)
	}
	if response.Down {
		s.config.Pool.Observe(m.Name, pool.Load{Free: -downPenaltyTokens, At: time.Now()})
		return response, nil
	}
	s.config.Pool.Observe(m.Name, pool.Load{Free: response.Free, At: time.Now()})
	s.recordKeeperLoad(m, response)
	if !response.Granted {
		return response, nil
	}
	return response, s.newReservation(m, true)
}

// keeperFailed notes that a keeper did not answer, and reports whether its
// endpoint may be used without it. Where nothing answers at all, the whole
// instance is frozen or cut off, and what is sent there may run much later.
func (s *stream) keeperFailed(ctx context.Context, m pool.Member, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	s.Log.Warn("a keeper does not answer", "request", s.request.Attempt, "endpoint", m.Name, "refused", refused, "error", err)
	if refused {
		s.markKeeperUnreachable(m.Name)
		return true
	}
	s.config.Pool.Begin(m.Endpoint, 0)(pool.Broken, 0)
	return false
}

// askBlind bounds the use of an endpoint by what this process has there.
func (s *stream) reserveUnchecked(m pool.Member) (keeper.Answer, *reservation) {
	if m.Tokens+s.request.Prompt.Tokens > maxUnreservedTokens {
		return keeper.Answer{Wait: minRetryAfter}, nil
	}
	return keeper.Answer{Granted: true}, s.newReservation(m, false)
}

func (s *stream) newReservation(m pool.Member, confirmed bool) *reservation {
	return &reservation{member: m, confirmed: confirmed, began: time.Now(), end: s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)}
}

func (r *Relay) keeperUnreachable(name ident.EndpointName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.unreachableUntil[name])
}

func (r *Relay) markKeeperUnreachable(name ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unreachableUntil[name] = time.Now().Add(keeperBackoff)
}
