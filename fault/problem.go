package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

const (
	// ProblemType is the media type of problem details (RFC 9457).
	ProblemType = "application/problem+json"
	// typePrefix followed by a code is the problem's type URI.
	typePrefix = "urn:crocusstep:refusal:"
)

// Problem is the response body of a refusal, in the format of RFC 9457.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterSeconds repeats the Retry-After header for clients that only
	// read bodies; zero means that no retry helps.
	RetryAfterSeconds int    `json:"retry-after-seconds,omitempty"`
	Request           string `json:"request,omitempty"`
}

// NewProblem returns the response body for a refusal of the request.
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

// WriteProblem writes the refusal as the HTTP response to a request.
func WriteProblem(w http.ResponseWriter, refusal *Refusal, request string) {
	problem := NewProblem(refusal, request)
	w.Header().Set("Content-Type", ProblemType)
	if problem.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(problem.RetryAfterSeconds))
	}
	w.WriteHeader(problem.Status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(problem)
}

// wholeSeconds rounds up, because Retry-After has no fractions and an early retry
// would be refused again.
func wholeSeconds(wait time.Duration) int {
	return int(math.Ceil(wait.Seconds()))
}
