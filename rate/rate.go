// Package rate keeps all processes together within the rate of requests that an endpoint
// takes.
package rate

import "time"

// PerSecond is a number of requests a second.
type PerSecond float64

// period returns the time between two requests at a part of the rate.
func (r PerSecond) period(ratio float64) time.Duration {
	return time.Duration(float64(time.Second) / (ratio * float64(r)))
}

// Lowest and Highest bound the limits that endpoints state. At the lowest one request in 20 s
// still shows when the limit ends.
const (
	Lowest  PerSecond = 0.05
	Highest PerSecond = 1e6
)
