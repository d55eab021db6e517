package memory

import (
	"math"
	"sync"

	"crocusstep/ident"
)

const (
	// initialSpread is the standard deviation of the logarithm of output lengths until
	// they are learned: a factor of 1.65.
	initialSpread = 0.5
	// minSampleWeight is the minimum weight of the newest sample in a moving average.
	minSampleWeight = 0.02
	// minLengths is the number of samples needed for an estimate from the mean.
	minLengths = 10
)

// LengthEstimate is the distribution of an output's length before it is generated:
// lognormal, capped by a limit.
type LengthEstimate struct {
	// Median is in tokens.
	Median ident.TokenCount `json:"median"`
	// Spread is the standard deviation of the logarithm of the length.
	Spread float64 `json:"spread"`
	// Limit is the maximum length in tokens; zero means none.
	Limit ident.TokenCount `json:"limit"`
}

// Run returns the memory use of a request with this output length, given the tokens
// that it holds and those that it has generated.
func (l LengthEstimate) Run(held, generated ident.TokenCount) Run {
	remaining := ident.TokenCount(l.remaining(float64(generated)))
	return Run{Held: held, Remaining: remaining, StdDev: ident.TokenCount(l.Spread * float64(remaining))}
}

// remaining returns the mean number of tokens still to be generated, given those
// generated so far. Outputs that reach the limit end there.
func (l LengthEstimate) remaining(generated float64) float64 {
	median, spread := math.Max(1, float64(l.Median)), math.Max(0.01, l.Spread)
	mean := median * math.Exp(spread*spread/2)
	limit, hasLimit := float64(l.Limit), l.Limit > 0
	if hasLimit && generated >= limit {
		return 0
	}
	// tail is the probability of a length above the given one; partialMean is the
	// integral of the length over these.
	tail := func(length float64) float64 { return normalTail(math.Log(length/median) / spread) }
	partialMean := func(length float64) float64 { return mean * normalTail(math.Log(length/median)/spread-spread) }
	probability, sum := 1.0, mean
	if generated > 0 {
		probability, sum = tail(generated), partialMean(generated)
	}
	if probability < 1e-6 {
		// Far out in the tail, the remainder grows in proportion to the tokens
		// generated.
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

// normalTail is the probability that a standard normal variable exceeds z.
func normalTail(z float64) float64 { return 0.5 * math.Erfc(z/math.Sqrt2) }

// LengthEstimator learns the distribution of output lengths and the error of callers'
// estimates. It is safe for concurrent use.
type LengthEstimator struct {
	mutex sync.Mutex
	count int
	// mean and variance are those of the logarithm of the length.
	mean, variance movingAverage
	// estimateVariance is the mean squared logarithm of length over estimate.
	estimateVariance movingAverage
}

// movingAverage is the plain mean of the first samples and an exponential average
// later.
type movingAverage float64

func (a *movingAverage) add(sample float64, count int) {
	*a += movingAverage(math.Max(minSampleWeight, 1/float64(count)) * (sample - float64(*a)))
}

// Observe adds the length of a complete output, with the caller's estimate or zero.
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

// Estimate combines the caller's estimate, which may be zero, with the lengths
// observed, each weighted by the inverse of its variance.
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
