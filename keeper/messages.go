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
	// Made is the tokens of the answer that were made elsewhere before; they are
	// read like the prompt.
	Made ident.TokenCount `json:"made,omitempty"`
	// Answer is what is known of the answer's length.
	Answer memory.LengthEstimate `json:"answer"`
	// Slots is how many runs the engine works on at once.
	Slots int `json:"slots"`
	// Wait is how long the asker can wait for the place.
	Wait time.Duration `json:"wait-ns"`
	// Urgency orders those that wait, the least first.
	Urgency int `json:"urgency"`
}

// reads is the tokens that the run holds when it begins.
func (a ReserveRequest) reads() ident.TokenCount { return a.Prompt + a.Made }

// expected is the run that the ask leads to.
func (a ReserveRequest) expected() memory.Run { return a.Answer.Run(a.reads(), a.Made) }

// ReserveResponse grants a place or says what stands against it.
type ReserveResponse struct {
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
	// Down is set if the engine does not report, or does not make answers.
	Down bool `json:"down,omitempty"`
	// Memory is the engine's in tokens, Used the part that runs hold.
	Memory ident.TokenCount `json:"memory"`
	Used   ident.TokenCount `json:"used"`
	// Step is the learned time for one token of every run while the engine is full.
	Step time.Duration `json:"step-ns"`
	// Load is the mean of the asks at this engine.
	Load Load `json:"load"`
}

// Load is the mean request that a keeper was asked for, the newest counting most.
type Load struct {
	// Asks is how many there were since the keeper's start.
	Asks int `json:"asks"`
	// Prompt and Answer are in tokens.
	Prompt float64 `json:"prompt"`
	Answer float64 `json:"answer"`
}

// loadShare is the weight of the newest ask in the mean, so that some 50 make it up.
const loadShare = 0.02

func (l *Load) add(ask ReserveRequest) {
	l.Asks++
	share := max(loadShare, 1/float64(l.Asks))
	l.Prompt += share * (float64(ask.Prompt) - l.Prompt)
	l.Answer += share * (float64(ask.expected().Remaining) - l.Answer)
}

// PrefillRequest asks to have a prompt read next.
type PrefillRequest struct {
	Attempt ident.AttemptID  `json:"attempt"`
	Tokens  ident.TokenCount `json:"tokens"`
	// Wait is the longest wait that still helps.
	Wait time.Duration `json:"wait-ns"`
	// Own asks that the engine read the prompt itself before it answers it. Its other
	// runs make no tokens meanwhile.
	Own bool `json:"own,omitempty"`
	// Stall is how long answers may stand still for that.
	Stall time.Duration `json:"stall-ns,omitempty"`
	// Last is the newest reading that the asker saw there.
	Last PrefillTiming `json:"last"`
}

// PrefillTiming is how long a reading took, without what was ahead of it and the way.
type PrefillTiming struct {
	Tokens ident.TokenCount `json:"tokens"`
	Span   time.Duration    `json:"span-ns"`
}

// PrefillResponse grants a turn or says what stands against it.
type PrefillResponse struct {
	Granted bool `json:"granted"`
	// Ahead is the time that what is to be read before takes.
	Ahead time.Duration `json:"ahead-ns"`
	// Pace is how long readings take here, by the time that they usually take.
	Pace float64 `json:"pace"`
	// Down is set if the engine does not report, or does not read prompts.
	Down bool `json:"down,omitempty"`
}

// StageRequest asks a keeper to have its engine work on another stage.
type StageRequest struct {
	// Endpoint and Born name the process that is meant.
	Endpoint ident.EndpointName `json:"endpoint"`
	Born     int64              `json:"born"`
	Stage    pool.Stage         `json:"stage"`
	// Want is the balance that decided, in engines that read prompts.
	Want float64 `json:"want"`
}

// StageResponse says whether the engine takes the order.
type StageResponse struct {
	// Sent is set once the order has gone to the engine, which may carry it out
	// later even if it did not answer.
	Sent  bool `json:"sent"`
	Taken bool `json:"taken"`
	// Why is the reason if it was not taken.
	Why string `json:"why,omitempty"`
}

// ReleaseRequest gives a place back that will not be used.
type ReleaseRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// Report is an engine's state as it says itself.
type Report struct {
	// Total is the engine's memory in tokens.
	Total ident.TokenCount
	// Runs is what is running or admitted.
	Runs []Running
	// Waiting is the requests that wait inside the engine, Active those under way.
	Waiting int
	Active  int
	Stage   pool.Stage
	// Busy is set while the engine changes its stage.
	Busy bool
	// Orders counts the orders that the engine has accepted since its start.
	Orders int64
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
