package agent

import (
	"context"
	"errors"
	"time"

	"crocusstep/engine"
	"crocusstep/fault"
	"crocusstep/queue"
	"crocusstep/wire"
)

const (
	// busyRetry is when to come back to an agent that is draining.
	busyRetry = time.Second
	// stallLimit is how long an engine may take for one token.
	stallLimit = 3 * time.Second
)

// errStalled ends a decode whose engine says nothing more.
var errStalled = errors.New("the engine has stalled")

// turn grants the right to prefill next.
func (a *Agent) turn(ctx context.Context, order wire.ReservePrefillRequest) error {
	if refusal := a.unfit(); refusal != nil {
		return refusal
	}
	wait := time.Until(order.Info.Deadline)
	return a.lanes.Acquire(ctx, gateTicket(order.Info, float64(order.Tokens)), wait, a.config.MaxHold)
}

// reserve grants a decode slot.
func (a *Agent) reserve(ctx context.Context, order wire.ReserveDecodeRequest) error {
	if refusal := a.unfit(); refusal != nil {
		return refusal
	}
	if wait, allowed := a.transfers.allow(order.Info.Attempt, time.Now(), a.config.MaxHold); !allowed {
		return fault.New(fault.EndpointFailed, "KV transfers to the endpoint stall").WithRetryAfter(wait)
	}
	holdFor := min(order.HoldTimeout, a.config.MaxHold)
	ticket := gateTicket(order.Info, 1)
	if order.Info.Suspect {
		if err := a.suspects.Acquire(ctx, ticket, order.MaxWait, holdFor); err != nil {
			return err
		}
	}
	err := a.slots.Acquire(ctx, ticket, order.MaxWait, holdFor)
	if err != nil {
		a.suspects.Release(ticket.Attempt)
	}
	return err
}

// unfit is why the endpoint takes no new work at all, if so. Refusing here
// costs an entry one question; a dead engine found later costs a prefill.
func (a *Agent) unfit() error {
	switch {
	case a.Draining():
		return a.drainingRefusal()
	case a.down.Load():
		return fault.New(fault.EndpointFailed, "the engine is down").WithRetryAfter(busyRetry)
	}
	return nil
}

// release gives a turn or a slot back that is not in use.
func (a *Agent) release(order wire.ReleaseRequest) {
	if a.known.has(order.Attempt) {
		return
	}
	a.lanes.Release(order.Attempt)
	a.slots.Release(order.Attempt)
	a.suspects.Release(order.Attempt)
}

// prefill reads a prompt under a turn.
func (a *Agent) prefill(ctx context.Context, order wire.PrefillRequest) (result engine.PrefillResult, err error) {
	attempt := order.Info.Attempt
	defer fault.Annotate(&err, "prefill %s", attempt)
	if !a.lanes.Confirm(attempt) {
		return result, fault.New(fault.EndpointBusy, "the turn has expired")
	}
	defer a.lanes.Release(attempt)
	a.known.add(attempt)
	started := time.Now()
	result, err = a.engine.Prefill(ctx, engine.PrefillRequest{
		Attempt:   attempt,
		Prompt:    order.Prompt,
		Generated: order.Generated,
		Priority:  order.Info.Priority,
	})
	if err != nil {
		a.forget(attempt)
		return result, a.endpointRefusal(err)
	}
	// The KV cache waits for its import; the engine evicts it by itself.
	a.known.remove(attempt)
	a.costs.observePrefill(result.Tokens-result.CachedTokens, time.Since(started))
	return result, nil
}

// decode generates an answer in a reserved slot and sends it in frames.
func (a *Agent) decode(ctx context.Context, order wire.DecodeRequest, send func(wire.Frame) error) (err error) {
	attempt := order.Info.Attempt
	defer fault.Annotate(&err, "decode %s", attempt)
	if !a.slots.Confirm(attempt) {
		return fault.New(fault.EndpointBusy, "the reservation has expired")
	}
	defer a.slots.Release(attempt)
	defer a.suspects.Release(attempt)
	if order.Info.Suspect && !a.suspects.Confirm(attempt) {
		return fault.New(fault.EndpointBusy, "the reservation has expired")
	}
	a.known.add(attempt)
	defer func() {
		if err == nil {
			a.known.remove(attempt)
			return
		}
		a.forget(attempt)
	}()
	if err := a.importKV(ctx, order); err != nil {
		return err
	}
	return a.generate(ctx, order, send)
}

func (a *Agent) importKV(ctx context.Context, order wire.DecodeRequest) error {
	limit := min(order.TransferTimeout, a.costs.transferLimit(order.Tokens))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	err := a.engine.Import(ctx, engine.ImportRequest{
		Attempt: order.Info.Attempt,
		Source:  order.Source,
		Handle:  order.Handle,
	})
	switch {
	case errors.Is(err, engine.ErrKVEvicted):
		return fault.New(fault.KVLost, "the KV cache is gone")
	case errors.Is(err, context.DeadlineExceeded):
		a.transfers.stalled(time.Now())
		return fault.New(fault.KVLost, "the KV cache did not arrive in time")
	case err != nil:
		return a.endpointRefusal(err)
	}
	a.transfers.arrived()
	a.costs.observeTransfer(order.Tokens, time.Since(started))
	return nil
}

func (a *Agent) generate(ctx context.Context, order wire.DecodeRequest, send func(wire.Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(stallLimit, func() { cancel(errStalled) })
	defer stall.Stop()
	last := time.Now()
	err := a.engine.Decode(ctx, engine.DecodeRequest{
		Attempt:       order.Info.Attempt,
		Priority:      order.Info.Priority,
		StartPosition: order.StartPosition,
		MaxTokens:     order.MaxTokens,
	}, func(token engine.Token) error {
		stall.Reset(stallLimit)
		a.costs.observeStep(time.Since(last))
		last = time.Now()
		return send(a.frame(order.Info, token))
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

func (a *Agent) frame(ticket wire.AttemptInfo, token engine.Token) wire.Frame {
	frame := wire.Frame{
		Request:  ticket.Request,
		Attempt:  ticket.Attempt,
		Kind:     wire.TokenFrame,
		Position: token.Position,
		Text:     token.Text,
	}
	if token.Finish != "" {
		frame.Kind = wire.EndFrame
		frame.Finish = token.Finish
		load := a.load()
		// The attempt's own slot is given back right after this frame.
		load.Free++
		frame.Load = &load
	}
	return frame
}

func (a *Agent) drainingRefusal() *fault.Refusal {
	return fault.New(fault.Draining, "the agent is shutting down").WithRetryAfter(busyRetry)
}

// endpointRefusal turns an engine's error into one that an entry understands.
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

func gateTicket(ticket wire.AttemptInfo, cost float64) queue.Waiter {
	return queue.Waiter{
		Attempt:   ticket.Attempt,
		Workspace: ticket.Workspace,
		Weight:    ticket.Weight,
		Priority:  ticket.Priority,

		GoodputWeight: ticket.GoodputWeight,

		Deadline: ticket.Deadline,
		Cost:     cost,
	}
}
