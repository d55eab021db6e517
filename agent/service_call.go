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
	"crocusstep/spec"
	"crocusstep/store"
	"crocusstep/wire"
)

const (
	// maxAnswer is the longest answer of a plain service, in bytes.
	maxAnswer = 4 << 20
	// fencingHeader carries the version of the write that started an action.
	fencingHeader = "Fencing-Token"
)

// call makes a plain service's call.
func (a *Agent) call(ctx context.Context, order wire.CallRequest) (wire.CallResponse, error) {
	if a.Draining() {
		return wire.CallResponse{}, a.drainingRefusal()
	}
	if order.Class == spec.Action {
		return a.action(ctx, order)
	}
	return a.lookup(ctx, order)
}

func (a *Agent) lookup(ctx context.Context, order wire.CallRequest) (wire.CallResponse, error) {
	return a.bounded(ctx, order, 0)
}

func (a *Agent) action(ctx context.Context, order wire.CallRequest) (wire.CallResponse, error) {
	var header http.Header
	result, err := a.ledger.Run(ctx, ledger.Action{
		Service:   order.Info.Service,
		Shards:    order.Shards,
		Retention: order.Retention,
		Key:       order.Key,
		Digest:    order.Digest,
		Attempt:   order.Info.Attempt,
	}, func(ctx context.Context, token store.Version) (ledger.Response, error) {
		reply, err := a.bounded(ctx, order, token)
		header = reply.Header
		return ledger.Response{
			Status:      reply.Status,
			ContentType: reply.Header.Get("Content-Type"),
			Body:        reply.Body,
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

// bounded makes a call once a place of its class is free.
func (a *Agent) bounded(ctx context.Context, order wire.CallRequest, token store.Version) (wire.CallResponse, error) {
	g := a.calls.gate(callKind{service: order.Info.Service, class: order.Class}, order.Limit)
	ticket := gateTicket(order.Info, 1)
	if err := g.Acquire(ctx, ticket, order.MaxWait, order.MaxWait+time.Second); err != nil {
		return wire.CallResponse{}, errors.Join(ledger.ErrNotSent, err)
	}
	g.Confirm(ticket.Attempt)
	defer g.Release(ticket.Attempt)
	ctx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	return a.send(ctx, order, token)
}

func (a *Agent) send(ctx context.Context, order wire.CallRequest, token store.Version) (reply wire.CallResponse, err error) {
	address := "http://" + string(a.config.EndpointAddress) + order.Path
	request, err := http.NewRequestWithContext(ctx, order.Method, address, bytes.NewReader(order.Body))
	if err != nil {
		return reply, errors.Join(ledger.ErrNotSent, err)
	}
	// Nothing retries once the call may have left, the transport included.
	request.GetBody = nil
	request.Header = order.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if token != 0 {
		request.Header.Set(fencingHeader, strconv.FormatInt(int64(token), 10))
		request.Header.Set("Idempotency-Key", string(order.Key))
	}
	request.Header.Set("X-Request-Id", string(order.Info.Request))
	response, err := a.config.HTTP.Do(request)
	if err != nil {
		return reply, sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return reply, err
	}
	if len(body) > maxAnswer {
		return reply, fault.NewUnknown(fault.EndpointFailed, "the endpoint's answer is too long")
	}
	return wire.CallResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// sendError tells a call that never left from one that may have run.
func sendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		refusal := fault.New(fault.EndpointFailed, "the endpoint cannot be reached").WithRetryAfter(time.Second)
		return errors.Join(ledger.ErrNotSent, refusal)
	}
	return err
}
