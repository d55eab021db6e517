package cost

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// gumbelScale turns a standard deviation into the scale of a Gumbel distribution: sqrt(6) / pi.
const gumbelScale = 0.7797

// Uncertainty returns the standard deviation of the work that other processes have sent to an
// engine since its last report: requests of the given work that arrive at random and keep the
// engine busy for a share of the time. It is zero with a new report.
func Uncertainty(work, age time.Duration, busy float64) time.Duration {
	return time.Duration(math.Sqrt(max(0, busy) * float64(max(0, work)) * float64(max(0, age))))
}

// Order sorts candidates by expected cost. Where the costs are uncertain, cheaper candidates come
// first more often, not always: processes that know the same old reports would otherwise all choose
// the same one. Each candidate comes first with a probability that falls exponentially with its
// cost. Without uncertainty the order is that of the costs, and stable.
func Order[T any](list []T, expected func(T) (cost, uncertainty time.Duration), random *rand.Rand) []T {
	keys := make([]float64, len(list))
	order := make([]int, len(list))
	for i, candidate := range list {
		mean, deviation := expected(candidate)
		keys[i], order[i] = float64(mean), i
		if deviation > 0 {
			keys[i] -= gumbelScale * float64(deviation) * gumbel(random)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
	sorted := make([]T, len(list))
	for i, from := range order {
		sorted[i] = list[from]
	}
	return sorted
}

// gumbel returns a sample of the standard Gumbel distribution. Costs less such samples are lowest
// with probabilities that are exponential in the costs.
func gumbel(random *rand.Rand) float64 {
	u := rand.Float64
	if random != nil {
		u = random.Float64
	}
	return -math.Log(-math.Log(max(u(), math.SmallestNonzeroFloat64)))
}
