package pool

import (
	"math/rand/v2"
	"time"

	"crocusstep/rate"
)

// limit is what a process takes from all relays together, and what this process has used of it.
type limit struct {
	// rate is zero if the process states no limit; the share is then nil.
	rate rate.PerSecond
	// statedAt is when the process last stated a limit.
	statedAt time.Time
	// share is this process's share of the limit.
	share *rate.Share
	// returned counts permits that were not used, until returnedUntil.
	returned      int
	returnedUntil time.Time
	// deniedUntil is when a permit beyond the share may be requested again without a wait.
	deniedUntil time.Time
	// nextPermit is when the next permit beyond the share was expected to become valid.
	nextPermit time.Time
}

// returnedTTL is how long a returned permit is valid.
const returnedTTL = time.Second

// SetLimit records the limit that a process states in the response to a request sent at
// sentAt, or zero if it states none. That ends a limit only if the request was sent after the
// limit was last stated: another response may have overtaken this one. It reports whether the
// limit changed.
func (p *Pool) SetLimit(e Endpoint, stated rate.PerSecond, sentAt, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	if !known || !m.runs(e) || stated == 0 && !sentAt.After(m.limit.statedAt) {
		return false
	}
	changed := m.limit.rate != stated
	if stated == 0 {
		m.limit = limit{statedAt: m.limit.statedAt}
		return changed
	}
	if m.limit.share == nil {
		m.limit.share = rate.NewShare(rand.Float64())
	}
	m.limit.rate, m.limit.statedAt = stated, now
	return changed
}

// AcquirePermit takes a permit of this process's share in the limit of a process, which a
// number of relays divide. It reports true if the process states no limit.
func (p *Pool) AcquirePermit(e Endpoint, relays int) bool {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	if !known || !m.runs(e) || m.limit.rate == 0 {
		return true
	}
	if m.limit.returned > 0 && now.Before(m.limit.returnedUntil) {
		m.limit.returned--
		return true
	}
	m.limit.returned = 0
	return m.limit.share.TryAcquire(now, m.limit.rate, relays)
}

// ReturnPermit returns a permit that was not used.
func (p *Pool) ReturnPermit(e Endpoint) {
	p.updateLimit(e, func(l *limit) { l.returned, l.returnedUntil = l.returned+1, time.Now().Add(returnedTTL) })
}

// ChargePermit takes a permit for a request that cannot wait for one.
func (p *Pool) ChargePermit(e Endpoint) { p.updateLimit(e, func(l *limit) { l.share.Charge() }) }

// DenyPermits records that a permit beyond the share was denied: one is expected to become valid
// at next, and may be requested without a wait from retryAt on.
func (p *Pool) DenyPermits(e Endpoint, next, retryAt time.Time) {
	p.updateLimit(e, func(l *limit) { l.nextPermit, l.deniedUntil = next, retryAt })
}

// NextPermit returns when a permit beyond the share is expected to become valid, and when one
// may be requested without a wait.
func (p *Pool) NextPermit(e Endpoint) (next, retryAt time.Time) {
	p.updateLimit(e, func(l *limit) { next, retryAt = l.nextPermit, l.deniedUntil })
	return next, retryAt
}

// updateLimit changes the limit of a process that states one.
func (p *Pool) updateLimit(e Endpoint, update func(l *limit)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if m, known := p.members[e.Name]; known && m.runs(e) && m.limit.rate > 0 {
		update(&m.limit)
	}
}
