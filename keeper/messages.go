// Package place lets the process beside an engine decide which runs it takes:
// it alone sees the engine's memory as it is. Processes that serve callers ask
// it for a place before they have a prompt read.
package keeper

import (
	"time"

	"crocusstep/ident"
	"crocusstep/memory"
	"crocusstep/pool"
)

// The paths of the calls between our processes.
const (
	ReservePath = "/place/ask"
	ReleasePath = "/place/release"
	PrefillPath = "/place/turn"
	StagePath   = "/stage"
	GossipPath  = "/news"
)

// ReserveRequest requests memory for one run.
type ReserveRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Prompt is the tokens that are read before the first is made.
	Prompt ident.TokenCount `json:"prompt"`
	// Generated is the tokens of the answer that were made elsewhere before; they are
	// read like the prompt.
	Generated ident.TokenCount `json:"made,omitempty"`
	// Output is what is known of the answer's length.
	Output memory.LengthEstimate `json:"answer"`
	// Slots is how many runs the engine works on at once.
	Slots int `json:"slots"`
	// MaxWait is how long the asker can wait for the place.
	MaxWait time.Duration `json:"wait-ns"`
	// Urgency orders those that wait, the least first.
	Urgency int `json:"urgency"`
}

// reads is the tokens that the run holds when it begins.
func (a ReserveRequest) reads() ident.TokenCount { return a.Prompt + a.Generated }

// expected is the run that the ask leads to.
func (a ReserveRequest) expected() memory.Run { return a.Output.Run(a.reads(), a.Generated) }

// ReserveResponse grants a place or says what stands against it.
type ReserveResponse struct {
	Granted bool `json:"granted"`
	// Headroom is the memory left in tokens at the highest point ahead; it is
	// negative if runs wait.
	Headroom ident.TokenCount `json:"free"`
	// ExpectedWait is the expected wait of one more run.
	ExpectedWait time.Duration `json:"wait-ns"`
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	// ReportAge is how old the engine's report is that decided.
	ReportAge time.Duration `json:"age-ns"`
	// Down is set if the engine does not report, or does not make answers.
	Down bool `json:"down,omitempty"`
	// Capacity is the engine's in tokens, Used the part that runs hold.
	Capacity ident.TokenCount `json:"memory"`
	Used     ident.TokenCount `json:"used"`
	// StepTime is the learned time for one token of every run while the engine is full.
	StepTime time.Duration `json:"step-ns"`
	// MeanRequest is the mean of the asks at this engine.
	MeanRequest MeanRequest `json:"load"`
}

// MeanRequest is the mean request that a keeper was asked for, the newest counting most.
type MeanRequest struct {
	// Count is how many there were since the keeper's start.
	Count int `json:"asks"`
	// Prompt and Answer are in tokens.
	Prompt float64 `json:"prompt"`
	Output float64 `json:"answer"`
}

// loadShare is the weight of the newest ask in the mean, so that some 50 make it up.
const loadShare = 0.02

func (l *MeanRequest) add(ask ReserveRequest) {
	l.Count++
	share := max(loadShare, 1/float64(l.Count))
	l.Prompt += share * (float64(ask.Prompt) - l.Prompt)
	l.Output += share * (float64(ask.expected().Remaining) - l.Output)
}

// PrefillRequest asks to have a prompt read next.
type PrefillRequest struct {
	Attempt ident.AttemptID  `json:"attempt"`
	Tokens  ident.TokenCount `json:"tokens"`
	// MaxWait is the longest wait that still helps.
	MaxWait time.Duration `json:"wait-ns"`
	// Local asks that the engine read the prompt itself before it answers it. Its other
	// runs make no tokens meanwhile.
	Local bool `json:"own,omitempty"`
	// MaxStall is how long answers may stand still for that.
	MaxStall time.Duration `json:"stall-ns,omitempty"`
	// LastTiming is the newest reading that the asker saw there.
	LastTiming PrefillTiming `json:"last"`
}

// PrefillTiming is how long a reading took, without what was ahead of it and the way.
type PrefillTiming struct {
	Tokens   ident.TokenCount `json:"tokens"`
	Duration time.Duration    `json:"span-ns"`
}

// PrefillResponse grants a turn or says what stands against it.
type PrefillResponse struct {
	Granted bool `json:"granted"`
	// Backlog is the time that what is to be read before takes.
	Backlog time.Duration `json:"ahead-ns"`
	// Slowdown is how long readings take here, by the time that they usually take.
	Slowdown float64 `json:"pace"`
	// Down is set if the engine does not report, or does not read prompts.
	Down bool `json:"down,omitempty"`
}

// StageRequest asks a keeper to have its engine work on another stage.
type StageRequest struct {
	// Endpoint and Born name the process that is meant.
	Endpoint    ident.EndpointName `json:"endpoint"`
	StartMillis int64              `json:"born"`
	Stage       pool.Stage         `json:"stage"`
	// TargetPrefill is the balance that decided, in engines that read prompts.
	TargetPrefill float64 `json:"want"`
}

// StageResponse says whether the engine takes the order.
type StageResponse struct {
	// Sent is set once the order has gone to the engine, which may carry it out
	// later even if it did not answer.
	Sent     bool `json:"sent"`
	Accepted bool `json:"taken"`
	// Reason is the reason if it was not taken.
	Reason string `json:"why,omitempty"`
}

// ReleaseRequest gives a place back that will not be used.
type ReleaseRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// EngineReport is an engine's state as it says itself.
type EngineReport struct {
	// Capacity is the engine's memory in tokens.
	Capacity ident.TokenCount
	// Requests is what is running or admitted.
	Requests []RunningRequest
	// Waiting is the requests that wait inside the engine, Active those under way.
	Waiting int
	Active  int
	Stage   pool.Stage
	// ChangingStage is set while the engine changes its stage.
	ChangingStage bool
	// Orders counts the orders that the engine has accepted since its start.
	Orders int64
	// StartMillis is the Unix millisecond of the engine's start, zero if not stated.
	StartMillis int64
}

// RunningRequest is one run inside an engine.
type RunningRequest struct {
	Attempt ident.AttemptID
	// Held is the tokens in memory.
	Held ident.TokenCount
	// Events is how many events of the answer were made.
	Events int
}
