package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"crocusstep/answer"
	"crocusstep/burn"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/poison"
	"crocusstep/route"
	"crocusstep/spec"
)

// errTokenTimeout cancels a request whose first or next token did not arrive within the service's
// patience.
var errTokenTimeout = errors.New("no token within the patience of the service")

// chatExchange handles one chat completion request, including its retries.
type chatExchange struct {
	*Entry
	request   ident.RequestID
	document  spec.Document
	prompt    string
	tokens    ident.TokenCount
	maxTokens ident.TokenCount
	arrived   time.Time
	writer    chatWriter
	assembler *answer.Assembler
	// prefillStarted is true once a prefill was requested: from then on a
	// refusal must not claim that nothing ran.
	prefillStarted bool
	fingerprint    poison.Fingerprint
	// attempts counts the attempts; retryGranted is true once another one is allowed.
	attempts     int
	retryGranted bool
	// suspected is true while the request is suspected of crashing endpoints.
	suspected bool
	// crashedEndpoint is the endpoint that crashed during the latest attempt,
	// if any.
	crashedEndpoint ident.EndpointName
	// failedEndpoints holds the endpoints that failed this request.
	failedEndpoints map[ident.EndpointName]bool
	work            route.PrefillWork
	// firstTokenAt and lastTokenAt are when the first and the latest token
	// arrived.
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// longestGap is the longest time between two tokens.
	longestGap time.Duration
	// tokenTimer cancels the request if no token arrives in time.
	tokenTimer *time.Timer
	// doneWaiting removes the request from the count of those that wait for a
	// first token.
	doneWaiting func()
	// prefillCounts counts the prompt tokens prefilled for the request and those
	// of them wasted.
	prefillCounts burn.Sample
}

func newChatExchange(e *Entry, request ident.RequestID, document spec.Document, prompt string, tokens, maxTokens ident.TokenCount, arrived time.Time) *chatExchange {
	return &chatExchange{
		Entry:           e,
		request:         request,
		document:        document,
		prompt:          prompt,
		tokens:          tokens,
		maxTokens:       maxTokens,
		arrived:         arrived,
		assembler:       answer.NewAssembler(request),
		failedEndpoints: map[ident.EndpointName]bool{},
		work:            route.PrefillWork{Tokens: tokens, CachedTokens: e.affinity.CachedTokens(prompt)},

		fingerprint: poison.FingerprintOf(document.Service, prompt),
	}
}

// serve runs the request and ends its response, complete or not.
func (c *chatExchange) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	service := c.document.Service
	if refusal := c.refuseBeforeEnd(c.latestEnd()); refusal != nil {
		c.finish(refusal)
		return
	}
	if !c.startWaiting(service, c.document.Limits.Waiting) {
		c.finish(fault.New(fault.Overloaded, "%d requests wait already", c.document.Limits.Waiting).WithRetryAfter(c.withJitter(0)))
		return
	}
	c.doneWaiting = sync.OnceFunc(func() { c.stopWaiting(service) })
	defer c.doneWaiting()
	c.tokenTimer = time.AfterFunc(time.Until(c.arrived.Add(answerWithin(c.document.Targets))), func() { cancel(errTokenTimeout) })
	defer c.tokenTimer.Stop()
	c.retryBudget(service).Deposit(c.document.Retries.BudgetPercent)
	err := c.runWithRetries(ctx)
	if err == nil {
		err = c.writer.complete(c.assembler, c.tokens)
	}
	c.learnPace()
	if err == nil {
		c.finish(nil)
		return
	}
	c.finish(c.refusalFor(ctx, err))
}

// runWithRetries retries until the output is complete or no retry is allowed.
func (c *chatExchange) runWithRetries(ctx context.Context) error {
	for c.attempts = 1; ; c.attempts++ {
		c.retryGranted = false
		if refusal := c.refuseUnsent(); refusal != nil {
			return refusal
		}
		status := c.suspects.Check(c.fingerprint)
		if status == poison.Blocked {
			return fault.New(fault.RequestBlocked, "the request has crashed endpoints and is blocked; ask the operators about %s", c.fingerprint)
		}
		c.suspected = status == poison.Suspected
		err := c.runAttempt(ctx)
		if err == nil && c.suspected {
			c.tasks.Go(func() { c.suspects.RecordSuccess(ctx, c.fingerprint) })
		}
		if err == nil {
			return nil
		}
		// A crash counts even if the caller has disconnected, since it may send
		// the request again.
		if err := c.recordCrash(ctx); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		c.Log.Info("attempt failed", "request", c.request, "tried", c.attempts, "error", err)
		if !isRetryable(err) || !c.grantRetry() {
			return err
		}
	}
}

// grantRetry reports whether the request may be retried after the current attempt.
func (c *chatExchange) grantRetry() bool {
	if !c.retryGranted {
		c.retryGranted = c.attempts < c.document.Retries.Attempts && c.retryBudget(c.document.Service).TryAcquire()
	}
	return c.retryGranted
}

// recordCrash stores durably that an endpoint crashed while it ran this
// request, if one did. If that fails the request is not retried. A request that ends meanwhile is
// answered before the crash is stored.
func (c *chatExchange) recordCrash(ctx context.Context) error {
	if c.crashedEndpoint == "" {
		return nil
	}
	crash := poison.Crash{Endpoint: c.crashedEndpoint, At: time.Now().UTC(), Request: c.request}
	c.crashedEndpoint = ""
	recorded := make(chan error, 1)
	record := func() {
		_, err := c.suspects.RecordCrash(ctx, c.document.Service, c.fingerprint, crash)
		recorded <- err
	}
	if !c.tasks.Go(record) {
		record()
	}
	var err error
	select {
	case err = <-recorded:
	case <-ctx.Done():
	}
	if err != nil {
		c.Log.Warn("crash could not be recorded", "request", c.request, "error", err)
		return fault.NewUnknown(fault.EndpointFailed, "an endpoint crashed and that could not be recorded")
	}
	return nil
}

// isRetryable reports whether another endpoint could succeed. Inference is
// idempotent, so only a refusal of the request itself is final.
func isRetryable(err error) bool {
	for _, code := range []fault.Code{fault.TargetUnreachable, fault.NoEndpoint, fault.Overloaded, fault.RequestBlocked, fault.Cancelled} {
		if fault.Is(err, code) {
			return false
		}
	}
	return true
}

// refusalFor converts a failure to the refusal that the caller gets.
func (c *chatExchange) refusalFor(ctx context.Context, err error) *fault.Refusal {
	if errors.Is(context.Cause(ctx), errTokenTimeout) {
		code := fault.PatienceExceeded
		if c.assembler.Next() > 0 {
			code = fault.ResponseTruncated
		}
		return c.withOutcome(fault.New(code, "no token within %s", c.document.Targets.Patience).WithRetryAfter(c.withJitter(0)))
	}
	if cancelledAtGraceEnd(ctx, err) {
		return c.refusalAtGraceEnd()
	}
	refusal := fault.AsRefusal(err)
	if refusal.Code == fault.Internal {
		refusal = fault.New(fault.EndpointFailed, "%v", err)
	}
	if refusal.RetryAfter > 0 || isRetryable(err) {
		refusal = refusal.WithRetryAfter(c.withJitter(refusal.RetryAfter))
	}
	return c.withOutcome(refusal)
}

// withOutcome sets whether the request may have run.
func (c *chatExchange) withOutcome(refusal *fault.Refusal) *fault.Refusal {
	adjusted := *refusal
	adjusted.Outcome = fault.NotExecuted
	if c.prefillStarted {
		adjusted.Outcome = fault.Unknown
	}
	return &adjusted
}

// finish fails the response on a refusal, and records the request in the
// metrics and the log.
func (c *chatExchange) finish(refusal *fault.Refusal) {
	outcome := "answered"
	within := refusal == nil && c.withinTargets()
	if refusal != nil {
		outcome = string(refusal.Code)
		c.prefillCounts.WastedTokens = c.prefillCounts.PrefilledTokens
		c.writer.fail(refusal)
	}
	sample := c.prefillCounts
	sample.Requests = 1
	if within {
		sample.WithinTarget = 1
	}
	service := c.document.Service
	c.burn.Record(service, c.document.Targets.ObjectivePercent, sample, time.Now())
	c.Meter.CountRequest(service, outcome, within)
	c.Meter.CountWastedPrefillTokens(service, sample.WastedTokens)
	c.Meter.RecordResponseTime(service, time.Since(c.arrived))
	c.Log.Info("request ended", "request", c.request, "service", service, "outcome", outcome,
		"within", within, "pieces", c.assembler.Next(), "first", c.firstTokenAt.Sub(c.arrived))
}

// withinTargets reports whether the time to first token and the mean time
// between tokens met the service's targets.
func (c *chatExchange) withinTargets() bool {
	if c.firstTokenAt.IsZero() {
		return true
	}
	targets := c.document.Targets
	if c.firstTokenAt.Sub(c.arrived) > targets.FirstToken.Std() {
		return false
	}
	gaps := int(c.assembler.Next()) - 1
	return gaps < 1 || c.lastTokenAt.Sub(c.firstTokenAt)/time.Duration(gaps) <= targets.BetweenTokens.Std()
}
