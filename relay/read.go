package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/link"
	"crocusstep/place"
	"crocusstep/pool"
)

const (
	// transferAllowance is kept for moving a prompt's memory and for the first
	// token, when the latest start is worked out.
	transferAllowance = 90 * time.Millisecond
	// lateWait is how long a caller whose objective has passed waits for a place.
	lateWait = 1200 * time.Millisecond
	// cameBackAfter is the patience that a caller has used up when it counts as
	// one that was refused before; new ones differ by their way here.
	cameBackAfter = 250 * time.Millisecond
	// cameBackWait is how long such a caller waits: callers leave a stream without
	// an event after 3.6 s at an objective of 900 ms.
	cameBackWait = 1200 * time.Millisecond
	// triedDecodes bounds the decode endpoints asked before waiting at the best.
	triedDecodes = 3
	// triedPrefills bounds the prefill endpoints asked for one reading.
	triedPrefills = 3
	// turnWait is the longest wait for a turn: a decode endpoint that reads the
	// mean prompt itself is done after twice the reading, some 200 ms.
	turnWait = 250 * time.Millisecond
	// agentPause is how long an agent that did not answer is not asked.
	agentPause = 2 * time.Second
	// blindTokens bounds the prompt tokens this process has under way at a decode
	// endpoint whose agent does not answer: a third of the engines' memory.
	blindTokens = 30000
	// releaseTimeout bounds the giving back of places and prompts.
	releaseTimeout = time.Second
)

// errBusy means that no endpoint has room in time.
var errBusy = errors.New("no endpoint has room in time")

// read serves a prompt: a place at a decode endpoint first, so that no prompt is
// read in vain, then the reading, then the answer.
func (e *exchange) read(ctx context.Context) *fault.Refusal {
	refusal := fault.New(fault.NoEndpoint, "no endpoint of %s", e.service.Name).After(e.comeBack(returnLeast))
	s := &stream{exchange: e, after: e.request.Prompt.After, resumed: e.request.Prompt.After != ""}
	for {
		if !e.mayRunAgain() || !e.mayRepeat(ctx) {
			break
		}
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
	}
	if e.started {
		// The head is gone: only a broken connection tells that this is no end.
		e.note = refusal.Detail
		return fault.NewUnknown(fault.AnswerCut, "the stream broke off: %s", refusal.Detail)
	}
	return e.failure(ctx, refusal)
}

// grant is a place at a decode endpoint.
type grant struct {
	member pool.Member
	// held is false where the agent was not there to ask.
	held  bool
	began time.Time
	// used is set once the endpoint runs the request, which then keeps the place.
	used bool
	// judged is what the exchange says of the endpoint.
	judged pool.Verdict
	end    func(pool.Verdict, time.Duration)
}

// leave ends a grant and gives its place back if it was not used.
func (s *stream) leave(g *grant) {
	g.end(g.judged, time.Since(g.began))
	if g.held && !g.used {
		s.release(g.member, s.request.Attempt)
	}
}

// attempt runs the request once.
func (s *stream) attempt(ctx context.Context) error {
	began := time.Now()
	g, err := s.reserve(ctx)
	if err != nil {
		return err
	}
	defer func() { s.leave(g) }()
	placed := time.Now()
	from, err := s.prefill(ctx)
	if err != nil {
		return err
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
	defer func() { _ = answer.Body.Close() }()
	err = s.forward(answer)
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
		g.judged = pool.Broken
	}
	if from != nil && g.held && !answer.Misdirected {
		g.judged = pool.Silent
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
	if time.Since(from.Done) > s.service.Engine.HandleLife/2 || errors.Is(err, errNotRun) && !s.mayRepeat(ctx) {
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

// reserve gets a place at a decode endpoint: it asks the most promising at once
// and then waits at the one with the shortest expected wait.
func (s *stream) reserve(ctx context.Context) (*grant, error) {
	window, urgency := s.waitWindow()
	deadline := time.Now().Add(window)
	best, shortest := pool.Member{}, time.Duration(-1)
	members := s.decodes()
	if len(members) == 0 {
		return nil, fault.New(fault.NoEndpoint, "no decode endpoint of %s", s.service.Name).After(s.comeBack(returnLeast))
	}
	for _, m := range members[:min(triedDecodes, len(members))] {
		answer, g := s.askPlace(ctx, m, 0, urgency)
		if g != nil || ctx.Err() != nil {
			return g, ctx.Err()
		}
		if !answer.Down && (shortest < 0 || answer.Wait < shortest) {
			best, shortest = m, answer.Wait
		}
	}
	if left := time.Until(deadline); shortest >= 0 && shortest <= left {
		answer, g := s.askPlace(ctx, best, left, urgency)
		if g != nil || ctx.Err() != nil {
			return g, ctx.Err()
		}
		shortest = answer.Wait
	}
	s.Log.Info("no place in time", "request", s.request.Attempt, "window", window, "expected-wait", shortest, "spent", s.spent)
	return nil, fault.New(fault.TargetUnreachable, "the expected wait for memory is %s", shortest.Round(time.Millisecond)).
		After(s.returnAfter(shortest))
}

// The order in which requests get places, the least first.
const (
	// goesOn streams have begun, and their callers see a pause.
	goesOn = iota
	// inTime requests can still meet their objective. They go before those that
	// came back late, or in a burst all would be late.
	inTime
	// cameBack callers were refused before, and wait longer not to be again.
	cameBack
	// tooLate requests cannot.
	tooLate
)

// waitWindow is how long it helps to wait for a place, and with which urgency.
func (s *stream) waitWindow() (time.Duration, int) {
	switch {
	case s.started:
		return lateWait, goesOn
	case s.spent > cameBackAfter:
		return min(cameBackWait, s.left()/2), cameBack
	}
	reading := pool.ReadingTime(s.request.Prompt.Tokens)
	latest := s.request.Arrived.Add(s.route.Objective - reading - transferAllowance)
	if left := time.Until(latest); left > 0 {
		return left, inTime
	}
	return min(lateWait, s.left()/2), tooLate
}

func (s *stream) decodes() []pool.Member {
	members := s.config.Pool.Members(s.service.Name, pool.Decode)
	members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
	return s.config.Home.Decodes(members, time.Now())
}

// askPlace asks an agent for a place. An agent that does not answer is passed
// over for a while, and its endpoint is used within a bound of this process's own.
func (s *stream) askPlace(ctx context.Context, m pool.Member, wait time.Duration, urgency int) (place.Answer, *grant) {
	if s.agentGone(m.Name) {
		return s.askBlind(m)
	}
	p := s.request.Prompt
	answer, err := s.config.Places.Ask(ctx, m.Address, place.Ask{
		Attempt: s.request.Attempt,
		Prompt:  p.Tokens,
		Answer:  s.lengths(s.service.Name).Expect(p.Output, p.Most),
		Slots:   m.Slots,
		Wait:    wait,
		Urgency: urgency,
	})
	if err != nil {
		if !s.agentFailed(ctx, m, err) {
			return place.Answer{Down: true}, nil
		}
		return s.askBlind(m)
	}
	if answer.Down {
		return answer, nil
	}
	s.config.Pool.Observe(m.Name, pool.Load{Free: answer.Free, At: time.Now()})
	if !s.observed {
		s.observed = true
		s.observe(s.service.Name, p, m.Slots, answer)
	}
	if !answer.Granted {
		return answer, nil
	}
	return answer, s.hold(m, true)
}

// agentFailed notes that an agent did not answer, and reports whether its
// endpoint may be used without it. Where nothing answers at all, the whole
// instance is frozen or cut off, and what is sent there may run much later.
func (s *stream) agentFailed(ctx context.Context, m pool.Member, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	s.Log.Warn("an agent does not answer", "request", s.request.Attempt, "endpoint", m.Name, "refused", refused, "error", err)
	if refused {
		s.setAgentGone(m.Name)
		return true
	}
	s.config.Pool.Begin(m.Endpoint, 0)(pool.Broken, 0)
	return false
}

// askBlind bounds the use of an endpoint by what this process has there.
func (s *stream) askBlind(m pool.Member) (place.Answer, *grant) {
	if m.Tokens+s.request.Prompt.Tokens > blindTokens {
		return place.Answer{Wait: returnLeast}, nil
	}
	return place.Answer{Granted: true}, s.hold(m, false)
}

func (s *stream) hold(m pool.Member, held bool) *grant {
	return &grant{member: m, held: held, began: time.Now(), end: s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)}
}

func (r *Relay) agentGone(name ident.EndpointName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.agentless[name])
}

func (r *Relay) setAgentGone(name ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.agentless[name] = time.Now().Add(agentPause)
}

// prefill has the prompt read at the endpoint that will be done first. It
// returns no reading if the decode endpoint is to read the prompt itself, which
// takes it twice the time: where no endpoint reads prompts, or all are late.
func (s *stream) prefill(ctx context.Context) (*Reading, error) {
	for asked := 0; asked < triedPrefills; asked++ {
		members := s.config.Pool.Members(s.service.Name, pool.Prefill)
		members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
		members = s.config.Home.Prefills(members, time.Now())
		m, found := s.takeTurn(ctx, members)
		if !found || ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if s.read > 0 && !s.mayRepeat(ctx) {
			return nil, errors.New("no prompt may be read again")
		}
		from, err := s.readAt(ctx, m)
		if err == nil || ctx.Err() != nil {
			return from, err
		}
	}
	return nil, nil
}

// takeTurn asks the keepers beside prefill endpoints for a turn.
func (s *stream) takeTurn(ctx context.Context, members []pool.Member) (pool.Member, bool) {
	for _, m := range members[:min(triedPrefills, len(members))] {
		if m.Suspended {
			break
		}
		if s.agentGone(m.Name) {
			return m, true
		}
		answer, err := s.config.Places.Turn(ctx, m.Address, place.Turn{
			Attempt: s.request.Attempt, Tokens: s.request.Prompt.Tokens, Wait: turnWait,
		})
		if err != nil {
			if !s.agentFailed(ctx, m, err) {
				continue
			}
			return m, true
		}
		if answer.Down {
			continue
		}
		ahead := answer.Ahead
		if answer.Granted {
			ahead += pool.ReadingTime(s.request.Prompt.Tokens)
		}
		s.config.Pool.Observe(m.Name, pool.Load{Ahead: ahead, At: time.Now()})
		if answer.Granted {
			return m, true
		}
	}
	return pool.Member{}, false
}

func (s *stream) readAt(ctx context.Context, m pool.Member) (from *Reading, err error) {
	s.tried[m.Name] = true
	end := s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)
	began := time.Now()
	judged := pool.Silent
	defer func() { end(judged, time.Since(began)) }()
	from, answer, err := s.config.Endpoints.Read(ctx, m.Endpoint, s.request, s.left())
	switch {
	case err != nil:
		judged = verdict(ctx, err)
		if !errors.Is(err, link.ErrNotSent) {
			s.countRead()
		}
		s.endpoint = m.Name
		s.crashed(ctx, err)
	case answer != nil:
		judged = pool.Failed
		if answer.Misdirected {
			judged = pool.Broken
		}
		s.sends++
		err = errNotRun
	default:
		judged = pool.Good
		s.countRead()
		delete(s.tried, m.Name)
		s.Meter.Prefill(s.service.Name, s.request.Prompt.Tokens)
	}
	if err != nil {
		s.Log.Info("a prompt was not read", "request", s.request.Attempt, "endpoint", m.Name,
			"tokens-ahead", m.Tokens, "span", time.Since(began), "error", err)
	}
	return from, err
}

// countRead counts an accepted reading; the first is no repeat.
func (s *stream) countRead() {
	if s.read > 0 {
		s.sends++
	}
	s.read++
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
