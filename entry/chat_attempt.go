package entry

import (
	"context"
	"errors"
	"time"

	"crocusstep/answer"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/wire"
)

// attempt reserves a pair, prefills and decodes once.
func (c *chatRun) attempt(ctx context.Context) error {
	ticket := wire.AttemptInfo{
		GoodputWeight: c.document.Goals.GoodputWeight,
		Suspect:       c.suspected,
		Request:       c.request,
		Attempt:       ident.NewAttemptID(),
		Service:       c.document.Service,
		Workspace:     c.document.Workspace,
		Weight:        c.document.Weight,
		Priority:      c.document.Priority,
	}
	c.assembler.Begin(ticket.Attempt)
	p, err := c.reservePair(ctx, ticket)
	if err != nil {
		return err
	}
	defer p.release()
	before := c.assembler.Next()
	err = c.runPair(ctx, ticket, p)
	if err != nil && c.assembler.Next() == before {
		c.spent.Wasted += p.prefilled
	}
	return err
}

func (c *chatRun) runPair(ctx context.Context, ticket wire.AttemptInfo, p *pair) error {
	reply, err := c.prefillAt(ctx, ticket, p)
	if err != nil {
		return err
	}
	p.turnSpent = true
	if err := c.decodeAt(ctx, ticket, p, reply); err != nil {
		return err
	}
	p.slotSpent = true
	return nil
}

func (c *chatRun) prefillAt(ctx context.Context, ticket wire.AttemptInfo, p *pair) (wire.PrefillResponse, error) {
	c.started = true
	p.prefilled = c.tokens
	c.spent.Prefilled += c.tokens
	c.Meter.Prefill(c.document.Service, c.tokens)
	reply, err := wire.Call[wire.PrefillResponse](ctx, c.config.Peers, p.prefill.Instance.Address, wire.PrefillPath, wire.PrefillRequest{
		Info:      ticket,
		Prompt:    c.prompt,
		Generated: c.assembler.Text(),
	})
	p.prefillEnded()
	if err := c.judge(ctx, p.prefill, reply.Load, reply.Fault, err); err != nil {
		return reply, err
	}
	c.roster.Succeeded(p.prefill.Instance.Endpoint)
	c.affinity.Learn(c.prompt, p.prefill.Instance.Endpoint)
	return reply, nil
}

func (c *chatRun) decodeAt(ctx context.Context, ticket wire.AttemptInfo, p *pair, prefilled wire.PrefillResponse) error {
	order := wire.DecodeRequest{
		Info:            ticket,
		Source:          prefilled.Source,
		Handle:          prefilled.Result.Handle,
		Tokens:          prefilled.Result.Tokens,
		StartPosition:   c.assembler.Next(),
		MaxTokens:       c.maxTokens,
		TransferTimeout: c.config.TransferTimeout,
	}
	var closing wire.Frame
	var sinkError error
	err := c.config.Peers.Stream(ctx, p.decode.Instance.Address, order, func(frame wire.Frame) error {
		closing = frame
		sinkError = c.receive(frame)
		return sinkError
	})
	if sinkError != nil && !errors.Is(sinkError, answer.ErrGap) && !errors.Is(sinkError, answer.ErrForeign) {
		return fault.NewUnknown(fault.Cancelled, "the caller takes no more: %v", sinkError)
	}
	var load wire.Load
	if closing.Load != nil {
		load = *closing.Load
	}
	if err := c.judge(ctx, p.decode, load, closing.Fault, err); err != nil {
		return err
	}
	if c.assembler.Finish() == "" {
		return fault.NewUnknown(fault.EndpointFailed, "the stream ended without its end frame")
	}
	// Only work that was done says that an endpoint is well; a place that was
	// granted does not.
	c.roster.Succeeded(p.decode.Instance.Endpoint)
	return nil
}

// receive hands one frame to the caller.
func (c *chatRun) receive(frame wire.Frame) error {
	text, err := c.assembler.Accept(frame)
	if err != nil || text == "" {
		return err
	}
	c.observePiece(time.Now())
	return c.sink.piece(text)
}

func (c *chatRun) observePiece(now time.Time) {
	service := c.document.Service
	if c.first.IsZero() {
		c.patience.Stop()
		c.leave()
		c.first = now
		c.Meter.FirstToken(service, now.Sub(c.arrived))
	} else {
		c.Meter.BetweenTokens(service, now.Sub(c.last))
	}
	c.last = now
}

// judge turns an order's result into an error and keeps what it says of the
// endpoint's health and load. A request that was cancelled says nothing.
func (c *chatRun) judge(ctx context.Context, m roster.Member, load wire.Load, refusal *fault.Refusal, err error) error {
	if load.Endpoint != "" {
		c.roster.Observe(load)
	}
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		c.blameEndpoint(m, errors.Is(err, wire.ErrResponseLost))
		return err
	case refusal == nil:
		return nil
	case refusal.Code == fault.EndpointCrashed:
		c.blameEndpoint(m, true)
	case refusal.Code == fault.EndpointFailed, refusal.Code == fault.KVLost:
		c.blameEndpoint(m, false)
	}
	return refusal
}

// blameEndpoint keeps this request away from an endpoint that failed it, and
// others for a while.
func (c *chatRun) blameEndpoint(m roster.Member, crashed bool) {
	endpoint := m.Instance.Endpoint
	c.roster.Failed(endpoint)
	c.failed[endpoint] = true
	if crashed {
		c.crashed = endpoint
	}
}
