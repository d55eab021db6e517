package cost

import (
	"math"
	"sync"

	"crocusstep/ident"
	"crocusstep/memory"
)

const (
	// octaveBuckets is the number of buckets for a factor of two.
	octaveBuckets = 4
	// maxOctaves is the largest factor, as a power of two, by which values differ from one.
	maxOctaves = 8
	// lengthUnit is the output in tokens around which lengths are counted: with eight octaves,
	// from 4 to 256,000 tokens.
	lengthUnit = 1000.0
	buckets    = 2*maxOctaves*octaveBuckets + 1
	// sampleDecay is the weight that a sample loses with each newer one, so that a histogram
	// covers about 50.
	sampleDecay = 0.98
	// minWeight is the sum of weights from which on a histogram is used: a median of 20 samples
	// is off by about a quarter of their spread.
	minWeight = 20.0
	// maxKinds bounds the histograms. Further kinds use those of all requests.
	maxKinds = 512
	// gainDecay is the weight that the error of a prediction loses with each newer one, so that
	// their mean covers about 100.
	gainDecay = 0.99
	// minGain is how much closer the learned predictions must be, in units of the logarithm:
	// below it the difference is that of chance, and the other prediction stays.
	minGain = 0.05
	// upperQuantile is one standard deviation above the median of a normal distribution.
	upperQuantile = 0.841
	minSpread     = 0.05
)

// Kind is a kind of request whose outputs are alike.
type Kind struct {
	Route     string
	Workspace ident.WorkspaceName
}

// Outputs learns how long outputs are, and how they compare with callers' hints, by route and
// workspace, by route, and for all requests. It is safe for concurrent use.
type Outputs struct {
	mutex sync.Mutex
	kinds map[Kind]*outputs
}

// outputs is what was seen of one kind.
type outputs struct {
	// lengths are in units of lengthUnit, ratios are lengths over hints.
	lengths, ratios histogram
	// gain is the mean by which the errors of the learned predictions are smaller than those of
	// the other ones.
	gain float64
}

// histogram counts values by their logarithm, newer ones with more weight.
type histogram struct {
	weights [buckets]float64
	sum     float64
}

// NewOutputs returns an Outputs that has seen no output.
func NewOutputs() *Outputs { return &Outputs{kinds: map[Kind]*outputs{}} }

// Observe adds the output of a complete request, its hint, which may be zero, and what was
// predicted without what was learned here.
func (o *Outputs) Observe(kind Kind, hint, predicted, output ident.TokenCount) {
	if output <= 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, k := range fallbacks(kind) {
		seen, found := o.kinds[k]
		if !found {
			if len(o.kinds) >= maxKinds && k != (Kind{}) {
				continue
			}
			seen = &outputs{}
			o.kinds[k] = seen
		}
		seen.compare(hint, predicted, output)
		seen.lengths.add(float64(output) / lengthUnit)
		if hint > 0 {
			seen.ratios.add(float64(output) / float64(hint))
		}
	}
}

// fallbacks returns the kinds of which a request's is one, the narrowest first.
func fallbacks(kind Kind) []Kind {
	list := []Kind{kind}
	if kind.Workspace != "" {
		list = append(list, Kind{Route: kind.Route})
	}
	return append(list, Kind{})
}

// Estimate predicts an output from its hint, corrected by the median ratio of the narrowest kind
// with enough samples, and from the outputs of that kind, each weighted by the inverse of its
// variance: hints that say nothing get little weight. The prediction stays as it is without enough
// samples, and if those that were learned have not been closer.
func (o *Outputs) Estimate(kind Kind, hint ident.TokenCount, predicted memory.LengthEstimate) memory.LengthEstimate {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, k := range fallbacks(kind) {
		seen, found := o.kinds[k]
		if !found || seen.lengths.sum < minWeight {
			continue
		}
		if seen.gain < minGain {
			return predicted
		}
		median, spread := seen.estimate(hint)
		predicted.Median = max(1, ident.TokenCount(math.Round(math.Exp(median))))
		predicted.Spread = spread
		return predicted
	}
	return predicted
}

// estimate returns the logarithm of the expected output and its spread.
func (o *outputs) estimate(hint ident.TokenCount) (median, spread float64) {
	median, spread = o.lengths.logarithm()
	median += math.Log(lengthUnit)
	if hint > 0 && o.ratios.sum >= minWeight {
		ratio, ratioSpread := o.ratios.logarithm()
		weight, hintWeight := 1/(spread*spread), 1/(ratioSpread*ratioSpread)
		median = (weight*median + hintWeight*(ratio+math.Log(float64(hint)))) / (weight + hintWeight)
		spread = math.Sqrt(1 / (weight + hintWeight))
	}
	return median, spread
}

// compare updates gain by the predictions of one output.
func (o *outputs) compare(hint, predicted, output ident.TokenCount) {
	if o.lengths.sum < minWeight {
		return
	}
	learned, _ := o.estimate(hint)
	actual := math.Log(float64(output))
	gain := math.Abs(math.Log(float64(max(1, predicted)))-actual) - math.Abs(learned-actual)
	o.gain = gainDecay*o.gain + (1-gainDecay)*gain
}

// logarithm returns the logarithm of the median, and its distance from that of the upper quantile.
func (h *histogram) logarithm() (median, spread float64) {
	median = math.Log(h.quantile(0.5))
	return median, max(minSpread, math.Log(h.quantile(upperQuantile))-median)
}

func (h *histogram) add(ratio float64) {
	h.sum = 0
	for i := range h.weights {
		h.weights[i] *= sampleDecay
		h.sum += h.weights[i]
	}
	i := int(math.Round(octaveBuckets*math.Log2(ratio))) + maxOctaves*octaveBuckets
	h.weights[min(max(i, 0), buckets-1)]++
	h.sum++
}

// quantile returns a quantile of the ratios, interpolated within its bucket.
func (h *histogram) quantile(q float64) float64 {
	rest := q * h.sum
	for i, weight := range h.weights {
		if rest <= weight && weight > 0 {
			position := float64(i-maxOctaves*octaveBuckets) - 0.5 + rest/weight
			return math.Exp2(position / octaveBuckets)
		}
		rest -= weight
	}
	return math.Exp2(maxOctaves)
}
