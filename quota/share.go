package quota

import "time"

// share is one relay's equal share of the slack, which it uses without a call.
type share struct {
	level Units
	// at is when level was computed, zero before the first use.
	at time.Time
	// perSecond is the rate of this relay; it accumulates for shareSpan.
	perSecond Units
}

// update fills the share, which starts empty: its process may have been restarted.
func (s *share) update(now time.Time, limit Limit, relays int) {
	s.perSecond = limit.sharePerSecond() / Units(max(1, relays))
	if elapsed := now.Sub(s.at); !s.at.IsZero() && elapsed > 0 {
		s.level += s.perSecond * Units(elapsed.Seconds())
	}
	s.level = min(s.level, s.capacity())
	s.at = now
}

func (s *share) capacity() Units { return s.perSecond * Units(shareSpan.Seconds()) }
