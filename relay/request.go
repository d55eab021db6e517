// Package relay forwards callers' requests to endpoints unchanged: plain calls to plain
// services, and prompts to separate prefill and decode endpoints.
package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"crocusstep/client"
	"crocusstep/crash"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/table"
)

// Request is one attempt of a caller.
type Request struct {
	Attempt ident.AttemptID
	Method  string
	// Target is the path with the query, Path the path alone, both as received.
	Target string
	Path   string
	Host   string
	// Header is forwarded; it holds neither hop-by-hop headers, nor the router's own, nor those
	// that identify the caller.
	Header  http.Header
	Body    []byte
	HasBody bool
	Arrived time.Time
	// Timeout is how long the caller waits for the response, counted from Arrived.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller has received, or empty.
	LastEventID string
	// Resumes is the attempt that brought the caller's first event, empty for a new stream.
	Resumes ident.AttemptID
	// Prompt is nil if the request carries no token counts.
	Prompt *Prompt
	// InvalidTokenCounts is set if the request carries token counts that are not two positive
	// numbers.
	InvalidTokenCounts bool
	// Key is the digest of the caller's key, zero if the request has none.
	Key table.KeyDigest
	// IdentityHeaders are the caller's own headers that identify it, which Header lacks. They are
	// forwarded only if ForwardsIdentity is set.
	IdentityHeaders http.Header
	// ForwardsIdentity is set if callers need no keys.
	ForwardsIdentity bool
	// Workspace is whose request it is, empty if that is unknown.
	Workspace ident.WorkspaceName
	// digest is empty until it is needed.
	digest crash.Fingerprint
}

// Prompt holds the token counts that a caller sends with a language model request.
type Prompt struct {
	Tokens ident.TokenCount
	// MaxOutput limits the output.
	MaxOutput ident.TokenCount
	// EstimatedOutput is the caller's estimate of the output, or zero.
	EstimatedOutput ident.TokenCount
	// Parts are the parts that other prompts may share.
	Parts []crash.PartID
}

// fingerprint returns the digest of the request, which it computes once.
func (r *Request) fingerprint() crash.Fingerprint {
	if r.digest == "" {
		r.digest = crash.FingerprintOf(r.Host, r.Target, r.Body)
	}
	return r.digest
}

// parts returns the shared parts of the request's prompt.
func (r *Request) parts() []crash.PartID {
	if r.Prompt == nil {
		return nil
	}
	return r.Prompt.Parts
}

// Response is an endpoint's response.
type Response struct {
	Status int
	// Header holds the end-to-end headers, which are forwarded to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted is the endpoint's assurance that it did not execute the request.
	NotExecuted bool
	// Misdirected is set if the process at the address is not the expected one.
	Misdirected bool
	// Paused is set if the endpoint has asked for a pause with its rejection, which then says
	// nothing else about it.
	Paused bool
	// Signed is set if the response carries the service's signature.
	Signed bool
	// Framing is how the end of the body is marked.
	Framing client.Framing
}

// Successful reports whether the status is 2xx.
func (r *Response) Successful() bool { return r.Status >= 200 && r.Status < 300 }

// rejection returns the outcome of a request that the endpoint did not execute.
func (r *Response) rejection() pool.Outcome {
	switch {
	case r.Misdirected:
		return pool.Mismatch
	case r.Paused:
		return pool.Neutral
	}
	return pool.Failed
}

// hasEvents reports whether the body is a stream of events, which a response without a
// content type is, too.
func (r *Response) hasEvents() bool {
	contentType := r.Header.Get("Content-Type")
	if contentType == "" {
		return r.Status == http.StatusOK
	}
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// CachedPrompt is a prefilled prompt whose KV cache its prefill endpoint holds for a
// limited time.
type CachedPrompt struct {
	Endpoint pool.Endpoint
	// Handle names the KV cache at the endpoint.
	Handle      string
	PrefilledAt time.Time
}

// Endpoints sends requests to endpoints. An error joins client.ErrNotSent if the endpoint
// cannot have received the request.
type Endpoints interface {
	// Call sends a request that one endpoint serves on its own.
	Call(ctx context.Context, e pool.Endpoint, r *Request, timeLeft time.Duration) (*Response, error)
	// Prefill computes a prompt's KV cache. The response is nil on success.
	Prefill(ctx context.Context, e pool.Endpoint, r *Request, timeLeft time.Duration) (*CachedPrompt, *Response, error)
	// Decode generates the output of a prefilled prompt, starting after the request's
	// LastEventID.
	Decode(ctx context.Context, e pool.Endpoint, r *Request, cached *CachedPrompt, timeLeft time.Duration) (*Response, error)
	// Free discards the KV cache of a prompt.
	Free(ctx context.Context, cached *CachedPrompt) error
}
