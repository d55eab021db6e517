package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
)

const (
	// transferAllowance is kept for moving a prompt's memory and for the first
	// token, when the latest start is worked out.
	transferAllowance = 90 * time.Millisecond
	// lateWait is how long a caller whose objective has passed waits for a place.
	lateWait = 1200 * time.Millisecond
	// goesOnWait is how long a stream that broke off waits for another place: its
	// caller leaves after a gap of 3.6 s, and the prompt must be read again.
	goesOnWait = 2500 * time.Millisecond
	// cameBackAfter is the patience that a caller has used up when it counts as
	// one that was refused before; new ones differ by their way here.
	cameBackAfter = 250 * time.Millisecond
	// cameBackWait is how long such a caller waits: callers leave a stream without
	// an event after 3.6 s at an objective of 900 ms.
	cameBackWait = 1200 * time.Millisecond
	// triedDecodes bounds the decode endpoints asked before waiting at the best.
	triedDecodes = 3
	// keeperPause is how long a keeper that did not answer is not asked.
	keeperPause = 2 * time.Second
	// downPause is how long an endpoint whose engine works on nothing goes behind all
	// others: a change of stages takes 6 s, and a restart two.
	downPause = time.Second
	// downTokens has such an endpoint go behind any that is full, for as long as what
	// a keeper said is used.
	downTokens = 1 << 30
	// blindTokens bounds the prompt tokens this process has under way at a decode
	// endpoint whose keeper does not answer: a third of the engines' memory.
	blindTokens = 30000
)

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
	if left := time.Until(deadline); shortest >= 0 && !keeper.Hopeless(shortest, left) {
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
	// cameBack callers were refused before.
	cameBack
	// tooLate requests can no longer meet their objective.
	tooLate
)

// waitWindow is how long it helps to wait for a place, and with which urgency.
func (s *stream) waitWindow() (time.Duration, int) {
	switch {
	case s.started:
		return min(goesOnWait, s.left()/2), goesOn
	case s.spent > cameBackAfter:
		return min(cameBackWait, s.left()/2), cameBack
	}
	reading := pool.PrefillTime(s.request.Prompt.Tokens)
	latest := s.request.Arrived.Add(s.route.Objective - reading - transferAllowance)
	if left := time.Until(latest); left > 0 {
		return left, inTime
	}
	return min(lateWait, s.left()/2), tooLate
}

func (s *stream) decodes() []pool.Member {
	members := s.config.Pool.Members(s.service.Name, pool.Decode)
	// Engines that do both read their prompts themselves.
	members = append(members, s.config.Pool.Members(s.service.Name, pool.Combined)...)
	members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
	return s.config.Home.RankDecode(members, time.Now())
}

// askPlace asks a keeper for a place. A keeper that does not answer is passed
// over for a while, and its endpoint is used within a bound of this process's own.
func (s *stream) askPlace(ctx context.Context, m pool.Member, wait time.Duration, urgency int) (keeper.ReserveResponse, *grant) {
	if s.keeperGone(m.Name) {
		return s.askBlind(m)
	}
	p := s.request.Prompt
	answer, err := s.config.Places.Reserve(ctx, m.Address, keeper.ReserveRequest{
		Attempt: s.request.Attempt,
		Prompt:  p.Tokens,
		Made:    s.before(),
		Answer:  s.lengths(s.service.Name).Expect(p.Output, p.Most),
		Slots:   m.Slots,
		Wait:    wait,
		Urgency: urgency,
	})
	if err != nil {
		if !s.keeperFailed(ctx, m, err) {
			return keeper.ReserveResponse{Down: true}, nil
		}
		return s.askBlind(m)
	}
	if answer.Down {
		s.config.Pool.UpdateLoad(m.Name, pool.Load{Free: -downTokens, At: time.Now()})
		return answer, nil
	}
	s.config.Pool.UpdateLoad(m.Name, pool.Load{Free: answer.Free, At: time.Now()})
	s.observe(m, answer)
	if !answer.Granted {
		return answer, nil
	}
	return answer, s.hold(m, true)
}

// keeperFailed notes that a keeper did not answer, and reports whether its
// endpoint may be used without it. Where nothing answers at all, the whole
// instance is frozen or cut off, and what is sent there may run much later.
func (s *stream) keeperFailed(ctx context.Context, m pool.Member, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	s.Log.Warn("a keeper does not answer", "request", s.request.Attempt, "endpoint", m.Name, "refused", refused, "error", err)
	if refused {
		s.setKeeperGone(m.Name)
		return true
	}
	s.config.Pool.Begin(m.Endpoint, 0)(pool.Unreachable, 0)
	return false
}

// askBlind bounds the use of an endpoint by what this process has there.
func (s *stream) askBlind(m pool.Member) (keeper.ReserveResponse, *grant) {
	if m.Tokens+s.request.Prompt.Tokens > blindTokens {
		return keeper.ReserveResponse{Wait: returnLeast}, nil
	}
	return keeper.ReserveResponse{Granted: true}, s.hold(m, false)
}

func (s *stream) hold(m pool.Member, held bool) *grant {
	return &grant{member: m, held: held, began: time.Now(), end: s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)}
}

func (r *Relay) keeperGone(name ident.EndpointName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.keeperless[name])
}

func (r *Relay) setKeeperGone(name ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.keeperless[name] = time.Now().Add(keeperPause)
}
