package relay

import (
	"context"
	"errors"
	"time"

	"crocusstep/admit"
	"crocusstep/client"
	"crocusstep/fault"
	"crocusstep/keeper"
	"crocusstep/pool"
)

// releaseTimeout bounds the release of a reservation or a cached prompt.
const releaseTimeout = time.Second

// errNoRetry means that the request may not be sent again for now.
var errNoRetry = errors.New("no request may be sent once more")

// serve serves a streaming request. It reserves memory at a decode endpoint
// first, so that no prefill is wasted, then prefills the prompt and forwards the
// output.
func (s *stream) serve(ctx context.Context) *fault.Refusal {
	e := s.exchange
	refusal := e.noEndpoint()
	defer s.returnPrepaidSends()
	defer s.dropNext()
	defer func() {
		if s.endOrigin != nil {
			s.endOrigin()
		}
	}()
	if s.resumed {
		if refusal := s.pinVersion(ctx); refusal != nil {
			return e.finalRefusal(ctx, refusal)
		}
	}
	for tries := 0; s.next != nil || tries < maxSends && !s.sequence.lost && e.mayRetry(ctx); tries++ {
		err := s.attempt(ctx)
		if err == nil {
			return nil
		}
		e.Log.Info("a stream attempt failed", "request", e.request.Attempt, "sends", e.sends, "ran", e.executions,
			"started", e.started, "left", e.timeLeft(), "error", err)
		var final *fault.Refusal
		if errors.As(err, &final) {
			refusal = final
			break
		}
		refusal = fault.New(fault.EndpointFailed, "%s failed", e.endpoint).WithRetryAfter(e.retryAfterJitter(minRetryAfter))
		if errors.Is(err, errNoRetry) {
			break
		}
	}
	if e.started && callerLeft(ctx) {
		return fault.NewUnknown(fault.Cancelled, "the caller left in mid-stream")
	}
	if e.started {
		// The header was sent already: only an aborted connection marks the response as
		// incomplete.
		return fault.NewUnknown(fault.ResponseTruncated, "the stream broke off: %s", refusal.Detail)
	}
	return e.finalRefusal(ctx, refusal)
}

// reservation is memory reserved at a decode endpoint.
type reservation struct {
	member pool.Member
	// confirmed is set if the keeper granted the reservation.
	confirmed bool
	grant     keeper.GrantID
	began     time.Time
	// used is set once the endpoint executes the request, which then owns the memory.
	used bool
	// outcome is the outcome of the exchange for the endpoint.
	outcome pool.Outcome
	end     func(pool.Outcome, time.Duration)
	// try is the request sent to the endpoint, nil before.
	try *try
}

// dropNext ends a next try that is not made.
func (s *stream) dropNext() {
	if s.next == nil {
		return
	}
	t := s.next.try
	t.abort()
	if t.accepted == nil {
		t.accepted = (<-t.result).response
	}
	if t.accepted != nil {
		_ = t.accepted.Body.Close()
	}
	s.endReservation(s.next)
	s.next = nil
}

// endReservation reports the outcome to the pool and releases the memory if it was not
// used.
func (s *stream) endReservation(res *reservation) {
	res.end(res.outcome, time.Since(res.began))
	if res.confirmed && !res.used {
		s.release(res.member, keeper.ReleaseRequest{Attempt: s.request.Attempt, Grant: res.grant})
	}
}

// disaggregated reports whether the request goes to prefill and decode engines.
func (e *exchange) disaggregated() bool { return e.request.Prompt != nil && e.service.Engine != nil }

// attempt makes one attempt at serving the request.
func (s *stream) attempt(ctx context.Context) error {
	s.tryEvents = 0
	if s.next != nil {
		return s.continueAtNext(ctx)
	}
	if refusal := s.barred(); refusal != nil {
		return refusal
	}
	if !s.disaggregated() {
		return s.attemptPlain(ctx)
	}
	began := time.Now()
	res, err := s.reserve(ctx)
	if err != nil {
		return err
	}
	defer func() { s.endReservation(res) }()
	if refusal := s.refuseStreamBeforeEnd(); refusal != nil {
		return refusal
	}
	reserved := time.Now()
	var cached *CachedPrompt
	if cached, err = s.prefillFor(ctx, res, s.prefillWindow()); err != nil {
		if errors.Is(err, errNoPrefillSlot) {
			return s.refuseNoPrefillSlot()
		}
		return err
	}
	prefilled := time.Now()
	response, err := s.start(ctx, res, cached)
	if next := s.reserveElsewhere(ctx, err, cached); next != nil {
		s.endReservation(res)
		res = next
		response, err = s.start(ctx, res, cached)
	}
	s.Log.Info("stream begun", "request", s.request.Attempt, "decode", res.member.Name, "granted", res.confirmed,
		"place-wait", reserved.Sub(began), "reading", prefilled.Sub(reserved), "read-apart", cached != nil, "error", err)
	if err != nil {
		if errors.Is(err, client.ErrNotSent) || errors.Is(err, errNotExecuted) {
			s.freePrompt(cached)
		}
		return err
	}
	return s.finish(ctx, res, response)
}

// continueAtNext goes on at the endpoint that the stream has moved to.
func (s *stream) continueAtNext(ctx context.Context) error {
	res := s.next
	s.next = nil
	defer func() { s.endReservation(res) }()
	response, err := s.awaitResponse(ctx, res)
	if err != nil {
		if errors.Is(err, client.ErrNotSent) || errors.Is(err, errNotExecuted) {
			s.freePrompt(res.try.cached)
		}
		return err
	}
	return s.finish(ctx, res, response)
}

// prefillFor has the prompt prefilled for a decode endpoint, unless that is to do so itself.
func (s *stream) prefillFor(ctx context.Context, res *reservation, window time.Duration) (*CachedPrompt, error) {
	if res.member.Stage != pool.Decode {
		return nil, nil
	}
	if (s.started || s.hasMoved) && s.sends+1 == maxSends {
		// One send is left, for the decode endpoint.
		s.awaitLocalPrefill(ctx, res, s.request.Prompt.Tokens+s.resumeTokens())
		return nil, nil
	}
	s.awaitLocalPrefill(ctx, res, s.resumeTokens())
	return s.prefill(ctx, res, window)
}

// refuseNoPrefillSlot refuses a request whose prompt no engine can prefill in time.
func (s *stream) refuseNoPrefillSlot() error {
	s.Log.Info("no turn in time", "request", s.request.Attempt, "tokens", s.request.Prompt.Tokens, "spent", s.earlierWait)
	return fault.New(fault.TargetUnreachable, "%s", errNoPrefillSlot).WithRetryAfter(s.retryAfterWait(maxSlotWait))
}

// attemptPlain makes one attempt at an endpoint of a plain service.
func (s *stream) attemptPlain(ctx context.Context) error {
	m, refusal := s.pickEndpoint(ctx)
	if refusal != nil {
		return refusal
	}
	s.tried[m.Name] = true
	res := &reservation{member: m, began: time.Now(), end: s.config.Pool.Begin(m.Endpoint, 0)}
	defer func() { s.endReservation(res) }()
	response, err := s.start(ctx, res, nil)
	if err != nil {
		return err
	}
	return s.finish(ctx, res, response)
}

// finish forwards the response to its end.
func (s *stream) finish(ctx context.Context, res *reservation, response *Response) error {
	defer res.try.abort()
	defer func() { _ = response.Body.Close() }()
	stop := s.watchForStall(ctx, s.executions, res.try.abort)
	err := s.forward(response)
	stop()
	s.recordTry(ctx, res, err)
	if err != nil && s.next == nil {
		s.recordCrash(ctx, errors.Join(client.ErrResponseLost, err))
	}
	return err
}

// reserveElsewhere reserves memory at another decode endpoint if the first one did not
// execute the request and the prompt is still cached.
func (s *stream) reserveElsewhere(ctx context.Context, err error, cached *CachedPrompt) *reservation {
	if s.next != nil || err == nil || cached == nil || !errors.Is(err, client.ErrNotSent) && !errors.Is(err, errNotExecuted) {
		return nil
	}
	if errors.Is(err, errNoRetry) || s.barred() != nil || s.refuseStreamBeforeEnd() != nil {
		return nil
	}
	s.tried[s.endpoint] = true
	candidates := s.decodeCandidates(ctx)
	for _, m := range candidates[:min(maxDecodeTries, len(candidates))] {
		if time.Since(cached.PrefilledAt) > s.service.Engine.HandleTTL/2 {
			return nil
		}
		if _, res := s.tryReserve(ctx, m, 0, admit.Begun); res != nil {
			return res
		}
	}
	return nil
}

// freePrompt discards a cached prompt that will not be used.
func (s *stream) freePrompt(cached *CachedPrompt) {
	if cached == nil {
		return
	}
	s.Meter.CountWastedPrefillTokens(s.service.Name, s.request.Prompt.Tokens)
	if !s.config.Pool.Usable(cached.Endpoint) {
		s.Log.Info("a cached prompt is left to expire", "request", s.request.Attempt, "endpoint", cached.Endpoint.Name)
		return
	}
	s.config.Pool.ChargePermit(cached.Endpoint)
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := s.config.Endpoints.Free(ctx, cached); err != nil {
			s.Log.Info("a cached prompt was not freed", "request", s.request.Attempt, "endpoint", cached.Endpoint.Name, "error", err)
		}
	})
}

func (r *Relay) release(m pool.Member, request keeper.ReleaseRequest) {
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.config.Keepers.Release(ctx, m.Address, request); err != nil {
			r.Log.Info("a reservation was not released", "request", request.Attempt, "endpoint", m.Name, "error", err)
		}
	})
}
