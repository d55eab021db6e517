package queue

import "time"

// paceShare is the weight of the newest observation.
const paceShare = 0.2

// pace learns how long one unit of cost holds a place.
type pace struct {
	// known is false until the first observation.
	known   bool
	average float64
}

func (p *pace) observe(cost float64, span time.Duration) {
	if cost <= 0 {
		return
	}
	sample := float64(span) / cost
	if !p.known {
		p.known = true
		p.average = sample
		return
	}
	p.average += paceShare * (sample - p.average)
}

// perCost returns the learned time per unit of cost, or zero.
func (p *pace) perCost() time.Duration { return time.Duration(p.average) }
