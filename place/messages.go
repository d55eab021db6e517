// Package place lets the process beside an engine decide which runs it takes:
// it alone sees the engine's memory as it is. Processes that serve callers ask
// it for a place before they have a prompt read.
package place

import (
	"time"

	"crocusstep/ident"
)

// The paths of the calls between our processes.
const (
	AskPath     = "/place/ask"
	ReleasePath = "/place/release"
	NewsPath    = "/news"
)

// Ask requests memory for one run.
type Ask struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Prompt is the tokens that are read before the first is made.
	Prompt ident.TokenCount `json:"prompt"`
	// Output is the estimated length of the answer, and Most its limit.
	Output ident.TokenCount `json:"output"`
	Most   ident.TokenCount `json:"most"`
	// Slots is how many runs the engine works on at once.
	Slots int `json:"slots"`
	// Wait is how long the asker can wait for the place.
	Wait time.Duration `json:"wait-ns"`
	// Urgency orders those that wait, the least first.
	Urgency int `json:"urgency"`
}

// Answer grants a place or says what stands against it.
type Answer struct {
	Granted bool `json:"granted"`
	// Free is the memory left in tokens at the highest point ahead; it is
	// negative if runs wait.
	Free ident.TokenCount `json:"free"`
	// Wait is the expected wait of one more run.
	Wait    time.Duration `json:"wait-ns"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	// Age is how old the engine's report is that decided.
	Age time.Duration `json:"age-ns"`
	// Down is set if the engine does not report.
	Down bool `json:"down,omitempty"`
}

// Release gives a place back that will not be used.
type Release struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// Report is an engine's state as it says itself.
type Report struct {
	// Total is the engine's memory in tokens.
	Total ident.TokenCount
	// Runs is what is running or admitted.
	Runs []Running
	// Waiting is the requests that wait inside the engine.
	Waiting int
	// Decodes is false if the engine does not make answers at the moment.
	Decodes bool
	// Born is the Unix millisecond of the engine's start, zero if not stated.
	Born int64
}

// Running is one run inside an engine.
type Running struct {
	Attempt ident.AttemptID
	// Held is the tokens in memory.
	Held ident.TokenCount
	// Events is how many events of the answer were made.
	Events int
}
