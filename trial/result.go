package trial

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"crocusstep/ident"
)

// Outcome is what became of one request.
type Outcome struct {
	Served bool
	// InTime is true if both targets were met.
	InTime     bool
	FirstToken time.Duration
	MeanGap    time.Duration
	// Refused is true if the first sending was refused; Returned is true if the
	// sending after Retry-After was then served in time.
	Refused  bool
	Returned bool
	// Broken is true if the answer was cut or ended with an error event.
	Broken bool
}

// Result is one case under one policy.
type Result struct {
	Case     string
	Policy   string
	Outcomes []Outcome
	Bound    int
	// Read is the tokens that the prefill engines read, Useful those of them
	// that an answer was made from.
	Read   ident.TokenCount
	Useful ident.TokenCount
}

// Goodput is how many requests were served within both targets.
func (r Result) Goodput() int { return r.count(func(o Outcome) bool { return o.InTime }) }

// BoundShare is the goodput as a share of the bound.
func (r Result) BoundShare() float64 { return share(r.Goodput(), r.Bound) }

// WastedShare is the share of read tokens that no whole answer was made from.
func (r Result) WastedShare() float64 {
	return share(int(max(0, r.Read-r.Useful)), int(r.Read))
}

func (r Result) count(which func(Outcome) bool) int {
	count := 0
	for _, o := range r.Outcomes {
		if which(o) {
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

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// WriteTable writes the results as a Markdown table.
func WriteTable(w io.Writer, title string, results []Result) error {
	var page strings.Builder
	fmt.Fprintf(&page, "## %s\n\n", title)
	page.WriteString("| case | policy | requests | in time | bound | share of bound | wasted prefill | first token ms 50/95/99 | between tokens ms 50/95/99 | refused | of them in time at first return | broken |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		refused := r.count(func(o Outcome) bool { return o.Refused })
		returned := r.count(func(o Outcome) bool { return o.Returned })
		broken := r.count(func(o Outcome) bool { return o.Broken })
		fmt.Fprintf(&page, "| %s | %s | %d | %d | %d | %.1f%% | %.2f%% | %s | %s | %d | %d | %d |\n",
			r.Case, r.Policy, len(r.Outcomes), r.Goodput(), r.Bound, 100*r.BoundShare(), 100*r.WastedShare(),
			r.quantiles(func(o Outcome) time.Duration { return o.FirstToken }),
			r.quantiles(func(o Outcome) time.Duration { return o.MeanGap }),
			refused, returned, broken)
	}
	page.WriteString("\n")
	_, err := io.WriteString(w, page.String())
	return err
}
