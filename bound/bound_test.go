package bound

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/ident"
	"crocusstep/parser"
)

// testModel models the engines of the small deployments, as in examples/engine.yaml.
func testModel() EngineModel {
	us := func(n float64) parser.Duration { return parser.Duration(n * float64(time.Microsecond)) }
	return EngineModel{
		Capacity: 101752, Slots: 64, StepTime: us(569), StepTimePerRun: us(22.6), StepTimePerMillionTokens: us(458),
		FirstTokenTarget: us(900_000), MaxGap: us(300_000), CallerTimeout: us(14_000_000), LateValue: 0.2,
	}
}

// evenWorkload returns requests of equal size at equal intervals.
func evenWorkload(engines, requests int, perSecond float64) *Workload {
	w := &Workload{Engine: testModel(), EngineCounts: []EngineCount{{Count: engines}}, Duration: Seconds(float64(requests)/perSecond) + 5}
	for i := range requests {
		w.Requests = append(w.Requests, Request{
			At: Seconds(float64(i) / perSecond), Prompt: 5200, Output: 4270, EstimatedOutput: 4270, Spread: 0.5, Value: 1,
		})
	}
	return w
}

func mean(served []float64) float64 {
	sum := 0.0
	for _, s := range served {
		sum += s
	}
	return sum / float64(len(served))
}

func inTimeShare(outcomes []Outcome) float64 {
	served := make([]float64, len(outcomes))
	for i, o := range outcomes {
		if o.Answered && o.InTime {
			served[i] = 1
		}
	}
	return mean(served)
}

// TestUpperBound compares the bound with a manual calculation: a request occupies an
// engine for at least 0.39 s. 600 of them arrive in 13 s, and the last may take 4.9 s
// more; in this time nine engines serve 413.
func TestUpperBound(t *testing.T) {
	engineTime := testModel().minEngineTime(evenWorkload(1, 1, 1).Requests[0])
	assert.Assert(t, engineTime > 0.36 && engineTime < 0.42, "%f", engineTime)
	scenarios := []struct {
		testName  string
		engines   int
		perSecond float64
		minShare  float64
		maxShare  float64
	}{
		{testName: "a low load is served completely", engines: 9, perSecond: 10, minShare: 1, maxShare: 1},
		{testName: "under double the capacity the engines serve what they have time for", engines: 9, perSecond: 46, minShare: 0.67, maxShare: 0.72},
		{testName: "no request is served without engines", engines: 0, perSecond: 10},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			got := mean(evenWorkload(s.engines, 600, s.perSecond).UpperBound())
			assert.Assert(t, got >= s.minShare-1e-9 && got <= s.maxShare+1e-9, "%f", got)
		})
	}
}

// TestUpperBoundPrefersValue checks that in a burst above capacity the requests of high
// value are served first.
func TestUpperBoundPrefersValue(t *testing.T) {
	w := evenWorkload(1, 40, 40)
	for i := range w.Requests {
		if i%4 == 0 {
			w.Requests[i].Value = 3
		}
	}
	served := w.UpperBound()
	for i, s := range served {
		if i%4 == 0 {
			assert.Assert(t, s > 0.99, "a request of high value was not served: %f", s)
		}
	}
	assert.Assert(t, mean(served) < 0.6)
}

// TestUpperBoundHolds checks that no policy exceeds the bound under random loads.
func TestUpperBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := evenWorkload(rapid.IntRange(2, 5).Draw(t, "engines"), 60, float64(rapid.IntRange(5, 40).Draw(t, "rate")))
		for i := range w.Requests {
			w.Requests[i].Prompt = ident.TokenCount(rapid.IntRange(2000, 9000).Draw(t, "prompt"))
			w.Requests[i].Output = ident.TokenCount(rapid.IntRange(1000, 7000).Draw(t, "output"))
		}
		upper := w.UpperBound()
		maxValue := w.valueShare(func(i int) float64 { return upper[i] }, func(int) float64 { return 0 })
		for _, p := range []Policy{PeakMemory{KnownLengths: true}, PeakMemory{SafetyFactor: 1}, &RoundRobin{}} {
			outcomes := w.Simulate(p, rapid.IntRange(1, 3).Draw(t, "prefills"), 1)
			if got := inTimeShare(outcomes); got > maxValue+1e-9 {
				t.Fatalf("%s serves %f in time, the bound is %f", p.Name(), got, maxValue)
			}
		}
	})
}

// TestPeakMemoryInBurst checks that in a burst of twice the engines' capacity for five
// seconds PeakMemory serves more in time than RoundRobin.
func TestPeakMemoryInBurst(t *testing.T) {
	w := evenWorkload(9, 230, 46)
	peakMemory, roundRobin := inTimeShare(w.Simulate(PeakMemory{SafetyFactor: 1}, 3, 1)), inTimeShare(w.Simulate(&RoundRobin{}, 3, 1))
	assert.Assert(t, peakMemory > roundRobin, "%f in time, %f with round robin", peakMemory, roundRobin)
}

// TestReadLogs reads a log with a retry after a refusal, a response with a long gap, a
// lost engine, and lines of other formats.
func TestReadLogs(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var log strings.Builder
	write := func(after time.Duration, msg, rest string) {
		fmt.Fprintf(&log, "%8.3f relay-1 {\"time\":%q,\"msg\":%q,%s}\n", after.Seconds(), start.Add(after).Format(time.RFC3339Nano), msg, rest)
	}
	changed := "an endpoint's record changed"
	write(-time.Second, changed, `"endpoint":"e1","stage":"decode"`)
	write(-time.Second, changed, `"endpoint":"e2","stage":"prefill"`)
	write(-time.Second, changed, `"endpoint":"plain","stage":""`)
	write(0, "place asked for", `"request":"a1","prompt":5000,"output":4000,"spread":0.5`)
	write(time.Second, "request ended", `"request":"a1","prompt":5000,"estimate":3900,"outcome":"target-unreachable","status":0,"first":"0s","whole":"1s"`)
	log.WriteString("a line of another program\n")
	write(3*time.Second, "place asked for", `"request":"a2","prompt":5000,"output":4100,"spread":0.4`)
	write(4*time.Second, "place asked for", `"request":"b1","prompt":6000,"output":100,"spread":0.5`)
	write(5*time.Second, "an endpoint's record is gone", `"endpoint":"e1"`)
	write(6*time.Second, "request ended", `"request":"a2","prompt":5000,"estimate":3900,"outcome":"answered","status":200,"first":"200ms","whole":"3s","longest-pause":"60ms","tokens-made":4270`)
	write(6*time.Second, "request ended", `"request":"b1","prompt":6000,"estimate":100,"outcome":"answered","status":200,"first":"200ms","whole":"2s","longest-pause":"400ms","tokens-made":61`)
	write(7*time.Second, "request ended", `"request":"lookup","outcome":"answered","status":200,"first":"20ms","whole":"20ms"`)

	w, err := ReadLogs(testModel(), strings.NewReader(log.String()))
	assert.NilError(t, err)
	assert.Equal(t, len(w.Requests), 2)
	retried, stalled := w.Requests[0], w.Requests[1]
	assert.Equal(t, retried.At, Seconds(0))
	assert.Equal(t, retried.Output, ident.TokenCount(4270))
	assert.Assert(t, retried.Observed.Answered && !retried.Observed.InTime, "the retry came too late")
	assert.Assert(t, stalled.Observed.Answered && !stalled.Observed.InTime, "the response had a gap of 0.4 s")
	assert.Equal(t, w.engines(4.9), 2)
	assert.Equal(t, w.engines(5), 1)
	assert.Assert(t, math.Abs(float64(retried.Value+stalled.Value)-2) < 1e-9, "the mean value is one")

	for _, format := range []string{"text", "html"} {
		var out bytes.Buffer
		assert.NilError(t, NewReport(w, 1).Write(&out, format))
		assert.Assert(t, strings.Contains(out.String(), "round robin"))
	}
	_, err = ReadLogs(testModel(), io.LimitReader(strings.NewReader(""), 0))
	assert.ErrorContains(t, err, "no request")
}

func TestParseEngineModel(t *testing.T) {
	_, err := ParseEngineModel("e.yaml", []byte("memory: 0\nslots: 64\nstep: 1ms\nobjective: 1s\npause: 1s\npatience: 1s\nlate-worth: 2\n"))
	assert.ErrorContains(t, err, "memory")
	assert.ErrorContains(t, err, "late-worth")
	_, err = ParseEngineModel("e.yaml", []byte("memory: 1\nslots: 64\nstep: 1ms\nobjective: 1s\npause: 1s\npatience: 1s\n"))
	assert.NilError(t, err)
}
