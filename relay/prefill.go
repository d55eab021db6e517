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
	maxPrefillTries = 3
	// turnWait is the least wait for a turn that is asked for, and what is taken where
	// it is not known: a decode endpoint that reads the mean prompt itself is done
	// after twice the reading, some 200 ms.
	minSlotWait = 250 * time.Millisecond
	// turnMost is the longest wait for a turn: the memory at the decode endpoint is
	// held meanwhile, and a place whose run does not begin is taken back after 2.5 s.
	maxSlotWait = 500 * time.Millisecond
	// turnPause is the time between two rounds of asking for a turn: half of what the
	// mean prompt takes.
	slotRetryInterval = 50 * time.Millisecond
	// readingTrips is the ways there and back that are no part of a reading: that of a
	// new connection and that of the request.
	prefillRoundTrips = 2
	// readTimes and readSlack bound a reading: engines that are half as fast as
	// others, and a lost packet that is sent again, are within it.
	prefillTimeoutFactor = 3
	prefillTimeoutSlack  = 400 * time.Millisecond
)

// errNoTurn means that nobody can read the prompt in time.
var errNoPrefillSlot = errors.New("no engine can read the prompt in time")

// prefill has the prompt read at the endpoint that will be done first. It
// returns no reading if the decode endpoint is to read the prompt itself: where no
// endpoint reads prompts in time, and the answers that it makes do not stand still
// for too long.
func (s *stream) prefill(ctx context.Context, res *reservation) (*CachedPrompt, error) {
	window, _ := s.waitWindow()
	deadline := time.Now().Add(min(window, maxSlotWait))
	for tries := 0; tries < maxPrefillTries; {
		members := s.config.Pool.Members(s.service.Name, pool.Prefill)
		members = slices.DeleteFunc(members, func(m pool.Member) bool { return s.tried[m.Name] })
		members = s.config.Home.Prefills(members, res.member.Zone, time.Now())
		next := s.schedulePrefill(ctx, members, max(minSlotWait, time.Until(deadline)))
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case !next.granted && s.tryLocalPrefill(ctx, res, next.late):
			return nil, nil
		case !next.granted && time.Now().After(deadline):
			return nil, errNoPrefillSlot
		case !next.granted:
			common.Pause(ctx, slotRetryInterval)
			continue
		}
		tries++
		if s.prefills > 0 && s.sends == 0 {
			// The first reading was free; another one is an arrival.
			s.sends++
		}
		if !s.allowSend(ctx) {
			return nil, errors.Join(link.ErrNotSent, errNoRetry)
		}
		cached, err := s.prefillAt(ctx, next.member, next.ahead)
		if err == nil || ctx.Err() != nil {
			return cached, err
		}
	}
	return nil, nil
}

// turn is what came of asking prefill endpoints for a turn.
type prefillSlot struct {
	granted bool
	member  pool.Member
	// ahead is how long the reading has to wait for those before.
	ahead time.Duration
	// late is set if none was granted, but some endpoint would read the prompt later.
	late bool
}

// takeTurn asks the keepers beside prefill endpoints for a turn. An endpoint whose
// keeper is gone is used without one.
func (s *stream) schedulePrefill(ctx context.Context, members []pool.Member, wait time.Duration) (next prefillSlot) {
	for _, m := range members[:min(maxPrefillTries, len(members))] {
		if m.Suspended {
			break
		}
		if s.keeperUnreachable(m.Name) {
			return prefillSlot{granted: true, member: m, ahead: minSlotWait}
		}
		response, err := s.config.Keepers.Turn(ctx, m.Address, keeper.Turn{
			Attempt: s.request.Attempt, Tokens: s.request.Prompt.Tokens, Wait: wait, Last: s.takePrefillSample(m.Name),
		})
		if err != nil {
			if !s.keeperFailed(ctx, m, err) {
				continue
			}
			return prefillSlot{granted: true, member: m, ahead: minSlotWait}
		}
		if response.Down {
			s.config.Pool.Observe(m.Name, pool.Load{Ahead: downBackoff, Pace: m.Load.Pace, At: time.Now()})
			continue
		}
		next.late = true
		load := pool.Load{Ahead: response.Ahead, Pace: response.Pace, At: time.Now()}
		if response.Granted {
			load.Ahead += time.Duration(response.Pace * float64(pool.ReadingTime(s.request.Prompt.Tokens)))
		}
		s.config.Pool.Observe(m.Name, load)
		if response.Granted {
			return prefillSlot{granted: true, member: m, ahead: response.Ahead}
		}
	}
	return next
}

// readAt has the prompt read at one endpoint. One that takes far longer than it
// should is given up: it may be dark, and the prompt can be read elsewhere.
func (s *stream) prefillAt(ctx context.Context, m pool.Member, ahead time.Duration) (cached *CachedPrompt, err error) {
	s.tried[m.Name] = true
	end := s.config.Pool.Begin(m.Endpoint, s.request.Prompt.Tokens)
	began := time.Now()
	verdict := pool.Silent
	defer func() { end(verdict, time.Since(began)) }()
	limited, cancel := context.WithTimeout(ctx, ahead+prefillTimeoutFactor*pool.ReadingTime(s.request.Prompt.Tokens)+prefillTimeoutSlack)
	defer cancel()
	cached, response, err := s.config.Endpoints.Prefill(limited, m.Endpoint, s.request, s.timeLeft())
	switch {
	case err != nil:
		verdict = verdictOf(ctx, err)
		if !errors.Is(err, link.ErrNotSent) {
			s.countPrefill()
		}
		s.endpoint = m.Name
		s.recordCrash(ctx, err)
	case response != nil:
		verdict = pool.Failed
		if response.Misdirected {
			verdict = pool.Absent
		}
		s.sends++
		err = errNotExecuted
	default:
		verdict = pool.Good
		s.countPrefill()
		s.recordPrefill(m, keeper.Took{Tokens: s.request.Prompt.Tokens, Span: time.Since(began) - ahead})
		delete(s.tried, m.Name)
		s.Meter.Prefill(s.service.Name, s.request.Prompt.Tokens)
	}
	if err != nil {
		s.Log.Info("a prompt was not read", "request", s.request.Attempt, "endpoint", m.Name,
			"tokens-ahead", m.Tokens, "span", time.Since(began), "error", err)
	}
	return cached, err
}

// noteReading keeps how long a reading took until the endpoint's keeper is asked
// again.
func (r *Relay) recordPrefill(m pool.Member, sample keeper.Took) {
	sample.Span -= prefillRoundTrips * r.config.Home.RoundTrip(m.Zone)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prefillSamples[m.Name] = sample
}

func (r *Relay) takePrefillSample(name ident.EndpointName) keeper.Took {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sample := r.prefillSamples[name]
	delete(r.prefillSamples, name)
	return sample
}

// countRead counts an accepted reading; the first is no repeat.
func (s *stream) countPrefill() {
	if s.prefills > 0 {
		s.sends++
	}
	s.prefills++
}
