// Package trial benchmarks routing policies: it sends a generated workload through real
// entries and agents to fake engines, in virtual time, and compares the goodput with an
// upper bound. It compares methods of recording actions in the same way.
package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"crocusstep/fake"
	"crocusstep/ident"
)

// Arrival is one request of a workload.
type Arrival struct {
	// At is the time from the start of the workload.
	At           time.Duration
	Content      string
	PromptTokens ident.TokenCount
	// Entry is the index of the entry that receives the request.
	Entry int
}

// Workload is a list of requests in the order of arrival.
type Workload struct {
	Arrivals []Arrival
	Duration time.Duration
}

// RequestShape is the distribution of prompts and outputs.
type RequestShape struct {
	// MeanPromptTokens is the mean length of a prompt.
	MeanPromptTokens float64
	// OutputTokens is the length of each output.
	OutputTokens int
	// SharedPrefixShare is the share of prompts that begin with a shared prefix.
	SharedPrefixShare float64
}

const (
	// promptSpread is the sigma of the lognormal prompt length.
	promptSpread = 0.7
	// sharedPrefixTokens is the length of a shared prefix.
	sharedPrefixTokens = 500
	// sharedPrefixCount is the number of different shared prefixes.
	sharedPrefixCount = 8
	entryCount        = 3
)

// NewSteadyWorkload returns Poisson arrivals with a mean rate per second.
func NewSteadyWorkload(shape RequestShape, rate float64, duration time.Duration, seed uint64) Workload {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := Workload{Duration: duration}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return w
		}
		w.Arrivals = append(w.Arrivals, newArrival(shape, at, len(w.Arrivals), rng))
	}
}

// NewHerdWorkload returns a thundering herd: all requests arrive in the first second.
func NewHerdWorkload(shape RequestShape, count int, duration time.Duration, seed uint64) Workload {
	rng := rand.New(rand.NewPCG(seed, 12))
	w := Workload{Duration: duration}
	for i := range count {
		at := time.Duration(rng.Int64N(int64(time.Second)))
		w.Arrivals = append(w.Arrivals, newArrival(shape, at, i, rng))
	}
	slices.SortFunc(w.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return w
}

func newArrival(shape RequestShape, at time.Duration, number int, rng *rand.Rand) Arrival {
	// The mean of a lognormal distribution is exp(mu + sigma^2/2).
	mu := math.Log(shape.MeanPromptTokens) - promptSpread*promptSpread/2
	tokens := max(20, int(math.Exp(mu+promptSpread*rng.NormFloat64())))
	var text strings.Builder
	fmt.Fprintf(&text, "%s%d", fake.LengthMarker, shape.OutputTokens)
	uniqueTokens := tokens - 2
	if rng.Float64() < shape.SharedPrefixShare && tokens > sharedPrefixTokens {
		prefix := rng.IntN(sharedPrefixCount)
		for i := range sharedPrefixTokens {
			fmt.Fprintf(&text, " s%d-%d", prefix, i)
		}
		uniqueTokens -= sharedPrefixTokens
	}
	for i := range uniqueTokens {
		fmt.Fprintf(&text, " w%d-%d", number, i)
	}
	return Arrival{At: at, Content: text.String(), PromptTokens: ident.TokenCount(tokens), Entry: rng.IntN(entryCount)}
}

// Bound returns an upper bound on the number of requests whose first token is in time:
// that of a schedule which knows all requests, prefills the shortest prompts first, wastes
// no prefill, and may use every engine from the first arrival to the last deadline.
func (w Workload) Bound(prefillEngines float64, prefillPerToken, target time.Duration) int {
	if len(w.Arrivals) == 0 {
		return 0
	}
	lengths := make([]int, len(w.Arrivals))
	for i, a := range w.Arrivals {
		lengths[i] = int(a.PromptTokens)
	}
	slices.Sort(lengths)
	capacityWindow := w.Arrivals[len(w.Arrivals)-1].At - w.Arrivals[0].At + target
	remaining := prefillEngines * float64(capacityWindow)
	served := 0
	for _, length := range lengths {
		remaining -= float64(length) * float64(prefillPerToken)
		if remaining < 0 {
			break
		}
		served++
	}
	return served
}
