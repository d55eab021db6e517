package bound

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"crocusstep/keeper"
)

//go:embed report.html
var pageTemplate string

// windowSize is the time resolution of the plot.
const windowSize = Seconds(2)

// Row is the result of one schedule or policy.
type Row struct {
	Name string
	// Value is the share of the value that was served, with late responses at their
	// reduced value. InTime is the share of requests that were served in time.
	Value  float64
	InTime float64
	// OfUpperBound is the value served in time as a share of the upper bound's.
	OfUpperBound float64
	// Windows is the share of the value served in time, by window of arrival.
	Windows []float64
}

// Report compares the logged outcomes with the upper bound and with simulated policies.
type Report struct {
	Requests int
	Duration Seconds
	Rows     []Row
	// Offered is the value of the requests that arrived in each window.
	Offered []float64
	// FirstToken and ResponseTime compare simulated with observed times, for the policy
	// that relays use.
	FirstToken   Comparison
	ResponseTime Comparison
}

// Comparison compares quantiles of simulated and observed times.
type Comparison struct {
	SimulatedMedian, ObservedMedian Seconds
	SimulatedP90, ObservedP90       Seconds
}

// NewReport computes the upper bound and runs the simulations of a workload.
func NewReport(w *Workload, seed uint64) *Report {
	r := &Report{Requests: len(w.Requests), Duration: w.Duration, Offered: make([]float64, int(w.Duration/windowSize)+1)}
	for _, q := range w.Requests {
		r.Offered[int(q.At/windowSize)] += q.Value
	}
	upper := w.UpperBound()
	r.add(w, "upper bound", func(i int) float64 { return upper[i] }, func(i int) float64 { return 1 - upper[i] })
	r.addOutcomes(w, "observed", func(i int) Outcome { return w.Requests[i].Observed })
	balancedCount := w.balancedPrefillEngines()
	r.FirstToken, r.ResponseTime = compare(w, r.addSimulation(w, PeakMemory{SafetyFactor: keeper.SafetyFactor}, balancedCount, seed))
	r.addSimulation(w, &RoundRobin{}, balancedCount, seed)
	for prefillEngines := max(1, balancedCount-1); prefillEngines <= balancedCount+2; prefillEngines++ {
		r.addSimulation(w, PeakMemory{KnownLengths: true}, prefillEngines, seed)
	}
	return r
}

func (r *Report) addSimulation(w *Workload, p Policy, prefillEngines int, seed uint64) []Outcome {
	outcomes := w.Simulate(p, prefillEngines, seed)
	r.addOutcomes(w, fmt.Sprintf("simulated: %s, %d prefill engines", p.Name(), prefillEngines), func(i int) Outcome { return outcomes[i] })
	return outcomes
}

func (r *Report) addOutcomes(w *Workload, name string, outcome func(i int) Outcome) {
	r.add(w, name, func(i int) float64 {
		if o := outcome(i); o.Answered && o.InTime {
			return 1
		}
		return 0
	}, func(i int) float64 {
		if o := outcome(i); o.Answered && !o.InTime {
			return 1
		}
		return 0
	})
}

func (r *Report) add(w *Workload, name string, inTime, late func(i int) float64) {
	row := Row{Name: name, Value: w.valueShare(inTime, late), Windows: make([]float64, len(r.Offered))}
	valueInTime := 0.0
	for i, q := range w.Requests {
		row.InTime += inTime(i) / float64(len(w.Requests))
		valueInTime += q.Value * inTime(i)
		row.Windows[int(q.At/windowSize)] += q.Value * inTime(i)
	}
	for i := range row.Windows {
		row.Windows[i] = ratio(row.Windows[i], r.Offered[i])
	}
	row.OfUpperBound = 1
	if len(r.Rows) > 0 {
		upperBound := 0.0
		for i, share := range r.Rows[0].Windows {
			upperBound += share * r.Offered[i]
		}
		row.OfUpperBound = ratio(valueInTime, upperBound)
	}
	r.Rows = append(r.Rows, row)
}

func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// compare compares the times of requests that were in time both in the simulation and
// in the logs.
func compare(w *Workload, simulated []Outcome) (first, total Comparison) {
	var simulatedFirst, observedFirst, simulatedTotal, observedTotal []Seconds
	for i, r := range w.Requests {
		if !simulated[i].InTime || !r.Observed.InTime {
			continue
		}
		simulatedFirst, observedFirst = append(simulatedFirst, simulated[i].FirstToken), append(observedFirst, r.Observed.FirstToken)
		simulatedTotal, observedTotal = append(simulatedTotal, simulated[i].ResponseTime), append(observedTotal, r.Observed.ResponseTime)
	}
	return newComparison(simulatedFirst, observedFirst), newComparison(simulatedTotal, observedTotal)
}

func newComparison(simulated, observed []Seconds) Comparison {
	return Comparison{
		SimulatedMedian: quantile(simulated, 0.5), ObservedMedian: quantile(observed, 0.5),
		SimulatedP90: quantile(simulated, 0.9), ObservedP90: quantile(observed, 0.9),
	}
}

func quantile(values []Seconds, share float64) Seconds {
	if len(values) == 0 {
		return Seconds(math.NaN())
	}
	slices.Sort(values)
	return values[int(share*float64(len(values)-1))]
}

// Write writes the report as text, or as an HTML page with a plot.
func (r *Report) Write(w io.Writer, format string) (err error) {
	defer func() { err = eris.Wrap(err, "write the report") }()
	if format == "html" {
		t, err := template.New("page").Funcs(template.FuncMap{"line": r.linePoints, "colour": lineColor, "percent": percent, "legend": legendY}).Parse(pageTemplate)
		if err != nil {
			return err
		}
		return t.Execute(w, r)
	}
	return r.writeText(w)
}

func (r *Report) writeText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests with prompts in %.0f s\n", r.Requests, r.Duration)
	fmt.Fprintln(&text, "\tvalue\tin time\tvalue in time / upper bound")
	for _, row := range r.Rows {
		fmt.Fprintf(&text, "%s\t%.3f\t%.3f\t%.3f\n", row.Name, row.Value, row.InTime, row.OfUpperBound)
	}
	fmt.Fprintln(&text, "\nsimulated / observed\tmedian\t90 %")
	for _, c := range []struct {
		name string
		Comparison
	}{{"first token", r.FirstToken}, {"response time", r.ResponseTime}} {
		fmt.Fprintf(&text, "%s\t%.3f / %.3f s\t%.3f / %.3f s\n", c.name, c.SimulatedMedian, c.ObservedMedian, c.SimulatedP90, c.ObservedP90)
	}
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}

// The plot's size in pixels.
const (
	plotWidth  = 800
	plotHeight = 240
)

// linePoints returns the points of a row's line in the plot, in SVG syntax.
func (r *Report) linePoints(row Row) string {
	points := make([]string, len(row.Windows))
	for i, share := range row.Windows {
		points[i] = fmt.Sprintf("%.1f,%.1f", float64(i)*plotWidth/float64(max(1, len(row.Windows)-1)), plotHeight*(1-share))
	}
	return strings.Join(points, " ")
}

func lineColor(i int) string {
	return []string{"#999999", "#1a4fa0", "#2a8f3c", "#c0392b"}[i%4]
}

func percent(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) }

// legendY returns the y coordinate of a row's name in the plot.
func legendY(i int) int { return 16 + 16*i }
