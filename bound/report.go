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
var page string

// window is the width of the parts of a day that are shown.
const window = Seconds(2)

// Row is what one schedule or policy earns of a day.
type Row struct {
	Name string
	// Worth and InTime are shares of all: by worth, and of requests.
	Worth  float64
	InTime float64
	// OfUpper is the worth in time as a share of the upper bound's.
	OfUpper float64
	// Windows is the share in time by worth of each part of the day.
	Windows []float64
}

// Report compares a day as it was with what could have been.
type Report struct {
	Requests int
	Length   Seconds
	Rows     []Row
	// Offered is the worth that came in each part of the day.
	Offered []float64
	// First and Whole compare the model's times with those seen, for the policy
	// that relays use.
	First Error
	Whole Error
}

// Error is how far predicted times are from those seen.
type Error struct {
	// Predicted and Seen are medians, PredictedMost and SeenMost ninetieth
	// percentiles.
	Predicted, Seen         Seconds
	PredictedMost, SeenMost Seconds
}

// NewReport works out what could have been of a day.
func NewReport(d *Workload, seed uint64) *Report {
	r := &Report{Requests: len(d.Requests), Length: d.Length, Offered: make([]float64, int(d.Length/window)+1)}
	for _, q := range d.Requests {
		r.Offered[int(q.At/window)] += q.Worth
	}
	upper := d.Upper()
	r.add(d, "upper bound", func(i int) float64 { return upper[i] }, func(i int) float64 { return 1 - upper[i] })
	r.addSeen(d, "as it was", func(i int) Seen { return d.Requests[i].Seen })
	balanced := d.prefills()
	r.First, r.Whole = compare(d, r.addPlay(d, Ahead{Risk: keeper.Risk}, balanced, seed))
	r.addPlay(d, &RoundRobin{}, balanced, seed)
	for prefills := max(1, balanced-1); prefills <= balanced+2; prefills++ {
		r.addPlay(d, Ahead{Known: true}, prefills, seed)
	}
	return r
}

func (r *Report) addPlay(d *Workload, p Policy, prefills int, seed uint64) []Seen {
	outcome := d.Play(p, prefills, seed)
	r.addSeen(d, fmt.Sprintf("model: %s, %d read prompts", p.Name(), prefills), func(i int) Seen { return outcome[i] })
	return outcome
}

func (r *Report) addSeen(d *Workload, name string, seen func(i int) Seen) {
	r.add(d, name, func(i int) float64 {
		if s := seen(i); s.Answered && s.InTime {
			return 1
		}
		return 0
	}, func(i int) float64 {
		if s := seen(i); s.Answered && !s.InTime {
			return 1
		}
		return 0
	})
}

func (r *Report) add(d *Workload, name string, inTime, late func(i int) float64) {
	row := Row{Name: name, Worth: d.worth(inTime, late), Windows: make([]float64, len(r.Offered))}
	earned := 0.0
	for i, q := range d.Requests {
		row.InTime += inTime(i) / float64(len(d.Requests))
		earned += q.Worth * inTime(i)
		row.Windows[int(q.At/window)] += q.Worth * inTime(i)
	}
	for i := range row.Windows {
		row.Windows[i] = ratio(row.Windows[i], r.Offered[i])
	}
	row.OfUpper = 1
	if len(r.Rows) > 0 {
		top := 0.0
		for i, share := range r.Rows[0].Windows {
			top += share * r.Offered[i]
		}
		row.OfUpper = ratio(earned, top)
	}
	r.Rows = append(r.Rows, row)
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// compare compares times of requests that were answered both in the play and in
// truth, at their first attempt.
func compare(d *Workload, played []Seen) (first, whole Error) {
	var predictedFirst, seenFirst, predictedWhole, seenWhole []Seconds
	for i, r := range d.Requests {
		if !played[i].InTime || !r.Seen.InTime {
			continue
		}
		predictedFirst, seenFirst = append(predictedFirst, played[i].First), append(seenFirst, r.Seen.First)
		predictedWhole, seenWhole = append(predictedWhole, played[i].Whole), append(seenWhole, r.Seen.Whole)
	}
	return newError(predictedFirst, seenFirst), newError(predictedWhole, seenWhole)
}

func newError(predicted, seen []Seconds) Error {
	return Error{
		Predicted: quantile(predicted, 0.5), Seen: quantile(seen, 0.5),
		PredictedMost: quantile(predicted, 0.9), SeenMost: quantile(seen, 0.9),
	}
}

func quantile(values []Seconds, share float64) Seconds {
	if len(values) == 0 {
		return Seconds(math.NaN())
	}
	slices.Sort(values)
	return values[int(share*float64(len(values)-1))]
}

// Write prints the report as text or as a page with a plot.
func (r *Report) Write(w io.Writer, format string) (err error) {
	defer func() { err = eris.Wrap(err, "write the report") }()
	if format == "html" {
		t, err := template.New("page").Funcs(template.FuncMap{"line": r.line, "colour": colour, "percent": percent, "legend": legend}).Parse(page)
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
	fmt.Fprintf(&text, "%d requests with prompts in %.0f s\n", r.Requests, r.Length)
	fmt.Fprintln(&text, "\tworth\tin time\tin time by worth, of the upper bound")
	for _, row := range r.Rows {
		fmt.Fprintf(&text, "%s\t%.3f\t%.3f\t%.3f\n", row.Name, row.Worth, row.InTime, row.OfUpper)
	}
	fmt.Fprintln(&text, "\npredicted / seen\tmedian\t90 %")
	for _, e := range []struct {
		name string
		Error
	}{{"first token", r.First}, {"whole answer", r.Whole}} {
		fmt.Fprintf(&text, "%s\t%.3f / %.3f s\t%.3f / %.3f s\n", e.name, e.Predicted, e.Seen, e.PredictedMost, e.SeenMost)
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

// line is the points of a row in the plot.
func (r *Report) line(row Row) string {
	points := make([]string, len(row.Windows))
	for i, share := range row.Windows {
		points[i] = fmt.Sprintf("%.1f,%.1f", float64(i)*plotWidth/float64(max(1, len(row.Windows)-1)), plotHeight*(1-share))
	}
	return strings.Join(points, " ")
}

func colour(i int) string {
	return []string{"#999999", "#1a4fa0", "#2a8f3c", "#c0392b"}[i%4]
}

func percent(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) }

// legend is the height of a row's name in the plot.
func legend(i int) int { return 16 + 16*i }
