// Package bound computes from a day's logs an upper bound on the load that the engines
// could have served, and simulates what simple policies would have served. It uses
// neither the network nor the clock.
package bound

import (
	"math"
	"time"

	"crocusstep/ident"
	"crocusstep/parser"
	"crocusstep/pool"
)

// Seconds is a point in time, from the start of the log, or a duration.
type Seconds float64

// EngineModel is the timing model of an engine, with the targets of its callers.
type EngineModel struct {
	// KV capacity of one engine in tokens.
	Capacity ident.TokenCount `yaml:"memory" required:"true"`
	// Maximum number of concurrent requests.
	Slots int `yaml:"slots" required:"true"`
	// Fixed part of a decode step, which generates one token for each run.
	StepTime parser.Duration `yaml:"step" required:"true"`
	// Time that each running request adds to a step.
	StepTimePerRun parser.Duration `yaml:"step-per-run"`
	// Time that each million tokens in KV memory add to a step.
	StepTimePerMillionTokens parser.Duration `yaml:"step-per-million-tokens"`
	// Target for the time to the first token, from the first attempt.
	FirstTokenTarget parser.Duration `yaml:"objective" required:"true"`
	// Longest gap between tokens of a response that counts as in time.
	MaxGap parser.Duration `yaml:"pause" required:"true"`
	// Time after which a caller gives up, from the first attempt.
	CallerTimeout parser.Duration `yaml:"patience" required:"true"`
	// Value of a late response as a share of one in time.
	LateValue float64 `yaml:"late-worth"`
}

// ParseEngineModel decodes and checks an engine model. It reports all errors together.
func ParseEngineModel(file string, data []byte) (EngineModel, error) {
	var e EngineModel
	source := parser.Decode(file, data, &e)
	for key, value := range map[string]float64{
		"memory": float64(e.Capacity), "slots": float64(e.Slots), "step": float64(e.StepTime),
		"objective": float64(e.FirstTokenTarget), "pause": float64(e.MaxGap), "patience": float64(e.CallerTimeout),
	} {
		if source.Has(key) && value <= 0 {
			source.Report(key, "expected more than zero")
		}
	}
	if e.LateValue < 0 || e.LateValue > 1 {
		source.Report("late-worth", "expected a share from 0 to 1")
	}
	return e, source.Err()
}

func seconds(d parser.Duration) Seconds { return Seconds(time.Duration(d).Seconds()) }

// stepTime returns the duration of a decode step with the given number of runs, which
// hold the given number of tokens in total.
func (e EngineModel) stepTime(runs int, held float64) Seconds {
	return seconds(e.StepTime) + Seconds(runs)*seconds(e.StepTimePerRun) + Seconds(held/1e6)*seconds(e.StepTimePerMillionTokens)
}

// prefillTime returns the prefill time of a prompt in an engine that does nothing else.
func prefillTime(prompt ident.TokenCount) Seconds { return Seconds(pool.PrefillTime(prompt).Seconds()) }

// minEngineTime returns a lower bound on the time that a request occupies one engine.
// The fixed part of a step is shared by at most as many runs as fill the memory or the
// slots, so a run accounts for at least its share of these, and for all that it adds to
// the step itself.
func (e EngineModel) minEngineTime(r Request) Seconds {
	output := float64(r.Output)
	held := (float64(r.Prompt) + output/2) * output
	shared := math.Max(held/float64(e.Capacity), output/float64(e.Slots))
	return prefillTime(r.Prompt) + Seconds(shared)*seconds(e.StepTime) + Seconds(output)*seconds(e.StepTimePerRun) + Seconds(held/1e6)*seconds(e.StepTimePerMillionTokens)
}

// Request is one request of a caller with all its attempts.
type Request struct {
	// At is the arrival of the first attempt, from the start of the log.
	At     Seconds
	Prompt ident.TokenCount
	Output ident.TokenCount
	// EstimatedOutput is the estimate of the output's length at arrival.
	EstimatedOutput ident.TokenCount
	// Spread is the standard deviation of the logarithm of the estimated length.
	Spread float64
	// Value depends on the request's size; that of a request of mean size is 1.
	Value    float64
	Observed Outcome
	// attempts are the logged attempts in order of arrival.
	attempts []attempt
}

// Outcome is the observed or simulated result of a request.
type Outcome struct {
	Answered bool
	// InTime is set if the first token and the gaps between tokens met their targets.
	InTime bool
	// FirstToken and ResponseTime count from the arrival of the attempt that was answered.
	FirstToken   Seconds
	ResponseTime Seconds
}

// setValues sets each request's value to 0.3 plus 0.7 times its size divided by the mean
// size, at most 4, as the users weight responses.
func setValues(requests []Request) {
	const baseValue, outputWeight, maxValue = 0.3, 10, 4.0
	size := func(r Request) float64 { return float64(r.Prompt) + outputWeight*float64(r.Output) }
	mean := 0.0
	for _, r := range requests {
		mean += size(r) / float64(len(requests))
	}
	for i := range requests {
		requests[i].Value = math.Min(maxValue, baseValue+(1-baseValue)*size(requests[i])/mean)
	}
}
