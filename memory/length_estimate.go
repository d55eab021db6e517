package memory

import (
	"math"
	"sync"

	"crocusstep/ident"
)

const (
	// spreadFirst is the standard deviation of the logarithm of lengths and of
	// estimates until they were learned: that of a factor of 1.65.
	initialSpread = 0.5
	// lengthShare is the weight of the newest length.
	newestWeight = 0.02
	// lengthsLeast is the lengths seen before the mean says anything.
	minLengths = 10
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
func (l LengthEstimate) Run(held, generated ident.TokenCount) Run {
	remaining := ident.TokenCount(l.remaining(float64(generated)))
	return Run{Held: held, Remaining: remaining, StdDev: ident.TokenCount(l.Spread * float64(remaining))}
}

// left is the mean of what is still to come once some tokens were made, where
// longer answers end at the limit.
func (l LengthEstimate) remaining(generated float64) float64 {
	median, spread := math.Max(1, float64(l.Median)), math.Max(0.01, l.Spread)
	mean := median * math.Exp(spread*spread/2)
	limit, hasLimit := float64(l.Limit), l.Limit > 0
	if hasLimit && generated >= limit {
		return 0
	}
	// tail and weighted are the chance of more than a length, and the mean over
	// those that are longer, times that chance.
	tail := func(length float64) float64 { return normalTail(math.Log(length/median) / spread) }
	partialMean := func(length float64) float64 { return mean * normalTail(math.Log(length/median)/spread-spread) }
	probability, sum := 1.0, mean
	if generated > 0 {
		probability, sum = tail(generated), partialMean(generated)
	}
	if probability < 1e-6 {
		// Far out, what is left grows with what was made.
		sum, probability = generated*(1+spread*spread/2), 1
	} else if hasLimit {
		sum += limit*tail(limit) - partialMean(limit)
	}
	remaining := math.Max(blockTokens, sum/probability-generated)
	if hasLimit {
		remaining = math.Min(remaining, limit-generated)
	}
	return remaining
}

// normalTail is the chance that a standard normal exceeds z.
func normalTail(z float64) float64 { return 0.5 * math.Erfc(z/math.Sqrt2) }

// LengthEstimator learns how long answers are and how far callers' estimates are off. It
// is safe for concurrent use.
type LengthEstimator struct {
	mutex sync.Mutex
	count int
	// mean and spread are of the logarithm of lengths.
	mean, variance movingAverage
	// off is of the squared logarithm of length by estimate.
	estimateVariance movingAverage
}

// average is a mean in which the newest sample counts most.
type movingAverage float64

func (a *movingAverage) add(sample float64, count int) {
	*a += movingAverage(math.Max(newestWeight, 1/float64(count)) * (sample - float64(*a)))
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
		l.variance.add(deviation*deviation, l.count-1)
	}
	l.mean.add(log, l.count)
	if estimate > 0 {
		deviation := log - math.Log(float64(estimate))
		l.estimateVariance.add(deviation*deviation, l.count)
	}
}

// Estimate returns what is known of an answer by the caller's estimate, which may
// be zero, and by the answers before, each weighed by how far it is off.
func (l *LengthEstimator) Estimate(estimate, limit ident.TokenCount) LengthEstimate {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	learned := l.count >= minLengths
	switch {
	case !learned && estimate <= 0:
		return LengthEstimate{Median: max(1, limit/2), Spread: initialSpread, Limit: limit}
	case !learned:
		return LengthEstimate{Median: estimate, Spread: initialSpread, Limit: limit}
	case estimate <= 0:
		return LengthEstimate{Median: ident.TokenCount(math.Exp(float64(l.mean))), Spread: math.Sqrt(float64(l.variance)), Limit: limit}
	}
	const minVariance = 1e-4
	estimateWeight, priorWeight := 1/math.Max(minVariance, float64(l.estimateVariance)), 1/math.Max(minVariance, float64(l.variance))
	logMedian := (estimateWeight*math.Log(float64(estimate)) + priorWeight*float64(l.mean)) / (estimateWeight + priorWeight)
	return LengthEstimate{Median: ident.TokenCount(math.Exp(logMedian)), Spread: math.Sqrt(1 / (estimateWeight + priorWeight)), Limit: limit}
}
