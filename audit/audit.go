// Package audit checks a routing table before it is put in force: errors, entries that can
// never match, limits that contradict each other, and what differs from the table in force.
package audit

import (
	"cmp"
	"fmt"
	"slices"

	"crocusstep/table"
)

// Level says how serious a finding is.
type Level string

const (
	// Error means that requests would be refused, or that the table would not be used.
	Error Level = "error"
	// Warning means that an entry has no effect, or less than it seems to.
	Warning Level = "warning"
	// Change is a difference from the table in force.
	Change Level = "change"
)

// Finding is one result of an audit.
type Finding struct {
	Level Level `json:"level"`
	// Entry is the part of the table that the finding is about, such as "route NAME".
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Level, f.Entry, f.Text) }

// Capacity is what all endpoints together can serve.
type Capacity struct {
	// TokensPerSecond is zero if it is unknown.
	TokensPerSecond float64
}

// findings collects the results of an audit.
type findings []Finding

func (f *findings) add(level Level, entry, format string, args ...any) {
	*f = append(*f, Finding{Level: level, Entry: entry, Text: fmt.Sprintf(format, args...)})
}

// Check returns the errors of a table, its entries without effect and its contradictions, errors
// first.
func Check(d *table.Document, capacity Capacity) []Finding {
	var found findings
	found.checkServices(d)
	for i := range d.Routes {
		found.checkRoute(d, i)
	}
	found.checkLimits(&d.Limits)
	found.checkWorkspaces(d, capacity)
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(a.Level, b.Level) })
	return found
}

// HasErrors reports whether any finding is an error.
func HasErrors(found []Finding) bool {
	return slices.ContainsFunc(found, func(f Finding) bool { return f.Level == Error })
}

func (f *findings) checkServices(d *table.Document) {
	used := map[string]bool{}
	for _, r := range d.Routes {
		for _, s := range r.WeightedServices {
			used[string(s.Service)] = true
		}
	}
	seen := map[string]bool{}
	for _, s := range d.Services {
		entry := "service " + string(s.Name)
		if seen[string(s.Name)] {
			f.add(Error, entry, "the name is used twice")
		}
		seen[string(s.Name)] = true
		if !used[string(s.Name)] {
			f.add(Warning, entry, "no route leads to it")
		}
		if s.Engine != nil && (s.Engine.Slots <= 0 || s.Engine.KVCapacity <= 0) {
			f.add(Error, entry, "its engines have no slots or no memory")
		}
	}
}

func (f *findings) checkLimits(l *table.Limits) {
	if l.MaxHeader < 0 || l.MaxBody < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.add(Error, "limits", "a limit is negative")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		f.add(Warning, "limits", "idle connections are closed after %s, before the %s that a head may take", l.IdleTimeout, l.HeaderTimeout)
	}
}
