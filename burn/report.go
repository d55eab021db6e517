package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"crocusstep/ident"
)

// Window is the figures of a service over one time window.
type Window struct {
	Duration time.Duration `json:"span-ns"`
	Sample
	// WithinShare is the share of requests within target, or 1 without requests.
	WithinShare float64 `json:"within-share"`
	// BurnRate is the error rate divided by the rate that the objective allows: at 1
	// the error budget is used up exactly at the end of its period.
	BurnRate float64 `json:"burn-rate"`
	// Goodput is the number of requests within target per second.
	Goodput float64 `json:"goodput"`
	// WastedShare is the share of prefilled tokens whose result was not used.
	WastedShare float64 `json:"wasted-share"`
}

// Row is the report of one service.
type Row struct {
	Service          ident.ServiceName `json:"service"`
	ObjectivePercent float64           `json:"objective-percent"`
	Short            Window            `json:"short"`
	Long             Window            `json:"long"`
	// BudgetLeft is the remaining share of the error budget of the long window. It is
	// negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget-left"`
	Points     []Point `json:"points"`
}

// Report covers all services at one time.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// NewReport merges the series of all entries by service.
func NewReport(series []Series, now time.Time) Report {
	merged := map[ident.ServiceName]*Row{}
	points := map[ident.ServiceName]map[int64]*Point{}
	for _, s := range series {
		if merged[s.Service] == nil {
			merged[s.Service] = &Row{Service: s.Service}
			points[s.Service] = map[int64]*Point{}
		}
		merged[s.Service].ObjectivePercent = s.ObjectivePercent
		mergePoints(points[s.Service], s.Points)
	}
	report := Report{At: now}
	for service, row := range merged {
		row.Points = sortedPoints(points[service])
		row.Short = newWindow(*row, now, ShortWindow)
		row.Long = newWindow(*row, now, LongWindow)
		row.BudgetLeft = 1 - row.Long.BurnRate
		report.Rows = append(report.Rows, *row)
	}
	sort.Slice(report.Rows, func(i, j int) bool { return report.Rows[i].Service < report.Rows[j].Service })
	return report
}

func mergePoints(into map[int64]*Point, points []Point) {
	for _, p := range points {
		if into[p.Start] == nil {
			into[p.Start] = &Point{Start: p.Start}
		}
		into[p.Start].Sample.add(p.Sample)
	}
}

func sortedPoints(points map[int64]*Point) []Point {
	sorted := []Point{}
	for _, p := range points {
		sorted = append(sorted, *p)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Start < sorted[j].Start })
	return sorted
}

func newWindow(row Row, now time.Time, duration time.Duration) Window {
	w := Window{Duration: duration, WithinShare: 1}
	oldest := now.Add(-duration).Unix()
	for _, p := range row.Points {
		if p.Start > oldest {
			w.add(p.Sample)
		}
	}
	if w.Requests > 0 {
		w.WithinShare = float64(w.WithinTarget) / float64(w.Requests)
	}
	if allowedShare := 1 - row.ObjectivePercent/100; allowedShare > 0 {
		w.BurnRate = (1 - w.WithinShare) / allowedShare
	}
	if w.PrefilledTokens > 0 {
		w.WastedShare = float64(w.WastedTokens) / float64(w.PrefilledTokens)
	}
	w.Goodput = float64(w.WithinTarget) / duration.Seconds()
	return w
}

// Write writes the report in the format text, json or html.
func (r Report) Write(w io.Writer, format string) error {
	switch format {
	case "json":
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	case "html":
		return r.writePage(w)
	}
	return r.writeText(w)
}

func (r Report) writeText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "service\tobjective\twithin 1h\tbudget left\tburn 5m\tburn 1h\tgoodput 5m\twasted prefill 1h")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%.1f%%\t%.2f%%\t%.0f%%\t%.2f\t%.2f\t%.2f/s\t%.2f%%\n", row.Service, row.ObjectivePercent,
			100*row.Long.WithinShare, 100*row.BudgetLeft, row.Short.BurnRate, row.Long.BurnRate, row.Short.Goodput, 100*row.Long.WastedShare)
	}
	return table.Flush()
}
