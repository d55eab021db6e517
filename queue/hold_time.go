package queue

import "time"

// holdTimeSmoothing is the weight of the newest sample in the moving average.
const holdTimeSmoothing = 0.2

// holdTime is a moving average of how long a slot is held per unit of cost.
type holdTime struct {
	// known is false until the first sample.
	known   bool
	average float64
}

func (h *holdTime) observe(cost float64, duration time.Duration) {
	if cost <= 0 {
		return
	}
	sample := float64(duration) / cost
	if !h.known {
		h.known = true
		h.average = sample
		return
	}
	h.average += holdTimeSmoothing * (sample - h.average)
}

// perCost returns the average hold time per unit of cost; zero if unknown.
func (h *holdTime) perCost() time.Duration { return time.Duration(h.average) }
