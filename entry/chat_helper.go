package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"crocusstep/answer"
	"crocusstep/blame"
	"crocusstep/burn"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/route"
	"crocusstep/spec"
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
	// leave ends the request's part among those that wait for a first token.
	leave func()
	// spent is the prompt tokens that the request has cost.
	spent burn.Sample
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
		c.close(fault.New(fault.Overloaded, "%d requests wait already", c.document.Limits.Waiting).After(c.spread(0)))
		return
	}
	c.leave = sync.OnceFunc(func() { c.leaveWaiting(service) })
	defer c.leave()
	c.patience = time.AfterFunc(time.Until(c.arrived.Add(c.document.Targets.Patience.Std())), func() { cancel(errPatience) })
	defer c.patience.Stop()
	c.budget(service).Deposit(c.document.Retries.BudgetPercent)
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
		if err == nil {
			return nil
		}
		// A crash counts even if its caller has left, as it may come again.
		if err := c.countCrash(ctx); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		c.Log.Info("an attempt failed", "request", c.request, "tried", tried, "error", err)
		if !mayRetry(err) || tried >= c.document.Retries.Attempts || !c.budget(c.document.Service).TryAcquire() {
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
		c.spent.Wasted = c.spent.Prefilled
		c.sink.fail(refusal)
	}
	sample := c.spent
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
