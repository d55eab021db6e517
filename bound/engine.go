// Package bound works out from the logs of a day how much of its load the engines
// could have served at most, and what simple policies would have served. It uses
// neither a network nor a clock.
package bound

import (
	"math"
	"time"

	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/strict"
)

// Seconds is a time or a length of time. The model reckons in fractions of them.
type Seconds float64

// EngineModel is the formula by which an engine works, and what its callers want.
type EngineModel struct {
	// Memory of one engine, in tokens.
	Memory ident.TokenCount `yaml:"memory" required:"true"`
	// Requests that run at once.
	Slots int `yaml:"slots" required:"true"`
	// Time for one token of every run, without any run.
	Step strict.Duration `yaml:"step" required:"true"`
	// Time that each run adds to a step.
	StepPerRun strict.Duration `yaml:"step-per-run"`
	// Time that each million tokens in memory add to a step.
	StepPerMillionTokens strict.Duration `yaml:"step-per-million-tokens"`
	// Time to the first token of a request.
	Objective strict.Duration `yaml:"objective" required:"true"`
	// Longest pause of an answer that is in time.
	Pause strict.Duration `yaml:"pause" required:"true"`
	// Time after which a caller gives up.
	Patience strict.Duration `yaml:"patience" required:"true"`
	// Worth of an answer that is late, as a share.
	LateWorth float64 `yaml:"late-worth"`
}

// ParseEngineModel decodes and checks an engine's formula; all faults come at once.
func ParseEngineModel(file string, data []byte) (EngineModel, error) {
	var e EngineModel
	source := strict.Decode(file, data, &e)
	for key, value := range map[string]float64{
		"memory": float64(e.Memory), "slots": float64(e.Slots), "step": float64(e.Step),
		"objective": float64(e.Objective), "pause": float64(e.Pause), "patience": float64(e.Patience),
	} {
		if source.Has(key) && value <= 0 {
			source.Report(key, "expected more than zero")
		}
	}
	if e.LateWorth < 0 || e.LateWorth > 1 {
		source.Report("late-worth", "expected a share from 0 to 1")
	}
	return e, source.Err()
}

func seconds(d strict.Duration) Seconds { return Seconds(time.Duration(d).Seconds()) }

// step is the time for one token of each run.
func (e EngineModel) step(runs int, held float64) Seconds {
	return seconds(e.Step) + Seconds(runs)*seconds(e.StepPerRun) + Seconds(held/1e6)*seconds(e.StepPerMillionTokens)
}

// reading is how long an engine reads a prompt that does nothing else.
func reading(prompt ident.TokenCount) Seconds { return Seconds(pool.PrefillTime(prompt).Seconds()) }

// cost is the least time of one engine that a request takes. While a run makes a
// token, the engine's step is shared with at most as many others as fill the
// memory: so each run takes at least its part of the memory of every step, and
// all of what it adds to a step itself.
func (e EngineModel) cost(r Request) Seconds {
	made := float64(r.Made)
	held := (float64(r.Prompt) + made/2) * made
	shared := math.Max(held/float64(e.Memory), made/float64(e.Slots))
	return reading(r.Prompt) + Seconds(shared)*seconds(e.Step) + Seconds(made)*seconds(e.StepPerRun) + Seconds(held/1e6)*seconds(e.StepPerMillionTokens)
}

// Request is one request of a caller, over all its attempts.
type Request struct {
	// At is the arrival of its first attempt, after the start of the log.
	At Seconds
	// Prompt and Made are the lengths of prompt and answer, Expected the length
	// that was expected of the answer when it came.
	Prompt   ident.TokenCount
	Made     ident.TokenCount
	Expected ident.TokenCount
	// Spread is the standard deviation of the logarithm of the expected length.
	Spread float64
	// Worth is by its size: one on the mean.
	Worth float64
	Seen  Seen
}

// Seen is what became of a request.
type Seen struct {
	Answered bool
	// InTime is set if its first token and its pauses met their targets.
	InTime bool
	// First and Whole are counted from the arrival of the attempt that was answered.
	First Seconds
	Whole Seconds
}

// worthBySize gives each request a worth of 0.3, and 0.7 times its size by the mean
// size, four at most: as the users weigh answers.
func worthBySize(requests []Request) {
	const fixed, outputWeight, most = 0.3, 10, 4.0
	size := func(r Request) float64 { return float64(r.Prompt) + outputWeight*float64(r.Made) }
	mean := 0.0
	for _, r := range requests {
		mean += size(r) / float64(len(requests))
	}
	for i := range requests {
		requests[i].Worth = math.Min(most, fixed+(1-fixed)*size(requests[i])/mean)
	}
}
