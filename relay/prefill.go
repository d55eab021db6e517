package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"crocusstep/ident"
	"crocusstep/link"
	"crocusstep/place"
	"crocusstep/pool"
)

const (
	// triedPrefills bounds the prefill endpoints asked for one reading.
	triedPrefills = 3
	// turnWait is the longest wait for a turn: a decode endpoint that reads the
	// mean prompt itself is done after twice the reading, some 200 ms.
	turnWait = 250 * time.Millisecond
	// readTimes and readSlack bound a reading: engines that are half as fast as
	// others, and a lost packet that is sent again, are within it.
	readTimes = 3
	readSlack = 400 * time.Millisecond
)

// prefill has the prompt read at the endpoint that will be done first. It
// returns no reading if the decode endpoint is to read the prompt itself, which
// takes it twice the time: where no endpoint reads prompts, or all are late.
func (s *stream) prefill(ctx context.Context, answered ident.ZoneName) (*Reading, error) {
	for asked := 0; asked < triedPrefills; asked++ {
		members := s.config.Pool.Members(s.service.Name, pool.Prefill)
		members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
		members = s.config.Home.Prefills(members, answered, time.Now())
		m, ahead, found := s.takeTurn(ctx, members)
		if !found || ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if s.read > 0 && s.sends == 0 {
			// The first reading was free; another one is an arrival.
			s.sends++
		}
		if !s.mayArrive(ctx) {
			return nil, errors.Join(link.ErrNotSent, errNoRepeat)
		}
		from, err := s.readAt(ctx, m, ahead)
		if err == nil || ctx.Err() != nil {
			return from, err
		}
	}
	return nil, nil
}

// takeTurn asks the keepers beside prefill endpoints for a turn, and returns how
// long the reading has to wait for those before.
func (s *stream) takeTurn(ctx context.Context, members []pool.Member) (m pool.Member, ahead time.Duration, found bool) {
	for _, m := range members[:min(triedPrefills, len(members))] {
		if m.Suspended {
			break
		}
		if s.keeperGone(m.Name) {
			return m, turnWait, true
		}
		answer, err := s.config.Places.Turn(ctx, m.Address, place.Turn{
			Attempt: s.request.Attempt, Tokens: s.request.Prompt.Tokens, Wait: turnWait,
		})
		if err != nil {
			if !s.keeperFailed(ctx, m, err) {
				continue
			}
			return m, turnWait, true
		}
		if answer.Down {
			continue
		}
		load := pool.Load{Ahead: answer.Ahead, At: time.Now()}
		if answer.Granted {
			load.Ahead += pool.ReadingTime(s.request.Prompt.Tokens)
		}
		s.config.Pool.Observe(m.Name, load)
		if answer.Granted {
			return m, answer.Ahead, true
		}
	}
	return pool.Member{}, 0, false
}

// readAt has the prompt read at one endpoint. One that takes far longer than it
// should is given up: it may be dark, and the prompt can be read elsewhere.
func (s *stream) readAt(ctx context.Context, m pool.Member, ahead time.Duration) (from *Reading, err error) {
	s.tried[m.Name] = true
	end := s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)
	began := time.Now()
	judged := pool.Silent
	defer func() { end(judged, time.Since(began)) }()
	limited, cancel := context.WithTimeout(ctx, ahead+readTimes*pool.ReadingTime(s.request.Prompt.Tokens)+readSlack)
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
			judged = pool.Absent
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
