package memory

import (
	"math"
	"sync"

	"crocusstep/ident"
)

const (
	// spreadFirst is the standard deviation of the logarithm of lengths and of
	// estimates until they were learned: that of a factor of 1.65.
	spreadFirst = 0.5
	// lengthShare is the weight of the newest length.
	lengthShare = 0.02
	// lengthsLeast is the lengths seen before the mean says anything.
	lengthsLeast = 10
)

// LengthEstimate is what is known of an answer's length before it is made: a lognormal
// about a median, with a limit.
type LengthEstimate struct {
	// Median is in tokens.
	Median ident.TokenCount `json:"median"`
	// Spread is the standard deviation of the length's logarithm.
	Spread float64 `json:"spread"`
	// Limit is the greatest length; zero is none.
	Limit ident.TokenCount `json:"limit"`
}

// Run returns the run of an answer of that length which holds some tokens and has
// made some of them.
func (l LengthEstimate) Run(held, made ident.TokenCount) Run {
	left := ident.TokenCount(l.left(float64(made)))
	return Run{Held: held, Remaining: left, StdDev: ident.TokenCount(l.Spread * float64(left))}
}

// left is the mean of what is still to come once some tokens were made, where
// longer answers end at the limit.
func (l LengthEstimate) left(made float64) float64 {
	median, spread := math.Max(1, float64(l.Median)), math.Max(0.01, l.Spread)
	mean := median * math.Exp(spread*spread/2)
	limit, hasLimit := float64(l.Limit), l.Limit > 0
	if hasLimit && made >= limit {
		return 0
	}
	// tail and weighted are the chance of more than a length, and the mean over
	// those that are longer, times that chance.
	tail := func(length float64) float64 { return normalTail(math.Log(length/median) / spread) }
	weighted := func(length float64) float64 { return mean * normalTail(math.Log(length/median)/spread-spread) }
	above, sum := 1.0, mean
	if made > 0 {
		above, sum = tail(made), weighted(made)
	}
	if above < 1e-6 {
		// Far out, what is left grows with what was made.
		sum, above = made*(1+spread*spread/2), 1
	} else if hasLimit {
		sum += limit*tail(limit) - weighted(limit)
	}
	left := math.Max(block, sum/above-made)
	if hasLimit {
		left = math.Min(left, limit-made)
	}
	return left
}

// normalTail is the chance that a standard normal exceeds z.
func normalTail(z float64) float64 { return 0.5 * math.Erfc(z/math.Sqrt2) }

// LengthEstimator learns how long answers are and how far callers' estimates are off. It
// is safe for concurrent use.
type LengthEstimator struct {
	mutex sync.Mutex
	count int
	// mean and spread are of the logarithm of lengths.
	mean, spread average
	// off is of the squared logarithm of length by estimate.
	off average
}

// average is a mean in which the newest sample counts most.
type average float64

func (a *average) add(sample float64, count int) {
	*a += average(math.Max(lengthShare, 1/float64(count)) * (sample - float64(*a)))
}

// Observe learns from an answer that ended: its estimate, which may be zero, and
// its length.
func (l *LengthEstimator) Observe(estimate, length ident.TokenCount) {
	if length <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.count++
	log := math.Log(float64(length))
	if l.count > 1 {
		deviation := log - float64(l.mean)
		l.spread.add(deviation*deviation, l.count-1)
	}
	l.mean.add(log, l.count)
	if estimate > 0 {
		deviation := log - math.Log(float64(estimate))
		l.off.add(deviation*deviation, l.count)
	}
}

// Estimate returns what is known of an answer by the caller's estimate, which may
// be zero, and by the answers before, each weighed by how far it is off.
func (l *LengthEstimator) Estimate(estimate, limit ident.TokenCount) LengthEstimate {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.count >= lengthsLeast
	switch {
	case !known && estimate <= 0:
		return LengthEstimate{Median: max(1, limit/2), Spread: spreadFirst, Limit: limit}
	case !known:
		return LengthEstimate{Median: estimate, Spread: spreadFirst, Limit: limit}
	case estimate <= 0:
		return LengthEstimate{Median: ident.TokenCount(math.Exp(float64(l.mean))), Spread: math.Sqrt(float64(l.spread)), Limit: limit}
	}
	const least = 1e-4
	trust, prior := 1/math.Max(least, float64(l.off)), 1/math.Max(least, float64(l.spread))
	log := (trust*math.Log(float64(estimate)) + prior*float64(l.mean)) / (trust + prior)
	return LengthEstimate{Median: ident.TokenCount(math.Exp(log)), Spread: math.Sqrt(1 / (trust + prior)), Limit: limit}
}
