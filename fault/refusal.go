// Package fault defines the errors that are sent to callers and between processes:
// refusals with a stable code and whether the refused work may have been executed.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome states whether the refused work may have been executed.
type Outcome string

const (
	// NotExecuted guarantees that the work was not and will not be executed.
	NotExecuted Outcome = "not-run"
	// Unknown means that the work may have been executed.
	Unknown Outcome = "unknown"
)

// Code is the stable, machine-readable reason for a refusal.
type Code string

// The codes are part of the API for callers; their meaning must not change.
const (
	BadRequest          Code = "bad-request"
	MalformedJSON       Code = "malformed-json"
	UnknownRoute        Code = "unknown-route"
	UnknownCaller       Code = "unknown-caller"
	OverQuota           Code = "over-quota"
	UnknownService      Code = "unknown-service"
	UnknownCall         Code = "unknown-call"
	BodyTooLarge        Code = "body-too-large"
	PromptTooLong       Code = "prompt-too-long"
	SlowClient          Code = "slow-client"
	KeyRequired         Code = "idempotency-key-required"
	KeyReused           Code = "idempotency-key-reused"
	ActionInProgress    Code = "action-in-progress"
	ActionUnknown       Code = "action-outcome-unknown"
	LedgerUnavailable   Code = "ledger-unavailable"
	LedgerFull          Code = "ledger-full"
	Overloaded          Code = "overloaded"
	TargetUnreachable   Code = "target-unreachable"
	NoEndpoint          Code = "no-endpoint"
	VersionUnknown      Code = "version-unknown"
	VersionEnded        Code = "version-ended"
	EndpointFailed      Code = "endpoint-failed"
	EndpointBusy        Code = "endpoint-busy"
	Draining            Code = "draining"
	PatienceExceeded    Code = "patience-exceeded"
	RequestBlocked      Code = "request-blocked"
	RequestSuspended    Code = "request-suspended"
	ResponseTruncated   Code = "answer-cut"
	KVLost              Code = "kv-lost"
	Cancelled           Code = "cancelled"
	EndpointCrashed     Code = "endpoint-crashed"
	DocumentsNotLoaded  Code = "documents-not-loaded"
	DocumentUnconfirmed Code = "document-doubtful"
	Internal            Code = "internal"
)

// statuses maps codes to HTTP statuses; Status returns 500 for any other code.
var statuses = map[Code]int{
	BadRequest:          http.StatusBadRequest,
	MalformedJSON:       http.StatusBadRequest,
	UnknownRoute:        http.StatusNotFound,
	UnknownCaller:       http.StatusUnauthorized,
	OverQuota:           http.StatusTooManyRequests,
	UnknownService:      http.StatusNotFound,
	UnknownCall:         http.StatusNotFound,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	PromptTooLong:       http.StatusRequestEntityTooLarge,
	SlowClient:          http.StatusRequestTimeout,
	KeyRequired:         http.StatusBadRequest,
	KeyReused:           http.StatusUnprocessableEntity,
	ActionInProgress:    http.StatusConflict,
	ActionUnknown:       http.StatusConflict,
	LedgerUnavailable:   http.StatusServiceUnavailable,
	LedgerFull:          http.StatusServiceUnavailable,
	Overloaded:          http.StatusServiceUnavailable,
	TargetUnreachable:   http.StatusServiceUnavailable,
	NoEndpoint:          http.StatusServiceUnavailable,
	VersionUnknown:      http.StatusServiceUnavailable,
	VersionEnded:        http.StatusServiceUnavailable,
	EndpointFailed:      http.StatusBadGateway,
	EndpointBusy:        http.StatusServiceUnavailable,
	Draining:            http.StatusServiceUnavailable,
	PatienceExceeded:    http.StatusGatewayTimeout,
	RequestBlocked:      http.StatusUnprocessableEntity,
	RequestSuspended:    http.StatusServiceUnavailable,
	ResponseTruncated:   http.StatusBadGateway,
	KVLost:              http.StatusBadGateway,
	Cancelled:           499,
	EndpointCrashed:     http.StatusBadGateway,
	DocumentsNotLoaded:  http.StatusServiceUnavailable,
	DocumentUnconfirmed: http.StatusServiceUnavailable,
	Internal:            http.StatusInternalServerError,
}

// Refusal is an error that is sent to a caller or to another process of the router.
type Refusal struct {
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail,omitempty"`
	// RetryAfter is the time after which a retry may succeed; zero means that no
	// retry helps.
	RetryAfter time.Duration `json:"retry-after-ns,omitempty"`
}

// New returns a refusal of work that was not executed.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: NotExecuted, Detail: fmt.Sprintf(format, args...)}
}

// NewUnknown returns a refusal of work that may have been executed.
func NewUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the refusal with the given RetryAfter.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	refusal := *r
	refusal.RetryAfter = wait
	return &refusal
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// Status returns the HTTP status of the refusal's code.
func (r *Refusal) Status() int {
	status, ok := statuses[r.Code]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// AsRefusal returns the refusal that an error wraps. Any other error becomes a
// refusal with code Internal and outcome Unknown.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return NewUnknown(Internal, "%v", err)
}

// Is reports whether the error wraps a refusal with the code.
func Is(err error, code Code) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Code == code
}

// Annotate adds context to a non-nil error. It is deferred with the address of a
// named result.
func Annotate(err *error, format string, args ...any) {
	if *err == nil {
		return
	}
	*err = eris.Wrapf(*err, format, args...)
}

// ErrGraceEnded is the cause with which the context of a request ends if its process stops and
// waits for the response no longer.
var ErrGraceEnded = errors.New("the grace period of the shutdown has ended")
