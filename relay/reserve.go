package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"crocusstep/admit"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
)

const (
	// transferAllowance is the time reserved for the KV transfer and the first token
	// when the latest start of a prefill is computed.
	transferAllowance = 90 * time.Millisecond
	// lateWait is how long a request whose latency target has passed waits for memory.
	lateWait = 1200 * time.Millisecond
	// resumeWait is how long an interrupted stream waits for memory at another
	// endpoint: its caller disconnects after a gap of 3.6 s, and the prompt must be
	// prefilled again.
	resumeWait = 2500 * time.Millisecond
	// returningAfter is how long a caller must have waited in earlier attempts to count
	// as returning after a refusal; the timeouts of new callers vary with their network
	// latency.
	returningAfter = 250 * time.Millisecond
	// returningWait is how long a returning caller waits for memory: at a latency target
	// of 900 ms, callers disconnect after 3.6 s without an event.
	returningWait = 1200 * time.Millisecond
	// maxDecodeTries limits the decode endpoints tried before the wait at the best one. In a
	// large fleet a relay has heard of few of them lately.
	maxDecodeTries = 6
	// keeperBackoff is how long a keeper that refused the connection is not called.
	keeperBackoff = 2 * time.Second
	// downBackoff is how long an endpoint with a down engine ranks last: a change of
	// stage takes 6 s, a restart 2 s.
	downBackoff = time.Second
	// downPenaltyTokens ranks an endpoint with a down engine behind any full one, for
	// as long as a keeper's load is used.
	downPenaltyTokens = 1 << 30
	// unreservedDivisor limits the prompt tokens that this relay has in flight at a decode
	// endpoint without a reachable keeper to one part in so many of the engine's memory.
	unreservedDivisor = 3
)

// reserve reserves memory at a decode endpoint. It tries the best few without waiting, then waits
// at the one with the shortest expected wait.
func (s *stream) reserve(ctx context.Context) (*reservation, error) {
	window, urgency := s.waitWindow()
	s.order = s.order.AskedFirst()
	deadline := time.Now().Add(window)
	best, shortest := pool.Member{}, time.Duration(-1)
	if refusal := s.refuseStreamBeforeEnd(); refusal != nil {
		return nil, refusal
	}
	members := s.decodeCandidates(ctx)
	if len(members) == 0 {
		return nil, s.noEndpoint()
	}
	for _, m := range members[:min(maxDecodeTries, len(members))] {
		response, res := s.tryReserve(ctx, m, 0, urgency)
		if res != nil || ctx.Err() != nil {
			return res, ctx.Err()
		}
		s.order = s.order.AskedAgain()
		if !response.Down && (shortest < 0 || response.ExpectedWait < shortest) {
			best, shortest = m, response.ExpectedWait
		}
	}
	if left := time.Until(deadline); shortest >= 0 && !keeper.WaitTooLong(shortest, left) {
		response, res := s.tryReserve(ctx, best, left, urgency)
		if res != nil || ctx.Err() != nil {
			return res, ctx.Err()
		}
		shortest = response.ExpectedWait
	}
	s.Log.With(orderFields(s.order)...).Info("no place in time", "request", s.request.Attempt, "window", window, "expected-wait", shortest, "spent", s.earlierWait)
	return nil, fault.New(fault.TargetUnreachable, "the expected wait for memory is %s", shortest.Round(time.Millisecond)).
		WithRetryAfter(s.retryAfterWait(shortest))
}

// waitWindow returns how long waiting for memory is useful, and the urgency.
func (s *stream) waitWindow() (time.Duration, admit.Timing) {
	switch {
	case s.started:
		return min(resumeWait, s.timeLeft()/2), admit.Begun
	case s.earlierWait > returningAfter:
		return min(returningWait, s.timeLeft()/2), admit.Returning
	}
	prefill := pool.PrefillTime(s.request.Prompt.Tokens)
	latest := s.request.Arrived.Add(s.route.TargetLatency - prefill - transferAllowance)
	if left := time.Until(latest); left > 0 {
		return left, admit.InTime
	}
	return min(lateWait, s.timeLeft()/2), admit.Late
}

func (s *stream) decodeCandidates(ctx context.Context) []pool.Member {
	members := s.config.Pool.Members(s.service.Name, pool.Decode)
	// Combined engines prefill their prompts themselves.
	members = append(members, s.config.Pool.Members(s.service.Name, pool.Combined)...)
	members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] || !s.runsVersion(m.Version) })
	return s.rankDecode(s.beginsAt(ctx, members))
}

// tryReserve takes a permit of the endpoint and asks its keeper for memory.
func (s *stream) tryReserve(ctx context.Context, m pool.Member, wait time.Duration, urgency admit.Timing) (keeper.ReserveResponse, *reservation) {
	if permitWait, acquired := s.acquirePermit(ctx, m, wait); !acquired {
		return keeper.ReserveResponse{ExpectedWait: permitWait}, nil
	}
	response, res := s.tryReserveMemory(ctx, m, wait, urgency)
	if res == nil {
		s.config.Pool.ReturnPermit(m.Endpoint)
	}
	return response, res
}

// tryReserveMemory asks a keeper for memory. If the keeper is unreachable, its endpoint is
// used within this relay's own limit.
func (s *stream) tryReserveMemory(ctx context.Context, m pool.Member, wait time.Duration, urgency admit.Timing) (keeper.ReserveResponse, *reservation) {
	if s.keeperUnreachable(m.Name) {
		return s.reserveUnchecked(m)
	}
	p := s.request.Prompt
	response, err := s.config.Keepers.Reserve(ctx, m.Address, keeper.ReserveRequest{
		Attempt:     s.request.Attempt,
		Prompt:      p.Tokens,
		Generated:   s.resumeTokens(),
		Output:      s.estimateOutput(),
		Slots:       m.Slots,
		MaxWait:     wait,
		Urgency:     urgency,
		Speed:       s.config.LearnedCosts,
		Order:       s.order,
		StartMillis: m.StartMillis,
	})
	if err != nil {
		if !s.keeperFailed(ctx, m, err) {
			return keeper.ReserveResponse{Down: true}, nil
		}
		return s.reserveUnchecked(m)
	}
	if response.Down {
		s.config.Pool.UpdateLoad(m.Name, pool.Load{Headroom: -downPenaltyTokens, ReportedAt: time.Now()})
		return response, nil
	}
	s.config.Pool.UpdateLoad(m.Name, pool.Load{Headroom: response.Headroom, ReportedAt: time.Now()})
	s.recordKeeperLoad(m, response)
	s.learnDecode(m, response)
	if !response.Granted {
		return response, nil
	}
	if response.StartMillis != 0 && response.StartMillis != m.StartMillis {
		// Another process has the engine's name, and the record does not show its version yet.
		m.Version = ""
		if !s.runsVersion(m.Version) {
			s.release(m, keeper.ReleaseRequest{Attempt: s.request.Attempt, Grant: response.Grant})
			return keeper.ReserveResponse{Down: true}, nil
		}
	}
	res := s.newReservation(m, true)
	res.grant = response.Grant
	return response, res
}

// keeperFailed handles a keeper's missing response and reports whether its endpoint may
// be used without it. A refused connection means that only the keeper is down.
// Otherwise the whole instance may be frozen or partitioned, and would execute requests
// much later.
func (s *stream) keeperFailed(ctx context.Context, m pool.Member, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	s.Log.Warn("a keeper did not respond", "request", s.request.Attempt, "endpoint", m.Name, "refused", refused, "error", err)
	if refused {
		s.markKeeperUnreachable(m.Name)
		return true
	}
	s.config.Pool.Begin(m.Endpoint, 0)(pool.Unreachable, 0)
	return false
}

// reserveUnchecked admits a request without a keeper, limited by this relay's own prompt
// tokens at the endpoint. One request is always admitted, however large.
func (s *stream) reserveUnchecked(m pool.Member) (keeper.ReserveResponse, *reservation) {
	limit := s.service.Engine.KVCapacity / unreservedDivisor
	if m.PromptTokens > 0 && m.PromptTokens+s.request.Prompt.Tokens > limit {
		return keeper.ReserveResponse{ExpectedWait: minRetryAfter}, nil
	}
	return keeper.ReserveResponse{Granted: true}, s.newReservation(m, false)
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
