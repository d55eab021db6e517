package keeper

import (
	"time"

	"crocusstep/cost"
	"crocusstep/pool"
)

// engineSpeed learns how fast the engine is. It is forgotten when the engine restarts.
type engineSpeed struct {
	// slowdown samples the ratio of measured to nominal prefill time, step the time of decode
	// steps in seconds.
	slowdown, step cost.Median
}

// addPrefill adds a measured prefill.
func (s *engineSpeed) addPrefill(last PrefillTiming, now time.Time) {
	if last.Tokens > 0 {
		s.slowdown.Add(float64(last.Duration)/float64(pool.PrefillTime(last.Tokens)), now)
	}
}

// addStep adds a measured decode step.
func (s *engineSpeed) addStep(step time.Duration, now time.Time) { s.step.Add(step.Seconds(), now) }

// speed returns what is known.
func (s *engineSpeed) speed(now time.Time) *cost.Speed {
	slowdown, _ := s.slowdown.Estimate(now)
	step, _ := s.step.Estimate(now)
	return &cost.Speed{Slowdown: slowdown, Step: time.Duration(step * float64(time.Second))}
}
