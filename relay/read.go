package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/link"
	"crocusstep/pool"
)

// releaseTimeout bounds the giving back of places and prompts.
const releaseTimeout = time.Second

// errNoRepeat means that nothing may be sent once more at the moment.
var errNoRepeat = errors.New("no request may be sent once more")

// read serves a prompt: a place at a decode endpoint first, so that no prompt is
// read in vain, then the reading, then the answer.
func (e *exchange) read(ctx context.Context) *fault.Refusal {
	refusal := fault.New(fault.NoEndpoint, "no endpoint of %s", e.service.Name).After(e.comeBack(returnLeast))
	s := newStream(e)
	for tries := 0; tries < sendsMost && e.mayTryAgain(ctx); tries++ {
		err := s.attempt(ctx)
		if err == nil {
			return nil
		}
		e.Log.Info("an attempt at a stream failed", "request", e.request.Attempt, "sends", e.sends, "ran", e.ran,
			"started", e.started, "left", e.left(), "error", err)
		var told *fault.Refusal
		if errors.As(err, &told) {
			refusal = told
			break
		}
		refusal = fault.New(fault.EndpointFailed, "%s failed", e.endpoint).After(e.comeBack(returnLeast))
		if errors.Is(err, errNoRepeat) {
			break
		}
	}
	if e.started && errors.Is(ctx.Err(), context.Canceled) {
		return fault.NewUnknown(fault.Cancelled, "the caller left in mid-stream")
	}
	if e.started {
		// The head is gone: only a broken connection tells that this is no end.
		return fault.NewUnknown(fault.AnswerCut, "the stream broke off: %s", refusal.Detail)
	}
	return e.failure(ctx, refusal)
}

// grant is a place at a decode endpoint.
type grant struct {
	member pool.Member
	// held is false where the keeper was not there to ask.
	held  bool
	began time.Time
	// used is set once the endpoint runs the request, which then keeps the place.
	used bool
	// judged is what the exchange says of the endpoint.
	judged pool.Outcome
	end    func(pool.Outcome, time.Duration)
}

// leave ends a grant and gives its place back if it was not used.
func (s *stream) leave(g *grant) {
	g.end(g.judged, time.Since(g.began))
	if g.held && !g.used {
		s.release(g.member, s.request.Attempt)
	}
}

// split reports whether the prompt is read and answered at engines.
func (s *stream) split() bool { return s.request.Prompt != nil && s.service.Engine != nil }

// attempt runs the request once.
func (s *stream) attempt(ctx context.Context) error {
	if !s.split() {
		return s.attemptWhole(ctx)
	}
	began := time.Now()
	g, err := s.reserve(ctx)
	if err != nil {
		return err
	}
	defer func() { s.leave(g) }()
	placed := time.Now()
	var from *Reading
	if g.member.Stage == pool.Decode {
		s.awaitOwnTurn(ctx, g)
		from, err = s.prefill(ctx, g)
		if errors.Is(err, errNoTurn) {
			return s.refuseUnread()
		}
		if err != nil {
			return err
		}
	}
	read := time.Now()
	answer, err := s.begin(ctx, g, from)
	if next := s.elsewhere(ctx, err, from); next != nil {
		s.leave(g)
		g = next
		answer, err = s.begin(ctx, g, from)
	}
	s.Log.Info("stream begun", "request", s.request.Attempt, "decode", g.member.Name, "granted", g.held,
		"place-wait", placed.Sub(began), "reading", read.Sub(placed), "read-apart", from != nil, "error", err)
	if err != nil {
		if errors.Is(err, link.ErrNotSent) || errors.Is(err, errNotRun) {
			s.free(from)
		}
		return err
	}
	return s.finish(ctx, g, answer)
}

// refuseUnread refuses a request whose prompt nobody can read in time.
func (s *stream) refuseUnread() error {
	s.Log.Info("no turn in time", "request", s.request.Attempt, "tokens", s.request.Prompt.Tokens, "spent", s.spent)
	return fault.New(fault.TargetUnreachable, "%s", errNoTurn).After(s.returnAfter(turnMost))
}

// attemptWhole runs the request once at an endpoint of a plain service.
func (s *stream) attemptWhole(ctx context.Context) error {
	m, found := s.choose()
	if !found {
		return fault.New(fault.NoEndpoint, "no endpoint of %s", s.service.Name).After(s.comeBack(returnLeast))
	}
	s.tried[m.Name] = true
	g := &grant{member: m, began: time.Now(), end: s.config.Pool.Begin(m.Endpoint, 0)}
	defer func() { s.leave(g) }()
	answer, err := s.begin(ctx, g, nil)
	if err != nil {
		return err
	}
	return s.finish(ctx, g, answer)
}

// finish passes an answer on to its end.
func (s *stream) finish(ctx context.Context, g *grant, answer *Answer) error {
	defer func() { _ = answer.Body.Close() }()
	err := s.forward(answer)
	g.judged = verdict(ctx, err)
	if err != nil {
		s.crashed(ctx, errors.Join(link.ErrLost, err))
	}
	return err
}

// begin sends the request to the decode endpoint that has a place for it.
func (s *stream) begin(ctx context.Context, g *grant, from *Reading) (*Answer, error) {
	s.endpoint = g.member.Name
	if !s.config.Pool.Usable(g.member.Endpoint) {
		return nil, errors.Join(link.ErrNotSent, errors.New("the decode endpoint has left meanwhile"))
	}
	if !s.mayArrive(ctx) {
		return nil, errors.Join(link.ErrNotSent, errNoRepeat)
	}
	answer, err := s.write(ctx, g.member.Endpoint, from)
	if err != nil {
		g.judged = verdict(ctx, err)
		if !errors.Is(err, link.ErrNotSent) {
			s.sends++
			s.ran++
			s.crashed(ctx, err)
		}
		return nil, err
	}
	s.sends++
	if answer.NotRun {
		s.rejected(g, from, answer)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, answerMost))
		_ = answer.Body.Close()
		return nil, errNotRun
	}
	s.ran++
	g.used = true
	return answer, nil
}

// rejected judges who is to blame for a request that was not run: an endpoint
// with a place for it rejects it mostly because the prompt that was read cannot
// be fetched.
func (s *stream) rejected(g *grant, from *Reading, answer *Answer) {
	g.judged = pool.Failed
	if answer.Misdirected {
		g.judged = pool.Mismatch
	}
	if from != nil && g.held && !answer.Misdirected {
		g.judged = pool.Neutral
		s.config.Pool.Begin(from.Endpoint, 0)(pool.Failed, 0)
	}
	s.Log.Info("an endpoint did not run a request", "request", s.request.Attempt, "endpoint", g.member.Name,
		"status", answer.Status, "granted", g.held, "read-apart", from != nil)
}

// elsewhere returns a place at another decode endpoint for a prompt that was read
// and is still kept, if the first endpoint did not run the request.
func (s *stream) elsewhere(ctx context.Context, err error, from *Reading) *grant {
	if err == nil || from == nil || !errors.Is(err, link.ErrNotSent) && !errors.Is(err, errNotRun) {
		return nil
	}
	if time.Since(from.Done) > s.service.Engine.HandleLife/2 || errors.Is(err, errNoRepeat) {
		return nil
	}
	s.tried[s.endpoint] = true
	for _, m := range s.decodes() {
		if _, g := s.askPlace(ctx, m, 0, goesOn); g != nil {
			return g
		}
	}
	return nil
}

// write has the answer made of a prompt that was read, or has yet to be.
func (s *stream) write(ctx context.Context, e pool.Endpoint, from *Reading) (*Answer, error) {
	if from == nil {
		return s.config.Endpoints.Call(ctx, e, s.request, s.left())
	}
	return s.config.Endpoints.Write(ctx, e, s.request, from, s.left())
}

// free gives up a prompt that will not be used.
func (s *stream) free(from *Reading) {
	if from == nil {
		return
	}
	s.Meter.WastedPrefill(s.service.Name, s.request.Prompt.Tokens)
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := s.config.Endpoints.Free(ctx, from); err != nil {
			s.Log.Info("a prompt that was read was not freed", "request", s.request.Attempt, "endpoint", from.Endpoint.Name, "error", err)
		}
	})
}

func (r *Relay) release(m pool.Member, attempt ident.AttemptID) {
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.config.Places.Release(ctx, m.Address, attempt); err != nil {
			r.Log.Info("a place was not released", "request", attempt, "endpoint", m.Name, "error", err)
		}
	})
}
