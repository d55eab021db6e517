package keeper

import "time"

const (
	// stepShare is the weight of the newest measurement.
	stepShare = 0.05
	// stepsLeast is the measurements needed before the default is left.
	stepsLeast = 10
	// runsApart is the variance of the runs from which on it is told how much each
	// of them adds to a step.
	runsApart = 1.0
)

// steps learns the time for one token of every run as a line over the number of
// runs, the newest measurements counting most.
type steps struct {
	count int
	// runs and time are means, runsRuns and runsTime means of products; time is in
	// seconds.
	runs, time, runsRuns, runsTime float64
}

func (s *steps) add(runs int, step time.Duration) {
	s.count++
	share := max(stepShare, 1/float64(s.count))
	n, t := float64(runs), step.Seconds()
	s.runs += share * (n - s.runs)
	s.time += share * (t - s.time)
	s.runsRuns += share * (n*n - s.runsRuns)
	s.runsTime += share * (n*t - s.runsTime)
}

// at returns the time for a token while there are some runs.
func (s *steps) at(runs float64) time.Duration {
	if s.count < stepsLeast {
		return stepDefault
	}
	each := 0.0
	if apart := s.runsRuns - s.runs*s.runs; apart >= runsApart {
		each = max(0, (s.runsTime-s.runs*s.time)/apart)
	}
	return time.Duration(max(s.time/2, s.time+each*(runs-s.runs)) * float64(time.Second))
}
