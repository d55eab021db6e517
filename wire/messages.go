// Package wire is the protocol between entries and agents: HTTP with JSON, and
// a stream of numbered frames for an answer. See docs/protocols/peer.md.
package wire

import (
	"net/http"
	"time"

	"crocusstep/engine"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
)

// The paths of an agent's peer listener.
const (
	ReservePrefillPath = "/peer/turn"
	ReserveDecodePath  = "/peer/reserve"
	ReleasePath        = "/peer/release"
	PrefillPath        = "/peer/prefill"
	DecodePath         = "/peer/decode"
	CallPath           = "/peer/call"
	LoadPath           = "/peer/load"
)

// Load is what an agent says of its endpoint on every reply.
type Load struct {
	Endpoint ident.EndpointName `json:"endpoint"`
	// Sequence grows with every report of one incarnation of the agent.
	Sequence    int64  `json:"sequence"`
	Incarnation string `json:"incarnation"`
	// Free is the number of free decode slots, or prefill lanes.
	Free    int `json:"free"`
	Waiting int `json:"waiting"`
	// Backlog is the number of prompt tokens that wait or are being read.
	Backlog ident.TokenCount `json:"backlog"`
	// PrefillPerToken is the learned time to read one token.
	PrefillPerToken time.Duration `json:"prefill-per-token-ns,omitempty"`
	// StepTime is the learned time between two tokens.
	StepTime time.Duration `json:"step-time-ns,omitempty"`
	// Lookups and Actions are the calls that run at the moment.
	Lookups  int  `json:"lookups"`
	Actions  int  `json:"actions"`
	Draining bool `json:"draining,omitempty"`
}

// AttemptInfo says whose work it is and how urgent.
type AttemptInfo struct {
	Request   ident.RequestID     `json:"request"`
	Attempt   ident.AttemptID     `json:"attempt"`
	Service   ident.ServiceName   `json:"service"`
	Workspace ident.WorkspaceName `json:"workspace"`
	Weight    int                 `json:"weight"`
	Priority  int                 `json:"priority"`
	// GoodputWeight is the service's goal, between 0 and 1.
	GoodputWeight float64 `json:"goodput-weight"`
	// Suspect work may crash the endpoint; two such never share one.
	Suspect bool `json:"suspect,omitempty"`
	// Deadline is the latest time at which starting still helps.
	Deadline time.Time `json:"deadline"`
}

// ReservePrefillRequest asks for the right to prefill next.
type ReservePrefillRequest struct {
	Info   AttemptInfo      `json:"ticket"`
	Tokens ident.TokenCount `json:"tokens"`
}

// ReserveDecodeRequest asks for a decode slot.
type ReserveDecodeRequest struct {
	Info AttemptInfo `json:"ticket"`
	// MaxWait bounds the time to wait for a slot; zero asks for one at once.
	MaxWait time.Duration `json:"wait-ns"`
	// HoldTimeout is how long the slot is kept without a decode.
	HoldTimeout time.Duration `json:"hold-for-ns"`
}

// ReleaseRequest gives a turn or a slot back.
type ReleaseRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// Response is the answer to orders that return nothing but success.
type Response struct {
	Load  Load           `json:"load"`
	Fault *fault.Refusal `json:"fault,omitempty"`
}

// PrefillRequest asks for a prompt to be read under a turn.
type PrefillRequest struct {
	Info      AttemptInfo `json:"ticket"`
	Prompt    string      `json:"prompt"`
	Generated string      `json:"generated,omitempty"`
}

// PrefillResponse says where the KV cache lies.
type PrefillResponse struct {
	Load   Load                 `json:"load"`
	Fault  *fault.Refusal       `json:"fault,omitempty"`
	Source ident.Address        `json:"source"`
	Result engine.PrefillResult `json:"result"`
}

// DecodeRequest asks for an answer to be generated in a reserved slot.
type DecodeRequest struct {
	Info   AttemptInfo     `json:"ticket"`
	Source ident.Address   `json:"source"`
	Handle engine.KVHandle `json:"handle"`
	// Tokens is the length of the prompt whose KV cache is fetched.
	Tokens        ident.TokenCount `json:"tokens"`
	StartPosition ident.TokenCount `json:"from"`
	MaxTokens     ident.TokenCount `json:"max-tokens"`
	// TransferTimeout bounds the KV transfer; the agent may give up earlier by
	// what it has learned.
	TransferTimeout time.Duration `json:"transfer-timeout-ns"`
}

// FrameKind is what a frame of an answer carries.
type FrameKind string

const (
	// TokenFrame carries one token.
	TokenFrame FrameKind = "piece"
	// EndFrame closes a whole answer and carries its count of pieces.
	EndFrame FrameKind = "end"
	// FaultFrame closes an attempt that failed.
	FaultFrame FrameKind = "fault"
	// KeepAliveFrame says that the attempt lives although no token is ready.
	KeepAliveFrame FrameKind = "idle"
)

// Frame is one line of an answer's stream.
type Frame struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.AttemptID `json:"attempt"`
	Kind    FrameKind       `json:"kind"`
	// Position is that of the piece in the whole answer; in an end frame it is
	// the count of all pieces.
	Position ident.TokenCount `json:"position"`
	Text     string           `json:"text,omitempty"`
	Finish   string           `json:"finish,omitempty"`
	Fault    *fault.Refusal   `json:"fault,omitempty"`
	// Load is set in frames that close an attempt.
	Load *Load `json:"load,omitempty"`
}

// CallRequest asks for a call of a plain service.
type CallRequest struct {
	Info   AttemptInfo    `json:"ticket"`
	Class  spec.CallClass `json:"class"`
	Method string         `json:"method"`
	// Path is the path and query at the endpoint.
	Path   string      `json:"path"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Key is set for actions only.
	Key ident.IdempotencyKey `json:"key,omitempty"`
	// Digest tells two bodies under one key apart.
	Digest ident.Digest `json:"digest,omitempty"`
	// Limit is how many calls of the class may run at the endpoint.
	Limit int `json:"limit"`
	// MaxWait is how long the call may wait for a place at the endpoint.
	MaxWait   time.Duration `json:"wait-ns"`
	Shards    int           `json:"shards,omitempty"`
	Retention time.Duration `json:"keep-for-ns,omitempty"`
	// Timeout bounds the call at the endpoint.
	Timeout time.Duration `json:"timeout-ns"`
}

// CallResponse is a plain service's answer.
type CallResponse struct {
	Load   Load           `json:"load"`
	Fault  *fault.Refusal `json:"fault,omitempty"`
	Status int            `json:"status,omitempty"`
	Header http.Header    `json:"header,omitempty"`
	Body   []byte         `json:"body,omitempty"`
	// Replayed is true for the recorded answer of an action that ran before.
	Replayed bool `json:"replayed,omitempty"`
	// Truncated is true if the recorded answer's body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
	// LedgerChecked is true if the ledger was asked, so that an outcome of not-run
	// covers earlier attempts under the same key too.
	LedgerChecked bool `json:"consulted,omitempty"`
}
