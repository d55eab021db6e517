// Package cost predicts what a request costs an engine, from what the system has seen: the real
// speed of each engine, the output that requests of a kind really have, and the work that is sent
// to an engine meanwhile.
package cost

import (
	"math"
	"slices"
	"time"
)

const (
	// medianSamples is how many of the newest samples a Median holds. Fewer than half of them may
	// be outliers, as when an engine pauses during a measurement.
	medianSamples = 15
	// minSamples is the number of samples from which on a median is known.
	minSamples = 3
	// sampleTTL is how long a sample is used: the speed of an engine drifts within minutes.
	sampleTTL = 2 * time.Minute
	// deviationFactor turns the median deviation of a normal distribution into its standard
	// deviation.
	deviationFactor = 1.4826
)

// Median estimates a quantity by the median of its newest samples, which up to half of them cannot
// falsify. The zero value has no samples.
type Median struct {
	samples [medianSamples]sample
	// next is the index of the oldest sample, or of the first unused one.
	next int
}

type sample struct {
	value float64
	// at is zero for an unused entry.
	at time.Time
}

// Add adds a sample. Values that are not positive and finite are ignored.
func (m *Median) Add(value float64, now time.Time) {
	if value <= 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		return
	}
	m.samples[m.next] = sample{value: value, at: now}
	m.next = (m.next + 1) % medianSamples
}

// Estimate returns the median and the standard deviation of the samples, or zeros if there are too
// few recent ones.
func (m *Median) Estimate(now time.Time) (median, deviation float64) {
	values := make([]float64, 0, medianSamples)
	for _, s := range m.samples {
		if !s.at.IsZero() && now.Sub(s.at) <= sampleTTL {
			values = append(values, s.value)
		}
	}
	if len(values) < minSamples {
		return 0, 0
	}
	median = middle(values)
	for i := range values {
		values[i] = math.Abs(values[i] - median)
	}
	return median, deviationFactor * middle(values)
}

// middle sorts the values, of which there is at least one, and returns their median.
func middle(values []float64) float64 {
	slices.Sort(values)
	half := len(values) / 2
	if len(values)%2 == 1 {
		return values[half]
	}
	return (values[half-1] + values[half]) / 2
}
