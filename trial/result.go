package trial

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"crocusstep/ident"
)

// Outcome is the result of one request.
type Outcome struct {
	// Served is true if the response was complete.
	Served bool
	// InTime is true if the first attempt met both targets.
	InTime                bool
	FirstToken            time.Duration
	MeanInterTokenLatency time.Duration
	// Refused is true if the first attempt was refused. RetriedInTime is true if the
	// retry after the Retry-After delay then met both targets.
	Refused       bool
	RetriedInTime bool
	// Failed is true if the response broke off or ended with an error event.
	Failed bool
}

// Result is the result of one case under one policy.
type Result struct {
	Case     string
	Policy   string
	Outcomes []Outcome
	// Bound is an upper bound on Goodput.
	Bound int
	// PrefilledTokens counts the prompt tokens sent to the prefill engines. UsefulTokens
	// counts those of complete responses.
	PrefilledTokens ident.TokenCount
	UsefulTokens    ident.TokenCount
}

// Goodput returns the number of requests that met both targets at the first attempt.
func (r Result) Goodput() int { return r.count(func(o Outcome) bool { return o.InTime }) }

// BoundShare returns the goodput as a share of the bound.
func (r Result) BoundShare() float64 { return share(r.Goodput(), r.Bound) }

// WastedShare returns the share of prefilled tokens that led to no complete response.
func (r Result) WastedShare() float64 {
	return share(int(max(0, r.PrefilledTokens-r.UsefulTokens)), int(r.PrefilledTokens))
}

func (r Result) count(match func(Outcome) bool) int {
	count := 0
	for _, o := range r.Outcomes {
		if match(o) {
			count++
		}
	}
	return count
}

func (r Result) quantiles(value func(Outcome) time.Duration) string {
	var values []time.Duration
	for _, o := range r.Outcomes {
		if o.Served {
			values = append(values, value(o))
		}
	}
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	at := func(q float64) time.Duration { return values[int(q*float64(len(values)-1))] }
	return fmt.Sprintf("%d / %d / %d", at(0.5).Milliseconds(), at(0.95).Milliseconds(), at(0.99).Milliseconds())
}

func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// WriteTable writes the results as a Markdown table.
func WriteTable(w io.Writer, title string, results []Result) error {
	var table strings.Builder
	fmt.Fprintf(&table, "## %s\n\n", title)
	table.WriteString("| case | policy | requests | in time | bound | share of bound | wasted prefill | first token ms 50/95/99 | between tokens ms 50/95/99 | refused | of these in time on retry | failed |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		refused := r.count(func(o Outcome) bool { return o.Refused })
		retriedInTime := r.count(func(o Outcome) bool { return o.RetriedInTime })
		failed := r.count(func(o Outcome) bool { return o.Failed })
		fmt.Fprintf(&table, "| %s | %s | %d | %d | %d | %.1f%% | %.2f%% | %s | %s | %d | %d | %d |\n",
			r.Case, r.Policy, len(r.Outcomes), r.Goodput(), r.Bound, 100*r.BoundShare(), 100*r.WastedShare(),
			r.quantiles(func(o Outcome) time.Duration { return o.FirstToken }),
			r.quantiles(func(o Outcome) time.Duration { return o.MeanInterTokenLatency }),
			refused, retriedInTime, failed)
	}
	table.WriteString("\n")
	_, err := io.WriteString(w, table.String())
	return err
}
