// Package trial measures the policies: it sends a generated workload through
// whole entries and agents, in virtual time over the fakes, and compares what
// was served in time with an upper bound.
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
	// At is the time after the start.
	At      time.Duration
	Content string
	Tokens  ident.TokenCount
	Entry   int
}

// Workload is what callers send, in the order of time.
type Workload struct {
	Arrivals []Arrival
	Span     time.Duration
}

// Shape is how prompts and answers are distributed.
type Shape struct {
	// MeanTokens is the mean length of a prompt.
	MeanTokens float64
	// AnswerTokens is the length of each answer.
	AnswerTokens int
	// Shared is the share of prompts that begin with a text others have too.
	Shared float64
}

const (
	// spread is the sigma of the log-normal prompt length.
	spread = 0.7
	// sharedTokens is the length of a text that prompts share.
	sharedTokens = 500
	// sharedTexts is how many such texts there are.
	sharedTexts = 8
	entryCount  = 3
)

// Steady returns arrivals at random times with a mean rate per second.
func Steady(shape Shape, rate float64, span time.Duration, seed uint64) Workload {
	random := rand.New(rand.NewPCG(seed, 11))
	w := Workload{Span: span}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= span {
			return w
		}
		w.Arrivals = append(w.Arrivals, newArrival(shape, at, len(w.Arrivals), random))
	}
}

// Herd returns callers that all come in the first second.
func Herd(shape Shape, count int, span time.Duration, seed uint64) Workload {
	random := rand.New(rand.NewPCG(seed, 12))
	w := Workload{Span: span}
	for i := range count {
		at := time.Duration(random.Int64N(int64(time.Second)))
		w.Arrivals = append(w.Arrivals, newArrival(shape, at, i, random))
	}
	slices.SortFunc(w.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return w
}

func newArrival(shape Shape, at time.Duration, number int, random *rand.Rand) Arrival {
	// The mean of a log-normal is exp(mu + sigma^2/2).
	mu := math.Log(shape.MeanTokens) - spread*spread/2
	tokens := max(20, int(math.Exp(mu+spread*random.NormFloat64())))
	var text strings.Builder
	fmt.Fprintf(&text, "%s%d", fake.LengthMarker, shape.AnswerTokens)
	own := tokens - 2
	if random.Float64() < shape.Shared && tokens > sharedTokens {
		which := random.IntN(sharedTexts)
		for i := range sharedTokens {
			fmt.Fprintf(&text, " s%d-%d", which, i)
		}
		own -= sharedTokens
	}
	for i := range own {
		fmt.Fprintf(&text, " w%d-%d", number, i)
	}
	return Arrival{At: at, Content: text.String(), Tokens: ident.TokenCount(tokens), Entry: random.IntN(entryCount)}
}

// Bound returns how many of the requests could at the very most have their
// first token in time: a schedule that knows all, reads the shortest prompts
// first, wastes nothing, and may use every lane from the first arrival to the
// last deadline.
func (w Workload) Bound(lanes float64, perToken, target time.Duration) int {
	if len(w.Arrivals) == 0 {
		return 0
	}
	lengths := make([]int, len(w.Arrivals))
	for i, a := range w.Arrivals {
		lengths[i] = int(a.Tokens)
	}
	slices.Sort(lengths)
	window := w.Arrivals[len(w.Arrivals)-1].At - w.Arrivals[0].At + target
	left := lanes * float64(window)
	served := 0
	for _, length := range lengths {
		left -= float64(length) * float64(perToken)
		if left < 0 {
			break
		}
		served++
	}
	return served
}
