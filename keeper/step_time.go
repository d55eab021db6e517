package keeper

import "time"

const (
	// stepWeight is the weight of the newest measurement.
	stepWeight = 0.05
	// minStepSamples is the number of measurements before the default is replaced.
	minStepSamples = 10
	// minVariance is the variance of the number of requests from which on the slope
	// is meaningful.
	minVariance = 1.0
)

// stepEstimator learns the time of one decode step as a linear function of the number
// of running requests, by a regression over exponential moving averages.
type stepEstimator struct {
	count int
	// requests and time are means, requestsSquared and requestsTime means of products;
	// time is in seconds.
	requests, time, requestsSquared, requestsTime float64
}

func (s *stepEstimator) add(requests int, step time.Duration) {
	s.count++
	weight := max(stepWeight, 1/float64(s.count))
	n, t := float64(requests), step.Seconds()
	s.requests += weight * (n - s.requests)
	s.time += weight * (t - s.time)
	s.requestsSquared += weight * (n*n - s.requestsSquared)
	s.requestsTime += weight * (n*t - s.requestsTime)
}

// estimate returns the step time with the given number of running requests, assumed until
// it is measured.
func (s *stepEstimator) estimate(requests float64) time.Duration {
	if step := s.measured(requests); step > 0 {
		return step
	}
	return defaultStepTime
}

// measured returns the step time with the given number of running requests, or zero until
// enough steps have been measured.
func (s *stepEstimator) measured(requests float64) time.Duration {
	if s.count < minStepSamples {
		return 0
	}
	slope := 0.0
	if variance := s.requestsSquared - s.requests*s.requests; variance >= minVariance {
		slope = max(0, (s.requestsTime-s.requests*s.time)/variance)
	}
	return time.Duration(max(s.time/2, s.time+slope*(requests-s.requests)) * float64(time.Second))
}
