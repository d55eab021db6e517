package bound

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// worstWindows is the number of windows that count as the worst of a log.
const worstWindows = 2

// Loss is the value that was lost for one cause.
type Loss struct {
	Cause    string
	Requests int
	// Value is the share of the value of all requests.
	Value float64
	// InWorstWindows is the share of the value that arrived in the windows with the
	// smallest served share.
	InWorstWindows float64
}

// Losses lists the causes for which a logged workload was not served in time.
type Losses struct {
	Requests int
	Duration Seconds
	// WorstWindows are the starts of the windows with the smallest served share.
	WorstWindows []Seconds
	// Rows is sorted by value, the largest loss first.
	Rows []Loss
}

// NewLosses assigns each request that was not served in time to a cause.
func NewLosses(w *Workload) *Losses {
	l := &Losses{Requests: len(w.Requests), Duration: w.Duration}
	windows := int(w.Duration/windowSize) + 1
	offered, lost := make([]float64, windows), make([]float64, windows)
	total := 0.0
	for i := range w.Requests {
		r := &w.Requests[i]
		total += r.Value
		offered[int(r.At/windowSize)] += r.Value
		lost[int(r.At/windowSize)] += w.Engine.lostValue(r)
	}
	worst := worstOf(offered, lost)
	worstOffered := 0.0
	for _, window := range worst {
		worstOffered += offered[window]
		l.WorstWindows = append(l.WorstWindows, Seconds(window)*windowSize)
	}
	byCause := map[string]*Loss{}
	for i := range w.Requests {
		r := &w.Requests[i]
		value := w.Engine.lostValue(r)
		if value == 0 {
			continue
		}
		cause := w.Engine.lossCause(r)
		row, ok := byCause[cause]
		if !ok {
			row = &Loss{Cause: cause}
			byCause[cause] = row
		}
		row.Requests++
		row.Value += ratio(value, total)
		if slices.Contains(worst, int(r.At/windowSize)) {
			row.InWorstWindows += ratio(value, worstOffered)
		}
	}
	for _, row := range byCause {
		l.Rows = append(l.Rows, *row)
	}
	slices.SortFunc(l.Rows, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Cause, b.Cause))
	})
	return l
}

// worstOf returns the windows with the largest lost share.
func worstOf(offered, lost []float64) []int {
	order := make([]int, len(offered))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(ratio(lost[b], offered[b]), ratio(lost[a], offered[a]))
	})
	return order[:min(worstWindows, len(order))]
}

// lostValue returns the part of the request's value that was not earned.
func (e EngineModel) lostValue(r *Request) float64 {
	switch {
	case r.Observed.Answered && r.Observed.InTime:
		return 0
	case r.Observed.Answered:
		return r.Value * (1 - e.LateValue)
	}
	return r.Value
}

// lossCause names the step that made a request late or fail.
func (e EngineModel) lossCause(r *Request) string {
	if len(r.attempts) == 0 {
		return "not logged"
	}
	first, last := r.attempts[0], r.attempts[len(r.attempts)-1]
	if !r.Observed.Answered {
		return last.failure(seconds(e.FirstTokenTarget))
	}
	answered := r.attempts[slices.IndexFunc(r.attempts, func(a attempt) bool { return a.answered })]
	switch {
	case Seconds(answered.longestGap) > seconds(e.MaxGap):
		return "late: gap between tokens"
	case !first.answered:
		return "late: returned after " + first.failure(seconds(e.FirstTokenTarget))
	}
	start := answered.firstToken - answered.reservationWait - answered.prefillTime
	switch max(answered.reservationWait, answered.prefillTime, start) {
	case answered.reservationWait:
		return "late: waited for memory"
	case answered.prefillTime:
		return "late: waited for prefill"
	}
	return "late: decode engine slow to start"
}

// failure names the reason for which an attempt was not answered.
func (a attempt) failure(firstTokenTarget Seconds) string {
	switch a.outcome {
	case "target-unreachable":
		if a.noPrefillSlot {
			return "refusal: no prefill slot"
		}
		return "refusal: no memory"
	case "answer-cut":
		return "stream broke off"
	case "cancelled", "patience-exceeded":
		if Seconds(a.responseTime) < firstTokenTarget {
			return "caller left early"
		}
		if a.firstToken == 0 {
			return "no token before the caller left"
		}
		return "stream stalled until the caller left"
	case "answered":
		return "error response of an endpoint"
	}
	return a.outcome
}

// Write writes the table as text.
func (l *Losses) Write(w io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "write the losses") }()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests with prompts in %.0f s; the worst windows of %.0f s start at", l.Requests, l.Duration, windowSize)
	for _, start := range l.WorstWindows {
		fmt.Fprintf(&text, " %.0f s", start)
	}
	fmt.Fprintln(&text, "\nlost value by cause\trequests\tof all value\tof the worst windows")
	for _, row := range l.Rows {
		fmt.Fprintf(&text, "%s\t%d\t%.3f\t%.3f\n", row.Cause, row.Requests, row.Value, row.InWorstWindows)
	}
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}
