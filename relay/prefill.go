package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/link"
	"crocusstep/pool"
)

const (
	// triedPrefills bounds the prefill endpoints asked for one reading.
	triedPrefills = 3
	// turnWait is the least wait for a turn that is asked for, and what is taken where
	// it is not known: a decode endpoint that reads the mean prompt itself is done
	// after twice the reading, some 200 ms.
	turnWait = 250 * time.Millisecond
	// turnMost is the longest wait for a turn: the memory at the decode endpoint is
	// held meanwhile, and a place whose run does not begin is taken back after 2.5 s.
	turnMost = 500 * time.Millisecond
	// turnPause is the time between two rounds of asking for a turn: half of what the
	// mean prompt takes.
	turnPause = 50 * time.Millisecond
	// readingTrips is the ways there and back that are no part of a reading: that of a
	// new connection and that of the request.
	readingTrips = 2
	// readTimes and readSlack bound a reading: engines that are half as fast as
	// others, and a lost packet that is sent again, are within it.
	readTimes = 3
	readSlack = 400 * time.Millisecond
)

// errNoTurn means that nobody can read the prompt in time.
var errNoTurn = errors.New("no engine can read the prompt in time")

// prefill has the prompt read at the endpoint that will be done first. It
// returns no reading if the decode endpoint is to read the prompt itself: where no
// endpoint reads prompts in time, and the answers that it makes do not stand still
// for too long.
func (s *stream) prefill(ctx context.Context, g *grant) (*Reading, error) {
	window, _ := s.waitWindow()
	deadline := time.Now().Add(min(window, turnMost))
	for asked := 0; asked < triedPrefills; {
		members := s.config.Pool.Members(s.service.Name, pool.Prefill)
		members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
		members = s.config.Home.RankPrefill(members, g.member.Zone, time.Now())
		next := s.takeTurn(ctx, members, max(turnWait, time.Until(deadline)))
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case !next.granted && s.takeOwnTurn(ctx, g, next.late):
			return nil, nil
		case !next.granted && time.Now().After(deadline):
			return nil, errNoTurn
		case !next.granted:
			common.Pause(ctx, turnPause)
			continue
		}
		asked++
		if s.read > 0 && s.sends == 0 {
			// The first reading was free; another one is an arrival.
			s.sends++
		}
		if !s.mayArrive(ctx) {
			return nil, errors.Join(link.ErrNotSent, errNoRepeat)
		}
		from, err := s.readAt(ctx, next.member, next.ahead)
		if err == nil || ctx.Err() != nil {
			return from, err
		}
	}
	return nil, nil
}

// turn is what came of asking prefill endpoints for a turn.
type turn struct {
	granted bool
	member  pool.Member
	// ahead is how long the reading has to wait for those before.
	ahead time.Duration
	// late is set if none was granted, but some endpoint would read the prompt later.
	late bool
}

// takeTurn asks the keepers beside prefill endpoints for a turn. An endpoint whose
// keeper is gone is used without one.
func (s *stream) takeTurn(ctx context.Context, members []pool.Member, wait time.Duration) (next turn) {
	for _, m := range members[:min(triedPrefills, len(members))] {
		if m.Suspended {
			break
		}
		if s.keeperGone(m.Name) {
			return turn{granted: true, member: m, ahead: turnWait}
		}
		answer, err := s.config.Places.SchedulePrefill(ctx, m.Address, keeper.PrefillRequest{
			Attempt: s.request.Attempt, Tokens: s.request.Prompt.Tokens, Wait: wait, Last: s.takeReading(m.Name),
		})
		if err != nil {
			if !s.keeperFailed(ctx, m, err) {
				continue
			}
			return turn{granted: true, member: m, ahead: turnWait}
		}
		if answer.Down {
			s.config.Pool.UpdateLoad(m.Name, pool.Load{Ahead: downPause, Pace: m.Load.Pace, At: time.Now()})
			continue
		}
		next.late = true
		load := pool.Load{Ahead: answer.Ahead, Pace: answer.Pace, At: time.Now()}
		if answer.Granted {
			load.Ahead += time.Duration(answer.Pace * float64(pool.PrefillTime(s.request.Prompt.Tokens)))
		}
		s.config.Pool.UpdateLoad(m.Name, load)
		if answer.Granted {
			return turn{granted: true, member: m, ahead: answer.Ahead}
		}
	}
	return next
}

// readAt has the prompt read at one endpoint. One that takes far longer than it
// should is given up: it may be dark, and the prompt can be read elsewhere.
func (s *stream) readAt(ctx context.Context, m pool.Member, ahead time.Duration) (from *Reading, err error) {
	s.tried[m.Name] = true
	end := s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)
	began := time.Now()
	judged := pool.Neutral
	defer func() { end(judged, time.Since(began)) }()
	limited, cancel := context.WithTimeout(ctx, ahead+readTimes*pool.PrefillTime(s.request.Prompt.Tokens)+readSlack)
	defer cancel()
	from, answer, err := s.config.Endpoints.Read(limited, m.Endpoint, s.request, s.left())
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
			judged = pool.Mismatch
		}
		s.sends++
		err = errNotRun
	default:
		judged = pool.Success
		s.countRead()
		s.noteReading(m, keeper.PrefillTiming{Tokens: s.request.Prompt.Tokens, Span: time.Since(began) - ahead})
		delete(s.tried, m.Name)
		s.Meter.Prefill(s.service.Name, s.request.Prompt.Tokens)
	}
	if err != nil {
		s.Log.Info("a prompt was not read", "request", s.request.Attempt, "endpoint", m.Name,
			"tokens-ahead", m.Tokens, "span", time.Since(began), "error", err)
	}
	return from, err
}

// noteReading keeps how long a reading took until the endpoint's keeper is asked
// again.
func (r *Relay) noteReading(m pool.Member, took keeper.PrefillTiming) {
	took.Span -= readingTrips * r.config.Home.RoundTrip(m.Zone)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readings[m.Name] = took
}

func (r *Relay) takeReading(name ident.EndpointName) keeper.PrefillTiming {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	took := r.readings[name]
	delete(r.readings, name)
	return took
}

// countRead counts an accepted reading; the first is no repeat.
func (s *stream) countRead() {
	if s.read > 0 {
		s.sends++
	}
	s.read++
}
