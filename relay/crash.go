package relay

import (
	"context"
	"errors"
	"time"

	"crocusstep/client"
	"crocusstep/crash"
	"crocusstep/fault"
)

const (
	// blockedRetryAfter is for requests blocked because they crash endpoints.
	blockedRetryAfter = time.Minute
	// soundEvents is the number of events after which an output has begun: a prompt that
	// crashes endpoints does so before.
	soundEvents = 2
)

// admit refuses a request that crashes endpoints, unless it is to be tried again.
func (e *exchange) admit() *fault.Refusal {
	refusal := e.suspended()
	if refusal != nil && e.crashes.TryProbe(e.request.fingerprint(), e.request.parts(), time.Now()) {
		e.Log.Info("a blocked request is tried again", "request", e.request.Attempt, "parts", e.request.parts())
		e.probing = true
		return nil
	}
	return refusal
}

// suspended returns the refusal of a request that crashes endpoints, or nil.
func (e *exchange) suspended() *fault.Refusal {
	if e.probing || e.crashes.Size() == 0 || !e.crashes.Blocked(e.request.fingerprint(), e.request.parts(), time.Now()) {
		return nil
	}
	return fault.New(fault.RequestSuspended, "the request, or a part of its prompt, has crashed endpoints").WithRetryAfter(blockedRetryAfter)
}

// recordCrash counts a connection that broke while the endpoint executed the request. The
// parts of its prompt are suspected only if the output had not begun.
func (e *exchange) recordCrash(ctx context.Context, err error) {
	if ctx.Err() != nil || !errors.Is(err, client.ErrResponseLost) {
		return
	}
	report := crash.Report{
		Fingerprint: e.request.fingerprint(), Attempt: string(e.request.Attempt) + "/" + string(e.endpoint), Endpoint: string(e.endpoint),
	}
	if e.tryEvents < soundEvents {
		report.Parts = e.request.parts()
	}
	count := e.crashes.RecordCrash(report, time.Now())
	e.probing = false
	blocked := e.suspended() != nil
	if len(report.Parts) > 0 || blocked {
		select {
		case e.crashed <- struct{}{}:
		default:
		}
	}
	e.Log.Info("an endpoint broke off with the request aboard", "request", e.request.Attempt, "endpoint", e.endpoint,
		"fingerprint", report.Fingerprint, "count", count, "parts", report.Parts, "blocked", blocked, "error", err)
}

// countTryEvents counts events of the current try. Once the output has begun, the parts of
// the prompt are sound.
func (e *exchange) countTryEvents(count int) {
	begun := e.tryEvents >= soundEvents
	e.tryEvents += count
	if !begun && e.tryEvents >= soundEvents {
		e.recordSound()
	}
}

func (e *exchange) recordSound() {
	if e.crashes.Size() > 0 {
		e.crashes.RecordSound(e.request.parts(), time.Now())
	}
}

// clearCrashes resets the crash count of requests like this one after a complete
// response.
func (e *exchange) clearCrashes() {
	if e.crashes.Size() > 0 {
		e.crashes.RecordSuccess(e.request.fingerprint(), time.Now())
		e.recordSound()
	}
}
