package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"crocusstep/client"
	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
)

const (
	// maxPrefillTries limits the prefill endpoints used for one prompt.
	maxPrefillTries = 3
	// minSlotWait is the shortest wait for a prefill slot that is requested, and the
	// assumed wait where none is known: a decode endpoint that prefills the mean prompt
	// itself needs twice the prefill time, about 200 ms.
	minSlotWait = 250 * time.Millisecond
	// maxSlotWait is the longest wait for a prefill slot: memory at the decode endpoint
	// is held meanwhile, and the keeper revokes a reservation whose request does not
	// start within 2.5 s.
	maxSlotWait = 500 * time.Millisecond
	// slotRetryInterval is the time between two rounds of requests for a prefill slot:
	// half the prefill time of the mean prompt.
	slotRetryInterval = 50 * time.Millisecond
	// prefillRoundTrips is the number of round trips in a measured prefill: one for a
	// new connection and one for the request.
	prefillRoundTrips = 2
	// prefillTimeoutFactor and prefillTimeoutSlack bound a prefill. The timeout
	// tolerates engines at half speed and a retransmitted packet.
	prefillTimeoutFactor = 3
	prefillTimeoutSlack  = 400 * time.Millisecond
)

// errNoPrefillSlot means that no engine can prefill the prompt in time.
var errNoPrefillSlot = errors.New("no engine can read the prompt in time")

// prefill computes the prompt's KV cache at the prefill endpoint expected to finish
// first. It returns nil if the decode endpoint is to prefill the prompt itself: after
// failures at several prefill endpoints, or if none can do so within the window and the
// stall of the decode endpoint's other streams is short enough.
func (s *stream) prefill(ctx context.Context, res *reservation, window time.Duration) (*CachedPrompt, error) {
	deadline := time.Now().Add(window)
	for tries := 0; tries < maxPrefillTries; {
		members := s.config.Pool.Members(s.service.Name, pool.Prefill)
		members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
		next := s.pickPrefill(ctx, members, res.member.Zone, max(minSlotWait, time.Until(deadline)))
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case !next.granted && s.tryLocalPrefill(ctx, res, next.availableLater):
			return nil, nil
		case !next.granted && time.Now().After(deadline):
			return nil, errNoPrefillSlot
		case !next.granted:
			common.Sleep(ctx, slotRetryInterval)
			continue
		}
		tries++
		if s.prefills > 0 && s.sends == 0 {
			// The first prefill was free; another one counts as a send. The first decode is free, too.
			if !s.prepaySends(resumeSends) {
				s.config.Pool.ReturnPermit(next.member.Endpoint)
				return nil, s.prefillLocally(ctx, res)
			}
			s.sends++
		}
		refusal := s.barred()
		if refusal == nil {
			refusal = s.refuseStreamBeforeEnd()
		}
		if refusal != nil {
			s.config.Pool.ReturnPermit(next.member.Endpoint)
			return nil, refusal
		}
		if !s.allowPrefill(ctx) {
			return nil, errors.Join(client.ErrNotSent, errNoRetry)
		}
		cached, err := s.prefillAt(ctx, next.member, next.backlog)
		if err == nil || ctx.Err() != nil {
			return cached, err
		}
	}
	return nil, nil
}

// prefillLocally asks for a local prefill where the retry limits allow no other one.
func (s *stream) prefillLocally(ctx context.Context, res *reservation) error {
	if s.tryLocalPrefill(ctx, res, false) {
		return nil
	}
	return errors.Join(client.ErrNotSent, errNoRetry)
}

// prefillWindow is how long waiting for a prefill slot is useful.
func (s *stream) prefillWindow() time.Duration {
	window, _ := s.waitWindow()
	return min(window, maxSlotWait)
}

// allowPrefill reports whether the prompt may be sent to one more prefill endpoint. After the
// first send, the retry limits must also allow the decode that follows: otherwise the prompt
// would be prefilled in vain.
func (s *stream) allowPrefill(ctx context.Context) bool {
	if s.sends > 0 && (s.sends+resumeSends > maxSends || !s.prepaySends(resumeSends-s.prepaidSends)) {
		return false
	}
	return s.allowSend(ctx)
}

// prefillSlot is the result of requests for a prefill slot.
type prefillSlot struct {
	granted bool
	member  pool.Member
	// backlog is how long the prompt waits behind other prefills, or would at the last endpoint
	// asked.
	backlog time.Duration
	// availableLater is set if no slot was granted, but some endpoint could prefill the
	// prompt later.
	availableLater bool
}

// schedulePrefill asks the keepers of prefill endpoints for a slot, and takes a permit of the
// endpoint that grants it. An endpoint whose keeper is unreachable is used without one.
func (s *stream) schedulePrefill(ctx context.Context, members []pool.Member, wait time.Duration) (next prefillSlot) {
	for _, m := range members[:min(maxPrefillTries, len(members))] {
		if m.Suspended {
			break
		}
		if _, acquired := s.acquirePermit(ctx, m, 0); !acquired {
			next.availableLater = true
			continue
		}
		slot := s.schedulePrefillAt(ctx, m, wait)
		if slot.granted {
			return slot
		}
		s.config.Pool.ReturnPermit(m.Endpoint)
		next.availableLater = next.availableLater || slot.availableLater
		next.backlog = slot.backlog
	}
	return next
}

// schedulePrefillAt asks the keeper of one prefill endpoint for a slot.
func (s *stream) schedulePrefillAt(ctx context.Context, m pool.Member, wait time.Duration) prefillSlot {
	unchecked := prefillSlot{granted: true, member: m, backlog: minSlotWait}
	if s.keeperUnreachable(m.Name) {
		return unchecked
	}
	response, err := s.config.Keepers.SchedulePrefill(ctx, m.Address, keeper.PrefillRequest{
		Attempt: s.request.Attempt, Tokens: s.request.Prompt.Tokens, MaxWait: wait, LastTiming: s.takePrefillTiming(m.Name),
		Speed: s.config.LearnedCosts, StartMillis: m.StartMillis,
	})
	if err != nil {
		if !s.keeperFailed(ctx, m, err) {
			return prefillSlot{}
		}
		return unchecked
	}
	if response.Down {
		s.config.Pool.UpdateLoad(m.Name, pool.Load{PrefillBacklog: downBackoff, PrefillSlowdown: m.Load.PrefillSlowdown, ReportedAt: time.Now()})
		return prefillSlot{}
	}
	if response.Lapsing {
		s.Log.Info("an engine is avoided as its prompts cannot be fetched", "request", s.request.Attempt, "endpoint", m.Name)
		s.config.Pool.UpdateLoad(m.Name, pool.Load{PrefillBacklog: downBackoff, PrefillSlowdown: response.Slowdown, ReportedAt: time.Now()})
		return prefillSlot{}
	}
	load := pool.Load{PrefillBacklog: response.Backlog, PrefillSlowdown: response.Slowdown, ReportedAt: time.Now()}
	if response.Granted {
		load.PrefillBacklog += time.Duration(response.Slowdown * float64(pool.PrefillTime(s.request.Prompt.Tokens)))
	}
	s.config.Pool.UpdateLoad(m.Name, load)
	s.learnPrefill(m, response)
	return prefillSlot{granted: response.Granted, member: m, backlog: response.Backlog, availableLater: true}
}

// prefillAt prefills the prompt at one endpoint. It times out if the prefill takes far
// longer than expected: the endpoint may be unreachable, and another one can prefill the
// prompt.
func (s *stream) prefillAt(ctx context.Context, m pool.Member, backlog time.Duration) (cached *CachedPrompt, err error) {
	s.tried[m.Name] = true
	end := s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)
	began := time.Now()
	outcome := pool.Neutral
	defer func() { end(outcome, time.Since(began)) }()
	limited, cancel := context.WithTimeout(ctx, backlog+prefillTimeoutFactor*pool.PrefillTime(s.request.Prompt.Tokens)+prefillTimeoutSlack)
	defer cancel()
	cached, response, err := s.config.Endpoints.Prefill(limited, m.Endpoint, s.request, s.timeLeft())
	switch {
	case err != nil:
		outcome = outcomeOf(ctx, err)
		if !errors.Is(err, client.ErrNotSent) {
			s.countPrefill()
		}
		s.endpoint = m.Name
		if ctx.Err() != nil {
			// The prefill is no longer wanted, which says nothing about the endpoint.
			delete(s.tried, m.Name)
		}
		// An endpoint that was too slow has not crashed.
		s.recordCrash(limited, err)
	case response != nil:
		outcome = response.rejection()
		s.sends++
		err = errNotExecuted
	default:
		// Whether the prompt is still cached shows only when a decode endpoint fetches it.
		s.countPrefill()
		s.observePrefill(m, backlog, time.Since(began))
		s.recordPrefill(m, keeper.PrefillTiming{Tokens: s.request.Prompt.Tokens, Duration: time.Since(began) - backlog})
		delete(s.tried, m.Name)
		s.Meter.CountPrefillTokens(s.service.Name, s.request.Prompt.Tokens)
	}
	if err != nil {
		s.Log.Info("a prefill failed", "request", s.request.Attempt, "endpoint", m.Name,
			"tokens-ahead", m.PromptTokens, "span", time.Since(began), "error", err)
	}
	return cached, err
}

// recordPrefill stores the timing of a prefill until the endpoint's keeper is next
// called.
func (r *Relay) recordPrefill(m pool.Member, timing keeper.PrefillTiming) {
	timing.Duration -= prefillRoundTrips * r.config.Topology.RoundTrip(m.Zone)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prefillTimings[m.Name] = timing
}

func (r *Relay) takePrefillTiming(name ident.EndpointName) keeper.PrefillTiming {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	timing := r.prefillTimings[name]
	delete(r.prefillTimings, name)
	return timing
}

// countPrefill counts an accepted prefill; the first is not a retry.
func (s *stream) countPrefill() {
	if s.prefills > 0 {
		s.sends++
	}
	s.prefills++
	s.prefilled = true
}
