package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

const (
	// ProblemType is the media type of RFC 9457.
	ProblemType = "application/problem+json"
	// typePrefix starts the URI reference that identifies a code.
	typePrefix = "urn:crocusstep:refusal:"
)

// Problem is the RFC 9457 body of a refusal.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterSeconds repeats the Retry-After header for clients that only
	// read bodies; zero means that coming back does not help.
	RetryAfterSeconds int    `json:"retry-after-seconds,omitempty"`
	Request           string `json:"request,omitempty"`
}

// NewProblem returns the body for a refusal of the given request.
func NewProblem(refusal *Refusal, request string) Problem {
	return Problem{
		Type:              typePrefix + string(refusal.Code),
		Title:             http.StatusText(refusal.Status()),
		Status:            refusal.Status(),
		Detail:            refusal.Detail,
		Code:              refusal.Code,
		Outcome:           refusal.Outcome,
		RetryAfterSeconds: wholeSeconds(refusal.RetryAfter),
		Request:           request,
	}
}

// WriteProblem answers a caller with the refusal.
func WriteProblem(w http.ResponseWriter, refusal *Refusal, request string) {
	problem := NewProblem(refusal, request)
	w.Header().Set("Content-Type", ProblemType)
	if problem.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(problem.RetryAfterSeconds))
	}
	w.WriteHeader(problem.Status)
	// The caller may be gone already; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(problem)
}

// wholeSeconds rounds up, because the header knows no fractions and an early
// return would be refused again.
func wholeSeconds(wait time.Duration) int {
	return int(math.Ceil(wait.Seconds()))
}
