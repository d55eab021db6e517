package rate

import "time"

const (
	// shareRatio is the part of a limit that all processes divide equally, without
	// coordination.
	shareRatio = 0.2
	// permitTTL is how long a process may use a permit of its share. Permits of processes that
	// have been idle would otherwise all be used in the same instant.
	permitTTL = 500 * time.Millisecond
)

// Share is one process's equal share of a limit: permits that become valid one period after
// the other, and expire.
type Share struct {
	// phase is the part of a period before the first permit.
	phase float64
	// period is the time between two permits, zero before the first use.
	period time.Duration
	// next is when the next permit becomes valid.
	next time.Time
}

// NewShare returns a share whose first permit becomes valid after a part of a period. Processes
// need different phases, so that their permits do not become valid together.
func NewShare(phase float64) *Share { return &Share{phase: phase} }

// TryAcquire takes a permit of the share that one of a number of processes has in a limit. It
// reports whether one is valid.
func (s *Share) TryAcquire(now time.Time, limit PerSecond, processes int) bool {
	s.update(now, limit, processes)
	if now.Before(s.next) {
		return false
	}
	s.next = s.next.Add(s.period)
	return true
}

// Charge takes the next permit for a request that is sent without one.
func (s *Share) Charge() { s.next = s.next.Add(s.period) }

// update applies a change of the share's size and drops expired permits.
func (s *Share) update(now time.Time, limit PerSecond, processes int) {
	period := max(1, limit.period(shareRatio/float64(max(1, processes))))
	switch {
	case s.period == 0:
		s.next = now.Add(time.Duration(s.phase * float64(period)))
	case s.period != period && s.next.After(now):
		s.next = now.Add(time.Duration(float64(s.next.Sub(now)) / float64(s.period) * float64(period)))
	}
	s.period = period
	if expired := now.Sub(s.next) - permitTTL; expired > 0 {
		s.next = s.next.Add((expired/period + 1) * period)
	}
}
