package agent

import (
	"context"
	"errors"
	"time"

	"crocusstep/engine"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/queue"
	"crocusstep/wire"
)

const (
	// unavailableRetryAfter is the Retry-After while the agent drains or the
	// engine is down.
	unavailableRetryAfter = time.Second
	// minTokenTimeout is the shortest time between two tokens after which a decode ends.
	minTokenTimeout = wire.StreamIdleTimeout
)

// errStalled cancels a decode that has no token for too long.
var errStalled = errors.New("the engine has stalled")

// reservePrefill waits for a prefill slot until the deadline of the attempt.
func (a *Agent) reservePrefill(ctx context.Context, request wire.ReservePrefillRequest) error {
	if refusal := a.unavailableRefusal(); refusal != nil {
		return refusal
	}
	wait := time.Until(request.Info.Deadline)
	return a.prefillSlots.Acquire(ctx, newWaiter(request.Info, float64(request.Tokens)), wait, a.config.MaxHoldTimeout)
}

// reserveDecode waits for a decode slot.
func (a *Agent) reserveDecode(ctx context.Context, request wire.ReserveDecodeRequest) error {
	if refusal := a.unavailableRefusal(); refusal != nil {
		return refusal
	}
	if wait, allowed := a.transferBreaker.allow(request.Info.Attempt, time.Now(), a.config.MaxHoldTimeout); !allowed {
		return fault.New(fault.EndpointFailed, "KV transfers to the endpoint stall").WithRetryAfter(wait)
	}
	holdTimeout := min(request.HoldTimeout, a.config.MaxHoldTimeout)
	waiter := newWaiter(request.Info, 1)
	if request.Info.Suspect {
		if err := a.suspects.Acquire(ctx, waiter, request.MaxWait, holdTimeout); err != nil {
			return err
		}
	}
	err := a.decodeSlots.Acquire(ctx, waiter, request.MaxWait, holdTimeout)
	if err != nil {
		a.suspects.Release(waiter.Attempt)
	}
	return err
}

// unavailableRefusal returns a refusal if the endpoint accepts no new work. A
// refusal of the reservation costs an entry one round trip; an engine that is found
// to be down only later wastes a prefill.
func (a *Agent) unavailableRefusal() error {
	switch {
	case a.Draining():
		return a.drainingRefusal()
	case a.down.Load():
		return fault.New(fault.EndpointFailed, "the engine is down").WithRetryAfter(unavailableRetryAfter)
	}
	return nil
}

// release releases a reservation that is not in use.
func (a *Agent) release(request wire.ReleaseRequest) {
	if a.active.has(request.Attempt) {
		return
	}
	a.prefillSlots.Release(request.Attempt)
	a.decodeSlots.Release(request.Attempt)
	a.suspects.Release(request.Attempt)
}

// prefill computes the KV cache of a prompt under a prefill reservation.
func (a *Agent) prefill(ctx context.Context, request wire.PrefillRequest) (result engine.PrefillResult, err error) {
	attempt := request.Info.Attempt
	defer fault.Annotate(&err, "prefill %s", attempt)
	if !a.prefillSlots.Confirm(attempt) {
		return result, fault.New(fault.EndpointBusy, "the turn has expired")
	}
	a.active.add(attempt)
	// The KV cache stays in the engine until it is imported; the engine evicts it
	// itself.
	defer func() { a.endAttempt(attempt, err, a.prefillSlots) }()
	started := time.Now()
	result, err = a.engine.Prefill(ctx, engine.PrefillRequest{
		Attempt:   attempt,
		Prompt:    request.Prompt,
		Generated: request.Generated,
		Priority:  request.Info.Priority,
	})
	if err != nil {
		return result, a.endpointRefusal(err)
	}
	a.estimates.observePrefill(result.Tokens-result.CachedTokens, time.Since(started))
	return result, nil
}

// decode generates output in a reserved slot and sends it as frames.
func (a *Agent) decode(ctx context.Context, request wire.DecodeRequest, send func(wire.Frame) error) (err error) {
	attempt := request.Info.Attempt
	defer fault.Annotate(&err, "decode %s", attempt)
	if !a.decodeSlots.Confirm(attempt) {
		return fault.New(fault.EndpointBusy, "the reservation has expired")
	}
	if request.Info.Suspect && !a.suspects.Confirm(attempt) {
		a.decodeSlots.Release(attempt)
		return fault.New(fault.EndpointBusy, "the reservation has expired")
	}
	a.active.add(attempt)
	defer func() { a.endAttempt(attempt, err, a.suspects, a.decodeSlots) }()
	if err := a.importKV(ctx, request); err != nil {
		return err
	}
	return a.generate(ctx, request, send)
}

// endAttempt releases the slots of an attempt. If it has failed, the engine frees its memory first;
// the response doesn't wait for that, as the engine may be silent.
func (a *Agent) endAttempt(attempt ident.AttemptID, err error, slots ...*queue.Limiter) {
	release := func() {
		a.active.remove(attempt)
		for _, l := range slots {
			l.Release(attempt)
		}
	}
	cancelAndRelease := func() {
		a.cancelAttempt(attempt)
		release()
	}
	if err == nil || !a.tasks.Go(cancelAndRelease) {
		release()
	}
}

func (a *Agent) importKV(ctx context.Context, request wire.DecodeRequest) error {
	timeout := min(request.TransferTimeout, a.estimates.transferTimeout(request.Tokens))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	err := a.engine.Import(ctx, engine.ImportRequest{
		Attempt: request.Info.Attempt,
		Source:  request.Source,
		Handle:  request.Handle,
	})
	switch {
	case errors.Is(err, engine.ErrKVEvicted):
		return fault.New(fault.KVLost, "the KV cache is gone")
	case errors.Is(err, context.DeadlineExceeded):
		a.transferBreaker.recordStall(time.Now())
		return fault.New(fault.KVLost, "the KV cache did not arrive in time")
	case err != nil:
		return a.endpointRefusal(err)
	}
	a.transferBreaker.recordSuccess()
	a.estimates.observeTransfer(request.Tokens, time.Since(started))
	return nil
}

func (a *Agent) generate(ctx context.Context, request wire.DecodeRequest, send func(wire.Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	tokenTimeout := max(minTokenTimeout, request.TokenTimeout)
	stallTimer := time.AfterFunc(tokenTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	lastToken := time.Now()
	err := a.engine.Decode(ctx, engine.DecodeRequest{
		Attempt:       request.Info.Attempt,
		Priority:      request.Info.Priority,
		StartPosition: request.StartPosition,
		MaxTokens:     request.MaxTokens,
	}, func(token engine.Token) error {
		stallTimer.Reset(tokenTimeout)
		a.estimates.observeStep(time.Since(lastToken))
		lastToken = time.Now()
		return send(a.frame(request.Info, token))
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errStalled):
		return fault.New(fault.EndpointFailed, "%v", errStalled)
	case ctx.Err() != nil:
		return fault.New(fault.Cancelled, "the entry is gone")
	}
	return a.endpointRefusal(err)
}

func (a *Agent) frame(info wire.AttemptInfo, token engine.Token) wire.Frame {
	frame := wire.Frame{
		Request:  info.Request,
		Attempt:  info.Attempt,
		Kind:     wire.TokenFrame,
		Position: token.Position,
		Text:     token.Text,
	}
	if token.Finish != "" {
		frame.Kind = wire.EndFrame
		frame.Finish = token.Finish
		load := a.load()
		// The attempt's own slot is released right after this frame.
		load.FreeSlots++
		frame.Load = &load
	}
	return frame
}

func (a *Agent) drainingRefusal() *fault.Refusal {
	return fault.New(fault.Draining, "the agent is shutting down").WithRetryAfter(unavailableRetryAfter)
}

// endpointRefusal converts an engine error to a refusal for the entry.
func (a *Agent) endpointRefusal(err error) error {
	if errors.Is(err, engine.ErrNoSlot) {
		return fault.New(fault.EndpointBusy, "the engine has no free slot")
	}
	if errors.Is(err, engine.ErrKVEvicted) {
		return fault.New(fault.KVLost, "the KV cache is gone")
	}
	if engine.IsDown(err) {
		a.down.Store(true)
	}
	if engine.IsCrash(err) {
		return fault.New(fault.EndpointCrashed, "%v", err)
	}
	return fault.New(fault.EndpointFailed, "%v", err)
}

func newWaiter(info wire.AttemptInfo, cost float64) queue.Waiter {
	return queue.Waiter{
		Attempt:   info.Attempt,
		Workspace: info.Workspace,
		Weight:    info.Weight,
		Priority:  info.Priority,

		GoodputWeight: info.GoodputWeight,

		Deadline: info.Deadline,
		Cost:     cost,
	}
}
