// Package wire defines the protocol between entries and agents: JSON over HTTP, and
// a stream of numbered frames for an output. See docs/protocols/peer.md.
package wire

import (
	"net/http"
	"time"

	"crocusstep/engine"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
)

// Paths of an agent's peer API.
const (
	ReservePrefillPath = "/peer/turn"
	ReserveDecodePath  = "/peer/reserve"
	ReleasePath        = "/peer/release"
	PrefillPath        = "/peer/prefill"
	DecodePath         = "/peer/decode"
	CallPath           = "/peer/call"
	LoadPath           = "/peer/load"
)

// Load is the endpoint's load, which an agent reports in every response.
type Load struct {
	Endpoint ident.EndpointName `json:"endpoint"`
	// Sequence increases with every report of one incarnation of the agent.
	Sequence    int64  `json:"sequence"`
	Incarnation string `json:"incarnation"`
	// FreeSlots is the number of free decode slots.
	FreeSlots int `json:"free"`
	Waiting   int `json:"waiting"`
	// BacklogTokens is the number of prompt tokens that wait for prefill or are in
	// prefill.
	BacklogTokens ident.TokenCount `json:"backlog"`
	// PrefillPerToken is the measured prefill time per prompt token.
	PrefillPerToken time.Duration `json:"prefill-per-token-ns,omitempty"`
	// StepTime is the measured time between two tokens of a decode.
	StepTime time.Duration `json:"step-time-ns,omitempty"`
	// Lookups and Actions are the numbers of calls that run or wait.
	Lookups  int  `json:"lookups"`
	Actions  int  `json:"actions"`
	Draining bool `json:"draining,omitempty"`
}

// AttemptInfo identifies an attempt and holds its scheduling parameters.
type AttemptInfo struct {
	Request   ident.RequestID     `json:"request"`
	Attempt   ident.AttemptID     `json:"attempt"`
	Service   ident.ServiceName   `json:"service"`
	Workspace ident.WorkspaceName `json:"workspace"`
	Weight    int                 `json:"weight"`
	Priority  int                 `json:"priority"`
	// GoodputWeight is the weight of goodput in the service's goals, from 0 to 1.
	GoodputWeight float64 `json:"goodput-weight"`
	// Suspect is true if the request may crash the endpoint; an endpoint runs at
	// most one suspect at a time.
	Suspect bool `json:"suspect,omitempty"`
	// Deadline is the latest useful start time.
	Deadline time.Time `json:"deadline"`
}

// ReservePrefillRequest asks for a prefill slot.
type ReservePrefillRequest struct {
	Info   AttemptInfo      `json:"ticket"`
	Tokens ident.TokenCount `json:"tokens"`
}

// ReserveDecodeRequest asks for a decode slot.
type ReserveDecodeRequest struct {
	Info AttemptInfo `json:"ticket"`
	// MaxWait bounds the wait for a slot; with zero the request fails unless a
	// slot is free.
	MaxWait time.Duration `json:"wait-ns"`
	// HoldTimeout is the time after which an unused reservation expires.
	HoldTimeout time.Duration `json:"hold-for-ns"`
}

// ReleaseRequest releases the reservations of an attempt.
type ReleaseRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// Response is the response to requests that return no data.
type Response struct {
	Load  Load           `json:"load"`
	Fault *fault.Refusal `json:"fault,omitempty"`
}

// PrefillRequest asks for the prefill of a prompt under a reservation.
type PrefillRequest struct {
	Info      AttemptInfo `json:"ticket"`
	Prompt    string      `json:"prompt"`
	Generated string      `json:"generated,omitempty"`
}

// PrefillResponse locates the prompt's KV cache.
type PrefillResponse struct {
	Load   Load                 `json:"load"`
	Fault  *fault.Refusal       `json:"fault,omitempty"`
	Source ident.Address        `json:"source"`
	Result engine.PrefillResult `json:"result"`
}

// DecodeRequest asks for output to be generated in a reserved slot.
type DecodeRequest struct {
	Info   AttemptInfo     `json:"ticket"`
	Source ident.Address   `json:"source"`
	Handle engine.KVHandle `json:"handle"`
	// Tokens is the length of the prompt whose KV cache is fetched.
	Tokens        ident.TokenCount `json:"tokens"`
	StartPosition ident.TokenCount `json:"from"`
	MaxTokens     ident.TokenCount `json:"max-tokens"`
	// TransferTimeout bounds the KV transfer; the agent may use a shorter timeout
	// based on its measurements.
	TransferTimeout time.Duration `json:"transfer-timeout-ns"`
	// TokenTimeout is the time without a token after which the agent ends the decode. Until then the
	// entry decides, which knows whether another endpoint can go on; zero is StreamIdleTimeout.
	TokenTimeout time.Duration `json:"token-timeout-ns,omitempty"`
}

// FrameKind is the kind of a frame.
type FrameKind string

const (
	// TokenFrame carries one token.
	TokenFrame FrameKind = "piece"
	// EndFrame ends a complete output and carries its number of tokens.
	EndFrame FrameKind = "end"
	// FaultFrame ends a failed attempt.
	FaultFrame FrameKind = "fault"
	// KeepAliveFrame indicates that the attempt is still running while no token is
	// ready.
	KeepAliveFrame FrameKind = "idle"
)

// Frame is one line of a decode stream.
type Frame struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.AttemptID `json:"attempt"`
	Kind    FrameKind       `json:"kind"`
	// Position is the zero-based index of the token in the whole output; in an end
	// frame it is the number of tokens.
	Position ident.TokenCount `json:"position"`
	Text     string           `json:"text,omitempty"`
	Finish   string           `json:"finish,omitempty"`
	Fault    *fault.Refusal   `json:"fault,omitempty"`
	// Load is set in frames that end an attempt.
	Load *Load `json:"load,omitempty"`
}

// CallRequest asks for a call to a plain service.
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
	// Digest is the hash of the call; it detects a key that is reused for another
	// call.
	Digest ident.Digest `json:"digest,omitempty"`
	// Limit is the number of concurrent calls of the class at the endpoint.
	Limit int `json:"limit"`
	// MaxWait bounds the wait for a slot at the endpoint.
	MaxWait   time.Duration `json:"wait-ns"`
	Shards    int           `json:"shards,omitempty"`
	Retention time.Duration `json:"keep-for-ns,omitempty"`
	// Timeout bounds the call at the endpoint.
	Timeout time.Duration `json:"timeout-ns"`
}

// CallResponse is the response of a plain service.
type CallResponse struct {
	Load   Load           `json:"load"`
	Fault  *fault.Refusal `json:"fault,omitempty"`
	Status int            `json:"status,omitempty"`
	Header http.Header    `json:"header,omitempty"`
	Body   []byte         `json:"body,omitempty"`
	// Replayed is true if this is the recorded response of an earlier attempt.
	Replayed bool `json:"replayed,omitempty"`
	// Truncated is true if the recorded response body was too long to store.
	Truncated bool `json:"truncated,omitempty"`
	// LedgerChecked is true if the ledger was checked, so that an outcome of
	// not-run also covers earlier attempts under the same key.
	LedgerChecked bool `json:"consulted,omitempty"`
}
