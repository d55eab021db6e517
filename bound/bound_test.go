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
	"crocusstep/strict"
)

// formula is of the engines that the small deployments have.
func formula() EngineModel {
	us := func(n float64) strict.Duration { return strict.Duration(n * float64(time.Microsecond)) }
	return EngineModel{
		Memory: 101752, Slots: 64, Step: us(569), StepPerRun: us(22.6), StepPerMillionTokens: us(458),
		Objective: us(900_000), Pause: us(300_000), Patience: us(14_000_000), LateWorth: 0.2,
	}
}

// dayOf has requests of one size at even times.
func dayOf(engines, requests int, perSecond float64) *Workload {
	d := &Workload{Engine: formula(), Engines: []Count{{Count: engines}}, Length: Seconds(float64(requests)/perSecond) + 5}
	for i := range requests {
		d.Requests = append(d.Requests, Request{
			At: Seconds(float64(i) / perSecond), Prompt: 5200, Made: 4270, Expected: 4270, Spread: 0.5, Worth: 1,
		})
	}
	return d
}

func share(served []float64) float64 {
	sum := 0.0
	for _, s := range served {
		sum += s
	}
	return sum / float64(len(served))
}

func inTime(seen []Seen) float64 {
	served := make([]float64, len(seen))
	for i, s := range seen {
		if s.Answered && s.InTime {
			served[i] = 1
		}
	}
	return share(served)
}

// TestUpper compares the bound with what can be reckoned by hand: a request takes
// 0.39 s of an engine at least. 600 of them come in 13 s, and the last may take
// 4.9 s more, in which nine engines serve 413.
func TestUpper(t *testing.T) {
	cost := formula().cost(dayOf(1, 1, 1).Requests[0])
	assert.Assert(t, cost > 0.36 && cost < 0.42, "%f", cost)
	scenarios := []struct {
		testName  string
		engines   int
		perSecond float64
		least     float64
		most      float64
	}{
		{testName: "a calm load is served whole", engines: 9, perSecond: 10, least: 1, most: 1},
		{testName: "of twice what the engines can do they serve what they have time for", engines: 9, perSecond: 46, least: 0.67, most: 0.72},
		{testName: "without engines nothing is", engines: 0, perSecond: 10},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			got := share(dayOf(s.engines, 600, s.perSecond).Upper())
			assert.Assert(t, got >= s.least-1e-9 && got <= s.most+1e-9, "%f", got)
		})
	}
}

// TestUpperTakesTheDearest has a burst in which either a few dear requests or many
// cheap ones can be served.
func TestUpperTakesTheDearest(t *testing.T) {
	d := dayOf(1, 40, 40)
	for i := range d.Requests {
		if i%4 == 0 {
			d.Requests[i].Worth = 3
		}
	}
	served := d.Upper()
	for i, s := range served {
		if i%4 == 0 {
			assert.Assert(t, s > 0.99, "a dear request was left out: %f", s)
		}
	}
	assert.Assert(t, share(served) < 0.6)
}

// TestNoPlayBeatsTheBound plays random loads under all policies.
func TestNoPlayBeatsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := dayOf(rapid.IntRange(2, 5).Draw(t, "engines"), 60, float64(rapid.IntRange(5, 40).Draw(t, "rate")))
		for i := range d.Requests {
			d.Requests[i].Prompt = ident.TokenCount(rapid.IntRange(2000, 9000).Draw(t, "prompt"))
			d.Requests[i].Made = ident.TokenCount(rapid.IntRange(1000, 7000).Draw(t, "made"))
		}
		upper := d.Upper()
		most := d.worth(func(i int) float64 { return upper[i] }, func(int) float64 { return 0 })
		for _, p := range []Policy{Ahead{Known: true}, Ahead{Risk: 1}, &RoundRobin{}} {
			seen := d.Play(p, rapid.IntRange(1, 3).Draw(t, "prefills"), 1)
			if got := inTime(seen); got > most+1e-9 {
				t.Fatalf("%s serves %f in time, the bound is %f", p.Name(), got, most)
			}
		}
	})
}

// TestMemoryAheadInABurst is a burst of twice what the engines can do for five
// seconds: placing by the memory ahead must serve more in time than dealing in turn.
func TestMemoryAheadInABurst(t *testing.T) {
	d := dayOf(9, 230, 46)
	ahead, dealt := inTime(d.Play(Ahead{Risk: 1}, 3, 1)), inTime(d.Play(&RoundRobin{}, 3, 1))
	assert.Assert(t, ahead > dealt, "%f in time, %f where dealt in turn", ahead, dealt)
}

// TestLoad reads a log in which one caller comes back after a refusal, another's
// answer stands still, an engine is lost, and other lines are mixed in.
func TestLoad(t *testing.T) {
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

	day, err := ReadLogs(formula(), strings.NewReader(log.String()))
	assert.NilError(t, err)
	assert.Equal(t, len(day.Requests), 2)
	back, stalled := day.Requests[0], day.Requests[1]
	assert.Equal(t, back.At, Seconds(0))
	assert.Equal(t, back.Made, ident.TokenCount(4270))
	assert.Assert(t, back.Seen.Answered && !back.Seen.InTime, "it came after a refusal")
	assert.Assert(t, stalled.Seen.Answered && !stalled.Seen.InTime, "it stood still for 0.4 s")
	assert.Equal(t, day.engines(4.9), 2)
	assert.Equal(t, day.engines(5), 1)
	assert.Assert(t, math.Abs(float64(back.Worth+stalled.Worth)-2) < 1e-9, "the mean worth is one")

	for _, format := range []string{"text", "html"} {
		var out bytes.Buffer
		assert.NilError(t, NewReport(day, 1).Write(&out, format))
		assert.Assert(t, strings.Contains(out.String(), "round robin"))
	}
	_, err = ReadLogs(formula(), io.LimitReader(strings.NewReader(""), 0))
	assert.ErrorContains(t, err, "no request")
}

func TestParseEngine(t *testing.T) {
	_, err := ParseEngineModel("e.yaml", []byte("memory: 0\nslots: 64\nstep: 1ms\nobjective: 1s\npause: 1s\npatience: 1s\nlate-worth: 2\n"))
	assert.ErrorContains(t, err, "memory")
	assert.ErrorContains(t, err, "late-worth")
	_, err = ParseEngineModel("e.yaml", []byte("memory: 1\nslots: 64\nstep: 1ms\nobjective: 1s\npause: 1s\npatience: 1s\n"))
	assert.NilError(t, err)
}
