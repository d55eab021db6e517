package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"crocusstep/fault"
	"crocusstep/ledger"
	"crocusstep/queue"
	"crocusstep/spec"
	"crocusstep/store"
	"crocusstep/wire"
)

const (
	// maxResponseBytes is the size limit of a plain service's response body.
	maxResponseBytes = 4 << 20
	// fencingHeader carries the fencing token of an action: the version of the
	// ledger write that recorded its start.
	fencingHeader = "Fencing-Token"
)

// call executes a call to a plain service.
func (a *Agent) call(ctx context.Context, request wire.CallRequest) (wire.CallResponse, error) {
	if a.Draining() {
		return wire.CallResponse{}, a.drainingRefusal()
	}
	if request.Class == spec.Action {
		return a.runAction(ctx, request)
	}
	return a.runLookup(ctx, request)
}

func (a *Agent) runLookup(ctx context.Context, request wire.CallRequest) (wire.CallResponse, error) {
	return a.callWithLimit(ctx, request, 0)
}

func (a *Agent) runAction(ctx context.Context, request wire.CallRequest) (wire.CallResponse, error) {
	var header http.Header
	result, err := a.ledger.Run(ctx, ledger.Action{
		Service:   request.Info.Service,
		Shards:    request.Shards,
		Retention: request.Retention,
		Key:       request.Key,
		Digest:    request.Digest,
		Attempt:   request.Info.Attempt,
	}, func(ctx context.Context, token store.Version) (ledger.Response, error) {
		response, err := a.callWithLimit(ctx, request, token)
		header = response.Header
		return ledger.Response{
			Status:      response.Status,
			ContentType: response.Header.Get("Content-Type"),
			Body:        response.Body,
		}, err
	})
	if err != nil {
		return wire.CallResponse{LedgerChecked: true}, err
	}
	if result.Replayed {
		header = http.Header{"Content-Type": {result.Response.ContentType}}
	}
	return wire.CallResponse{
		Status:        result.Response.Status,
		Header:        header,
		Body:          result.Response.Body,
		Replayed:      result.Replayed,
		Truncated:     result.Response.Truncated,
		LedgerChecked: true,
	}, nil
}

// callWithLimit waits for a slot of the call's service and class, then sends the
// call.
func (a *Agent) callWithLimit(ctx context.Context, request wire.CallRequest, token store.Version) (wire.CallResponse, error) {
	l := a.calls.limiter(callKey{service: request.Info.Service, class: request.Class}, request.Limit)
	waiter := newWaiter(request.Info, 1)
	if err := a.awaitSlot(ctx, l, waiter, request.MaxWait); err != nil {
		return wire.CallResponse{}, errors.Join(ledger.ErrNotSent, err)
	}
	l.Confirm(waiter.Attempt)
	defer l.Release(waiter.Attempt)
	if endsAt := a.endsAt.Load(); endsAt != nil && time.Until(*endsAt) < request.Timeout {
		// The agent began to stop while the call waited, and may end before it does.
		return wire.CallResponse{}, errors.Join(ledger.ErrNotSent, a.drainingRefusal())
	}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	return a.send(ctx, request, token)
}

// awaitSlot waits for a slot as long as calls may start.
func (a *Agent) awaitSlot(ctx context.Context, l *queue.Limiter, waiter queue.Waiter, maxWait time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(a.starts, func() { cancel(fault.ErrGraceEnded) })()
	err := l.Acquire(ctx, waiter, maxWait, maxWait+time.Second)
	if err != nil && errors.Is(context.Cause(ctx), fault.ErrGraceEnded) {
		return a.drainingRefusal()
	}
	return err
}

func (a *Agent) send(ctx context.Context, call wire.CallRequest, token store.Version) (result wire.CallResponse, err error) {
	url := "http://" + string(a.config.EndpointAddress) + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return result, errors.Join(ledger.ErrNotSent, err)
	}
	// Nothing may retry a call that may have been sent, not even the transport.
	request.GetBody = nil
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if token != 0 {
		request.Header.Set(fencingHeader, strconv.FormatInt(int64(token), 10))
		request.Header.Set("Idempotency-Key", string(call.Key))
	}
	request.Header.Set("X-Request-Id", string(call.Info.Request))
	// No id tells the response from a copy of an earlier one on the connection, and the transport
	// sends a call with a key and no body once more if a kept connection closes.
	request.Close = true
	response, err := a.config.HTTP.Do(request)
	if err != nil {
		return result, classifySendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return result, err
	}
	if len(body) > maxResponseBytes {
		return result, fault.NewUnknown(fault.EndpointFailed, "the endpoint's answer is too long")
	}
	return wire.CallResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// classifySendError marks errors of calls that were certainly not sent with
// ledger.ErrNotSent; all other calls may have run.
func classifySendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		refusal := fault.New(fault.EndpointFailed, "the endpoint cannot be reached").WithRetryAfter(time.Second)
		return errors.Join(ledger.ErrNotSent, refusal)
	}
	return err
}
