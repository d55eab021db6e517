package entry

import (
	"context"
	"errors"
	"time"

	"crocusstep/answer"
	"crocusstep/blame"
	"crocusstep/burn"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/route"
	"crocusstep/spec"
	"crocusstep/wire"
)

// errPatience ends a request whose first token did not come in time.
var errPatience = errors.New("the caller's patience is over")

// chatRun serves one completions request over as many attempts as it takes.
type chatRun struct {
	*Entry
	request   ident.RequestID
	document  spec.Document
	prompt    string
	tokens    ident.TokenCount
	maxTokens ident.TokenCount
	arrived   time.Time
	sink      chatSink
	assembler *answer.Assembler
	// started is true once a prefill was ordered: from then on a refusal may
	// not say that nothing ran.
	started     bool
	fingerprint blame.Fingerprint
	// suspected is true while the request may have crashed an endpoint.
	suspected bool
	// crashed is the endpoint that went down in the newest attempt, if any.
	crashed ident.EndpointName
	// failed holds the endpoints that have failed this request.
	failed map[ident.EndpointName]bool
	work   route.Work
	// first and last are the times of the first and the newest piece.
	first time.Time
	last  time.Time
	// patience ends the wait for the first piece.
	patience *time.Timer
	prefill  burn.Sample
}

func newChatRun(e *Entry, request ident.RequestID, document spec.Document, prompt string, tokens, maxTokens ident.TokenCount, arrived time.Time) *chatRun {
	return &chatRun{
		Entry:     e,
		request:   request,
		document:  document,
		prompt:    prompt,
		tokens:    tokens,
		maxTokens: maxTokens,
		arrived:   arrived,
		assembler: answer.NewAssembler(request),
		failed:    map[ident.EndpointName]bool{},
		work:      route.Work{Tokens: tokens, Cached: e.affinity.Cached(prompt)},

		fingerprint: blame.FingerprintOf(document.Service, prompt),
	}
}

// serve runs the request and closes its answer, whole or not.
func (c *chatRun) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	service := c.document.Service
	if !c.enterWaiting(service, c.document.Limits.Waiting) {
		c.close(fault.New(fault.Overloaded, "%d requests wait already", c.document.Limits.Waiting).After(time.Second))
		return
	}
	defer c.leaveWaiting(service)
	c.patience = time.AfterFunc(time.Until(c.arrived.Add(c.document.Targets.Patience.Std())), func() { cancel(errPatience) })
	defer c.patience.Stop()
	c.budget(service).Earn(c.document.Retries.BudgetPercent)
	err := c.attempts(ctx)
	if err == nil {
		err = c.sink.end(c.assembler, c.tokens)
	}
	if err == nil {
		c.close(nil)
		return
	}
	c.close(c.refusal(ctx, err))
}

// attempts tries until the answer is whole or nothing more may be tried.
func (c *chatRun) attempts(ctx context.Context) error {
	for tried := 1; ; tried++ {
		verdict := c.suspects.Judge(c.fingerprint)
		if verdict == blame.Blocked {
			return fault.New(fault.RequestBlocked, "the request has crashed endpoints and is blocked; ask the operators about %s", c.fingerprint)
		}
		c.suspected = verdict == blame.Suspected
		err := c.attempt(ctx)
		if err == nil && c.suspected {
			c.tasks.Go(func() { c.suspects.Clear(ctx, c.fingerprint) })
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		if err := c.countCrash(ctx); err != nil {
			return err
		}
		c.Log.Info("an attempt failed", "request", c.request, "tried", tried, "error", err)
		if !mayRetry(err) || tried >= c.document.Retries.Attempts || !c.budget(c.document.Service).Take() {
			return err
		}
	}
}

// countCrash records durably that an endpoint crashed with this request aboard,
// if one did; without the record there is no further attempt.
func (c *chatRun) countCrash(ctx context.Context) error {
	if c.crashed == "" {
		return nil
	}
	crash := blame.Crash{Endpoint: c.crashed, At: time.Now().UTC(), Request: c.request}
	c.crashed = ""
	_, err := c.suspects.Count(ctx, c.document.Service, c.fingerprint, crash)
	if err != nil {
		c.Log.Warn("a crash was not counted", "request", c.request, "error", err)
		return fault.NewUnknown(fault.EndpointFailed, "an endpoint crashed and that could not be recorded")
	}
	return nil
}

// mayRetry reports whether another endpoint could do better. Reading requests
// are idempotent, so only a verdict on the request itself is final.
func mayRetry(err error) bool {
	for _, code := range []fault.Code{fault.TargetUnreachable, fault.NoEndpoint, fault.Overloaded, fault.RequestBlocked, fault.Cancelled} {
		if fault.Is(err, code) {
			return false
		}
	}
	return true
}

// refusal is what the caller is told of a failure.
func (c *chatRun) refusal(ctx context.Context, err error) *fault.Refusal {
	if errors.Is(context.Cause(ctx), errPatience) {
		return c.outcome(fault.New(fault.PatienceExceeded, "no token within %s", c.document.Targets.Patience).After(c.spread(0)))
	}
	refusal := fault.AsRefusal(err)
	if refusal.Code == fault.Internal {
		refusal = fault.New(fault.EndpointFailed, "%v", err)
	}
	if refusal.RetryAfter > 0 || mayRetry(err) {
		refusal = refusal.After(c.spread(refusal.RetryAfter))
	}
	return c.outcome(refusal)
}

// outcome makes the refusal's outcome true.
func (c *chatRun) outcome(refusal *fault.Refusal) *fault.Refusal {
	told := *refusal
	told.Outcome = fault.NotRun
	if c.started {
		told.Outcome = fault.Unknown
	}
	return &told
}

// close ends the answer and counts the request.
func (c *chatRun) close(refusal *fault.Refusal) {
	outcome := "answered"
	within := refusal == nil && c.withinTargets()
	if refusal != nil {
		outcome = string(refusal.Code)
		c.prefill.Wasted = c.prefill.Prefilled
		c.sink.fail(refusal)
	}
	sample := c.prefill
	sample.Requests = 1
	if within {
		sample.Within = 1
	}
	service := c.document.Service
	c.burn.Record(service, c.document.Targets.ObjectivePercent, sample, time.Now())
	c.Meter.Request(service, outcome, within)
	c.Meter.WastedPrefill(service, sample.Wasted)
	c.Meter.WholeAnswer(service, time.Since(c.arrived))
	c.Log.Info("request ended", "request", c.request, "service", service, "outcome", outcome,
		"within", within, "pieces", c.assembler.Next(), "first", c.first.Sub(c.arrived))
}

// withinTargets reports whether the first token and the mean time between
// tokens met the service's targets.
func (c *chatRun) withinTargets() bool {
	if c.first.IsZero() {
		return true
	}
	targets := c.document.Targets
	if c.first.Sub(c.arrived) > targets.FirstToken.Std() {
		return false
	}
	gaps := int(c.assembler.Next()) - 1
	return gaps < 1 || c.last.Sub(c.first)/time.Duration(gaps) <= targets.BetweenTokens.Std()
}

// attempt reserves a pair, prefills and decodes once.
func (c *chatRun) attempt(ctx context.Context) error {
	ticket := wire.Ticket{
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
		c.prefill.Wasted += p.prefilled
	}
	return err
}

func (c *chatRun) runPair(ctx context.Context, ticket wire.Ticket, p *pair) error {
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

func (c *chatRun) prefillAt(ctx context.Context, ticket wire.Ticket, p *pair) (wire.PrefillReply, error) {
	c.started = true
	p.prefilled = c.tokens
	c.prefill.Prefilled += c.tokens
	c.Meter.Prefill(c.document.Service, c.tokens)
	reply, err := wire.Call[wire.PrefillReply](ctx, c.config.Peers, p.prefill.Instance.Address, wire.PrefillPath, wire.PrefillOrder{
		Ticket:    ticket,
		Prompt:    c.prompt,
		Generated: c.assembler.Text(),
	})
	p.prefillEnded()
	if err := c.judge(ctx, p.prefill, reply.Load, reply.Fault, err); err != nil {
		return reply, err
	}
	c.affinity.Learn(c.prompt, p.prefill.Instance.Endpoint)
	return reply, nil
}

func (c *chatRun) decodeAt(ctx context.Context, ticket wire.Ticket, p *pair, prefilled wire.PrefillReply) error {
	order := wire.DecodeOrder{
		Ticket:          ticket,
		Source:          prefilled.Source,
		Handle:          prefilled.Result.Handle,
		Tokens:          prefilled.Result.Tokens,
		From:            c.assembler.Next(),
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
		c.blameEndpoint(m, errors.Is(err, wire.ErrLost))
		return err
	case refusal == nil:
		c.roster.Succeeded(m.Instance.Endpoint)
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
