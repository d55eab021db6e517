// Package relay passes requests of callers on to endpoints as they came: plain
// calls to plain services, and prompts to separate prefill and decode endpoints.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
)

// Request is one request of a caller.
type Request struct {
	Attempt ident.AttemptID
	Method  string
	// Target is path and query, and Path the path alone, exactly as they came.
	Target string
	Path   string
	Host   string
	// Header is what is passed on: neither of one connection nor the system's.
	Header  http.Header
	Body    []byte
	HasBody bool
	Arrived time.Time
	// Patience is how long the caller waits, counted from the arrival.
	Patience time.Duration
	// LastEventID is the last event that the caller has, if it has any.
	LastEventID string
	// Prompt is set where the request carries one.
	Prompt *Prompt
}

// Prompt is what a caller states of a request to a language model.
type Prompt struct {
	// Tokens is the prompt's length.
	Tokens ident.TokenCount
	// MaxOutput is the limit of the answer's length.
	MaxOutput ident.TokenCount
	// EstimatedOutput is the estimated length of the answer, or zero.
	EstimatedOutput ident.TokenCount
}

func (r *Request) fingerprint() gossip.Fingerprint {
	return gossip.FingerprintOf(r.Host, r.Target, r.Body)
}

// Response is an endpoint's answer.
type Response struct {
	Status int
	// Header is what is passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted is the endpoint's promise that it did not run the request.
	NotExecuted bool
	// Misdirected is set if another process than the expected one answered.
	Misdirected bool
	// Sealed answers bear the service's own signature.
	Sealed bool
}

// Successful reports whether the endpoint answered with success.
func (a *Response) Successful() bool { return a.Status >= 200 && a.Status < 300 }

// CachedPrompt is a prompt that was read and is kept for a moment at its endpoint.
type CachedPrompt struct {
	Endpoint pool.Endpoint
	Handle   string
	// PrefilledAt is when it was read.
	PrefilledAt time.Time
}

// Endpoints carries requests to endpoints. An error joins link.ErrNotSent if the
// endpoint cannot have seen the request.
type Endpoints interface {
	// Call sends a request that the endpoint serves as a whole.
	Call(ctx context.Context, e pool.Endpoint, r *Request, left time.Duration) (*Response, error)
	// Prefill has a prompt read. The answer is nil if it was.
	Prefill(ctx context.Context, e pool.Endpoint, r *Request, left time.Duration) (*CachedPrompt, *Response, error)
	// Decode has the answer made of a prompt that was read elsewhere, from after
	// an event.
	Decode(ctx context.Context, e pool.Endpoint, r *Request, from *CachedPrompt, left time.Duration) (*Response, error)
	// Free gives up a prompt that was read.
	Free(ctx context.Context, from *CachedPrompt) error
}
