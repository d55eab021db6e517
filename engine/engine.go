// Package engine is the client of a model engine: the messages of its
// protocol and a thin HTTP client. See docs/protocols/engine.md.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
)

// KVHandle names a KV cache that an engine holds for a short time.
type KVHandle string

// PrefillRequest asks an engine to read a prompt.
type PrefillRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	Prompt  string          `json:"prompt"`
	// Generated is the part of the answer that the caller has already, when a
	// stream goes on at another engine.
	Generated string `json:"generated,omitempty"`
	Priority  int    `json:"priority"`
}

// PrefillResult says where the prompt's KV cache lies.
type PrefillResult struct {
	Handle KVHandle `json:"handle"`
	// Tokens is the prompt's length.
	Tokens ident.TokenCount `json:"tokens"`
	// CachedTokens is the part of the prompt that was not read again.
	CachedTokens ident.TokenCount `json:"cached-tokens"`
}

// ImportRequest asks an engine to fetch a KV cache from another engine.
type ImportRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	Source  ident.Address   `json:"source"`
	Handle  KVHandle        `json:"handle"`
}

// DecodeRequest asks an engine to generate tokens from an imported KV cache.
type DecodeRequest struct {
	Attempt  ident.AttemptID `json:"attempt"`
	Priority int             `json:"priority"`
	// StartPosition is the position in the answer of the first token to generate.
	StartPosition ident.TokenCount `json:"from"`
	// MaxTokens bounds the whole answer, the part before From included.
	MaxTokens ident.TokenCount `json:"max-tokens"`
}

// Token is one line of a decode stream.
type Token struct {
	// Position counts from zero over the whole answer.
	Position ident.TokenCount `json:"position"`
	Text     string           `json:"text,omitempty"`
	// Finish is empty but in the last line, which carries no text.
	Finish string `json:"finish,omitempty"`
}

// RunningRequest is one request that holds memory in an engine.
type RunningRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	State   string          `json:"state"`
}

// CancelRequest asks an engine to drop all that it holds for an attempt.
type CancelRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// ErrKVEvicted means that the KV cache was evicted before it was used.
var ErrKVEvicted = errors.New("the KV cache is gone")

// IsDown reports whether an error means that no engine listens any more.
func IsDown(err error) bool {
	var operation *net.OpError
	return IsCrash(err) || errors.As(err, &operation) && operation.Op == "dial"
}

// IsCrash reports whether an error means that the engine went down while it
// worked, as against one that could not be reached or refused the order.
func IsCrash(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrClosedPipe)
}

// ErrNoSlot means that the engine has no slot left.
var ErrNoSlot = errors.New("the engine has no free slot")

// ClientConfig configures a Client.
type ClientConfig struct {
	Address ident.Address
	HTTP    *http.Client
	// Timeout bounds calls that the engine answers at once.
	Timeout time.Duration
}

// Client talks to one engine.
type Client struct {
	config ClientConfig
}

// NewClient returns a client for the engine at the configured address.
func NewClient(config ClientConfig) *Client { return &Client{config: config} }

// Prefill reads a prompt; it returns when the KV cache is ready.
func (c *Client) Prefill(ctx context.Context, order PrefillRequest) (result PrefillResult, err error) {
	defer fault.Annotate(&err, "prefill %s", order.Attempt)
	err = c.call(ctx, "/engine/prefill", order, &result)
	return result, err
}

// Import fetches a KV cache from another engine; it returns when it has arrived.
func (c *Client) Import(ctx context.Context, order ImportRequest) (err error) {
	defer fault.Annotate(&err, "import for %s", order.Attempt)
	return c.call(ctx, "/engine/import", order, nil)
}

// Cancel drops all that the engine holds for an attempt.
func (c *Client) Cancel(ctx context.Context, attempt ident.AttemptID) (err error) {
	defer fault.Annotate(&err, "cancel %s", attempt)
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	return c.call(ctx, "/engine/cancel", CancelRequest{Attempt: attempt}, nil)
}

// Requests lists what the engine holds memory for.
func (c *Client) Requests(ctx context.Context) (running []RunningRequest, err error) {
	defer fault.Annotate(&err, "list the engine's requests")
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url("/engine/requests"), nil)
	if err != nil {
		return nil, err
	}
	return running, c.do(request, &running)
}

// Decode generates tokens and hands each line of the stream to receive, in
// order, until the stream ends, receive fails or the context is done.
func (c *Client) Decode(ctx context.Context, order DecodeRequest, receive func(Token) error) (err error) {
	defer fault.Annotate(&err, "decode %s", order.Attempt)
	response, err := c.post(ctx, "/engine/decode", order)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var token Token
		if err := json.Unmarshal(lines.Bytes(), &token); err != nil {
			return err
		}
		if err := receive(token); err != nil {
			return err
		}
		if token.Finish != "" {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (c *Client) url(path string) string { return "http://" + string(c.config.Address) + path }

func (c *Client) call(ctx context.Context, path string, order, result any) error {
	response, err := c.post(ctx, path, order)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

func (c *Client) post(ctx context.Context, path string, order any) (*http.Response, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	if err := statusError(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (c *Client) do(request *http.Request, result any) error {
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	return json.NewDecoder(response.Body).Decode(result)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return ErrKVEvicted
	case http.StatusServiceUnavailable:
		return ErrNoSlot
	}
	return fmt.Errorf("the engine answered with status %d", status)
}
