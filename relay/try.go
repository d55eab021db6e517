package relay

import (
	"context"
	"errors"

	"crocusstep/client"
	"crocusstep/pool"
)

// try is a request that was sent to an endpoint.
type try struct {
	// cached is the prompt that the endpoint fetches, nil if it prefills the prompt itself.
	cached *CachedPrompt
	// result receives the response, or an error, once.
	result chan tryResult
	// accepted is the response if it was received before the stream has left its last endpoint.
	accepted *Response
	// abort ends the try.
	abort context.CancelFunc
}

type tryResult struct {
	response *Response
	err      error
}

// recordTry sets the outcome of a try for its endpoint. One that stalled is not as bad as a
// lost connection, since its engine may be slow.
func (s *stream) recordTry(ctx context.Context, res *reservation, err error) {
	res.outcome = outcomeOf(ctx, err)
	if err != nil && s.next != nil {
		res.outcome = pool.Failed
		s.leftSilent = true
	}
}

// start sends the request to the endpoint of the reservation and awaits the head of its response.
func (s *stream) start(ctx context.Context, res *reservation, cached *CachedPrompt) (*Response, error) {
	if err := s.submit(ctx, res, cached); err != nil {
		return nil, err
	}
	return s.awaitResponse(ctx, res)
}

// awaitResponse returns the response of a try, unless the stream moves before its head arrives.
func (s *stream) awaitResponse(ctx context.Context, res *reservation) (*Response, error) {
	if res.try.accepted != nil {
		return res.try.accepted, nil
	}
	stop := s.watchForStall(ctx, s.executions+1, res.try.abort)
	result := <-res.try.result
	stop()
	response, err := s.recordResult(ctx, res, result)
	if err == nil && s.next != nil {
		_ = response.Body.Close()
		res.try.abort()
		s.recordTry(ctx, res, errMoved)
		return nil, errMoved
	}
	return response, err
}

// submit sends the request to the endpoint of the reservation, unless it may not be sent there.
func (s *stream) submit(ctx context.Context, res *reservation, cached *CachedPrompt) error {
	s.endpoint, s.source = res.member.Name, res.member.Endpoint
	if !s.config.Pool.Usable(res.member.Endpoint) {
		return errors.Join(client.ErrNotSent, errors.New("the decode endpoint has left meanwhile"))
	}
	if !s.runsVersion(res.member.Version) {
		// The first event arrived while a stall had memory reserved elsewhere.
		return errors.Join(client.ErrNotSent, errors.New("the endpoint runs another software version than the stream"))
	}
	if refusal := s.barred(); refusal != nil {
		return errors.Join(client.ErrNotSent, refusal)
	}
	if refusal := s.refuseStreamBeforeEnd(); refusal != nil {
		return errors.Join(client.ErrNotSent, refusal)
	}
	if !s.allowSend(ctx) {
		return errors.Join(client.ErrNotSent, errNoRetry)
	}
	s.sends++
	ctx, abort := context.WithCancel(ctx)
	t := &try{cached: cached, result: make(chan tryResult, 1), abort: abort}
	res.try = t
	go func() {
		response, err := s.requestOutput(ctx, res.member.Endpoint, cached)
		t.result <- tryResult{response, err}
	}()
	return nil
}

// recordResult counts a try by its result, and returns the response if the endpoint executes the
// request.
func (s *stream) recordResult(ctx context.Context, res *reservation, result tryResult) (*Response, error) {
	response, err := result.response, result.err
	if err != nil {
		res.try.abort()
		s.recordTry(ctx, res, err)
		switch {
		case errors.Is(err, client.ErrNotSent):
			s.sends--
			if s.sends > 0 {
				s.prepaidSends++
			}
		case s.next == nil:
			s.executions++
			s.recordCrash(ctx, err)
		default:
			s.executions++
		}
		return nil, err
	}
	if response.NotExecuted {
		s.recordRejection(res, res.try.cached, response)
		discardBody(response.Body)
		res.try.abort()
		return nil, errNotExecuted
	}
	s.executions++
	res.used = true
	s.returnPrepaidSends()
	if cached := res.try.cached; cached != nil {
		s.config.Pool.Begin(cached.Endpoint, 0)(pool.Success, 0)
	}
	return response, nil
}

// recordRejection records a rejected request as an endpoint's failure. A decode endpoint
// with reserved memory mostly rejects a request because it cannot fetch the KV cache;
// then the failure is recorded for the prefill endpoint.
func (s *stream) recordRejection(res *reservation, cached *CachedPrompt, response *Response) {
	res.outcome = response.rejection()
	if cached != nil && res.confirmed && res.outcome == pool.Failed {
		res.outcome = pool.Neutral
		s.config.Pool.Begin(cached.Endpoint, 0)(pool.Failed, 0)
		// The next handle there would lapse as well.
		s.tried[cached.Endpoint.Name] = true
		s.reportLapse(cached.Endpoint)
	}
	s.Log.Info("an endpoint did not run a request", "request", s.request.Attempt, "endpoint", res.member.Name,
		"status", response.Status, "granted", res.confirmed, "read-apart", cached != nil)
}

// requestOutput requests the output of a cached prompt, or of one still to be
// prefilled.
func (s *stream) requestOutput(ctx context.Context, e pool.Endpoint, cached *CachedPrompt) (*Response, error) {
	if cached == nil {
		return s.config.Endpoints.Call(ctx, e, s.request, s.timeLeft())
	}
	return s.config.Endpoints.Decode(ctx, e, s.request, cached, s.timeLeft())
}
