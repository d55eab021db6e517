package admit

import (
	"math"
	"time"
)

// average is a sum whose parts decay exponentially with their age.
type average struct {
	sum       float64
	updatedAt time.Time
}

// add adds an amount.
func (a *average) add(now time.Time, amount float64, window time.Duration) {
	a.sum = a.at(now, window) + amount
	a.updatedAt = now
}

// at returns the sum at a time that is not before the last addition.
func (a *average) at(now time.Time, window time.Duration) float64 {
	return a.sum * decay(now.Sub(a.updatedAt), window)
}

// decay returns the part that is left of an amount of the given age.
func decay(age, window time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / window.Seconds())
}
