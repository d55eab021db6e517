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

// runAttempt reserves capacity, prefills and decodes once.
func (c *chatExchange) runAttempt(ctx context.Context) error {
	info := wire.AttemptInfo{
		GoodputWeight: c.document.Goals.GoodputWeight,
		Suspect:       c.suspected,
		Request:       c.request,
		Attempt:       ident.NewAttemptID(),
		Service:       c.document.Service,
		Workspace:     c.document.Workspace,
		Weight:        c.document.Weight,
		Priority:      c.document.Priority,
	}
	c.assembler.StartAttempt(info.Attempt)
	r, err := c.reserve(ctx, info)
	if err != nil {
		return err
	}
	defer r.release()
	tokensBefore := c.assembler.Next()
	err = c.prefillAndDecode(ctx, info, r)
	if err != nil && c.assembler.Next() == tokensBefore {
		c.prefillCounts.WastedTokens += r.prefillTokens
	}
	return err
}

func (c *chatExchange) prefillAndDecode(ctx context.Context, info wire.AttemptInfo, r *reservation) error {
	response, err := c.runPrefill(ctx, info, r)
	if err != nil {
		return err
	}
	r.prefillReleased = true
	if err := c.runDecode(ctx, info, r, response); err != nil {
		return err
	}
	r.decodeReleased = true
	return nil
}

func (c *chatExchange) runPrefill(ctx context.Context, info wire.AttemptInfo, r *reservation) (wire.PrefillResponse, error) {
	if refusal := c.refuseUnsent(); refusal != nil {
		return wire.PrefillResponse{}, refusal
	}
	c.prefillStarted = true
	r.prefillTokens = c.tokens
	c.prefillCounts.PrefilledTokens += c.tokens
	c.Meter.CountPrefillTokens(c.document.Service, c.tokens)
	response, err := wire.Call[wire.PrefillResponse](ctx, c.config.Peers, r.prefill.Instance.Address, wire.PrefillPath, wire.PrefillRequest{
		Info:      info,
		Prompt:    c.prompt,
		Generated: c.assembler.Text(),
	})
	r.prefillDone()
	if err := c.checkResponse(ctx, r.prefill, response.Load, response.Fault, err); err != nil {
		return response, err
	}
	c.roster.RecordSuccess(r.prefill.Instance.Endpoint)
	c.affinity.Record(c.prompt, r.prefill.Instance.Endpoint)
	return response, nil
}

func (c *chatExchange) runDecode(ctx context.Context, info wire.AttemptInfo, r *reservation, prefillResponse wire.PrefillResponse) error {
	decodeRequest := wire.DecodeRequest{
		Info:            info,
		Source:          prefillResponse.Source,
		Handle:          prefillResponse.Result.Handle,
		Tokens:          prefillResponse.Result.Tokens,
		StartPosition:   c.assembler.Next(),
		MaxTokens:       c.maxTokens,
		TransferTimeout: c.config.TransferTimeout,
		TokenTimeout:    c.document.Targets.Patience.Std(),
	}
	var lastFrame wire.Frame
	var writeError, silence error
	// The first token also waits for the transfer.
	tokenDue := time.Now().Add(c.config.TransferTimeout + wire.StreamIdleTimeout)
	err := c.config.Peers.Stream(ctx, r.decode.Instance.Address, decodeRequest, func(frame wire.Frame) error {
		lastFrame = frame
		if frame.Kind == wire.KeepAliveFrame && time.Now().After(tokenDue) {
			silence = c.leaveSilent()
			return silence
		}
		if frame.Kind == wire.TokenFrame {
			tokenDue = time.Now().Add(wire.StreamIdleTimeout)
		}
		writeError = c.forwardFrame(frame)
		return writeError
	})
	if silence != nil {
		c.recordFailure(r.decode, false)
		return silence
	}
	if writeError != nil && !errors.Is(writeError, answer.ErrGap) && !errors.Is(writeError, answer.ErrWrongAttempt) {
		return fault.NewUnknown(fault.Cancelled, "the caller takes no more: %v", writeError)
	}
	var load wire.Load
	if lastFrame.Load != nil {
		load = *lastFrame.Load
	}
	if err := c.checkResponse(ctx, r.decode, load, lastFrame.Fault, err); err != nil {
		return err
	}
	if c.assembler.FinishReason() == "" {
		return fault.NewUnknown(fault.EndpointFailed, "the stream ended without its end frame")
	}
	// Only finished work proves that an endpoint is healthy; a granted
	// reservation doesn't.
	c.roster.RecordSuccess(r.decode.Instance.Endpoint)
	return nil
}

// leaveSilent returns an error once the request may be retried elsewhere. Until then it stays with an
// engine that sends no tokens and may go on, unless the entry stops before the output ends then.
func (c *chatExchange) leaveSilent() error {
	latestEnd := time.Now().Add(c.document.Targets.Patience.Std() + c.outputTime(c.maxTokens-c.assembler.Next()))
	if !c.grantRetry() && c.refuseBeforeEnd(latestEnd) == nil {
		return nil
	}
	return fault.New(fault.EndpointFailed, "the engine sent no token for %s", wire.StreamIdleTimeout)
}

// forwardFrame writes a frame's token to the caller.
func (c *chatExchange) forwardFrame(frame wire.Frame) error {
	text, err := c.assembler.Accept(frame)
	if err != nil || text == "" {
		return err
	}
	c.observeToken(time.Now())
	// The time that the caller takes to read doesn't count.
	c.tokenTimer.Stop()
	defer c.tokenTimer.Reset(answerWithin(c.document.Targets))
	return c.writer.writeToken(text)
}

func (c *chatExchange) observeToken(now time.Time) {
	service := c.document.Service
	if c.firstTokenAt.IsZero() {
		c.doneWaiting()
		c.firstTokenAt = now
		c.Meter.RecordTimeToFirstToken(service, now.Sub(c.arrived))
	} else {
		gap := now.Sub(c.lastTokenAt)
		c.longestGap = max(c.longestGap, gap)
		c.Meter.RecordInterTokenLatency(service, gap)
	}
	c.lastTokenAt = now
}

// checkResponse returns a request's failure as an error and records what the
// response shows about the endpoint's health and load. A cancelled request is
// no evidence about its endpoint's health.
func (c *chatExchange) checkResponse(ctx context.Context, m roster.Member, load wire.Load, refusal *fault.Refusal, err error) error {
	if load.Endpoint != "" {
		c.roster.UpdateLoad(load)
	}
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		c.recordFailure(m, errors.Is(err, wire.ErrResponseLost) && !errors.Is(err, wire.ErrSilent))
		return err
	case refusal == nil:
		return nil
	case refusal.Code == fault.EndpointCrashed:
		c.recordFailure(m, true)
	case refusal.Code == fault.EndpointFailed, refusal.Code == fault.KVLost:
		c.recordFailure(m, false)
	}
	return refusal
}

// recordFailure excludes the endpoint from this request where possible, and
// reports the failure to the roster, which may suspend the endpoint for all
// requests.
func (c *chatExchange) recordFailure(m roster.Member, crashed bool) {
	endpoint := m.Instance.Endpoint
	c.roster.RecordFailure(endpoint)
	c.failedEndpoints[endpoint] = true
	if crashed {
		c.crashedEndpoint = endpoint
	}
}
