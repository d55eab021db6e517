// Package engine defines the protocol of a model engine and an HTTP client for it.
// See docs/protocols/engine.md.
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
	"slices"
	"syscall"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/reply"
)

// maxResponseBytes limits a response other than a stream.
const maxResponseBytes = 4 << 20

// KVHandle identifies a KV cache that an engine keeps for a short time.
type KVHandle string

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	Prompt  string          `json:"prompt"`
	// Generated is the part of the output that the caller already has, when a
	// stream is resumed at another engine.
	Generated string `json:"generated,omitempty"`
	Priority  int    `json:"priority"`
}

// PrefillResult identifies the prompt's KV cache.
type PrefillResult struct {
	Handle KVHandle `json:"handle"`
	// Tokens is the length of the prompt.
	Tokens ident.TokenCount `json:"tokens"`
	// CachedTokens is the length of the prefix that came from the engine's prefix
	// cache.
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
	// StartPosition is the position in the output of the first token to generate.
	StartPosition ident.TokenCount `json:"from"`
	// MaxTokens bounds the whole output, including the part before StartPosition.
	MaxTokens ident.TokenCount `json:"max-tokens"`
}

// Token is one line of a decode stream.
type Token struct {
	// Position is the zero-based index of the token in the whole output.
	Position ident.TokenCount `json:"position"`
	Text     string           `json:"text,omitempty"`
	// Finish is the finish reason; only the last line has it, and it has no text.
	Finish string `json:"finish,omitempty"`
}

// finishReasons are those of complete outputs. Engines also end outputs that they have aborted.
var finishReasons = []string{"stop", "length"}

// errNoToken means that a line of a decode stream is no token, such as an error.
var errNoToken = errors.New("the engine sent a line that is no token")

// decodeToken decodes a line of a decode stream. A line without a position must not count as
// the first token.
func decodeToken(line []byte) (token Token, err error) {
	defer fault.Annotate(&err, "decode a token")
	var parsed struct {
		Token
		Position *ident.TokenCount `json:"position"`
		Error    any               `json:"error"`
	}
	if err := json.Unmarshal(line, &parsed); err != nil {
		return token, err
	}
	token = parsed.Token
	switch {
	case parsed.Position == nil || parsed.Error != nil:
		return token, errNoToken
	case token.Finish != "" && (token.Text != "" || !slices.Contains(finishReasons, token.Finish)):
		return token, fmt.Errorf("%w: it ends the output with %q", errNoToken, token.Finish)
	}
	token.Position = *parsed.Position
	return token, nil
}

// RunningRequest is a request that holds memory in an engine.
type RunningRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	State   string          `json:"state"`
}

// CancelRequest asks an engine to cancel an attempt and free its memory.
type CancelRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// ErrKVEvicted means that the KV cache was evicted before it was used.
var ErrKVEvicted = errors.New("the KV cache is gone")

// IsDown reports whether an error means that the engine crashed or accepts no
// connections.
func IsDown(err error) bool {
	var operation *net.OpError
	return IsCrash(err) || errors.As(err, &operation) && operation.Op == "dial"
}

// IsCrash reports whether an error means that the engine crashed during the
// request, rather than being unreachable or refusing it.
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

// ErrNoSlot means that the engine has no free slot.
var ErrNoSlot = errors.New("the engine has no free slot")

// ClientConfig configures a Client.
type ClientConfig struct {
	Address ident.Address
	HTTP    *http.Client
	// Timeout bounds requests that the engine responds to immediately.
	Timeout time.Duration
}

// Client is a client for one engine.
type Client struct {
	config ClientConfig
}

// NewClient returns a client for the engine at the configured address.
func NewClient(config ClientConfig) *Client {
	config.HTTP = reply.Client(config.HTTP)
	return &Client{config: config}
}

// Prefill computes the KV cache of a prompt; it returns when the cache is ready.
func (c *Client) Prefill(ctx context.Context, request PrefillRequest) (result PrefillResult, err error) {
	defer fault.Annotate(&err, "prefill %s", request.Attempt)
	err = c.call(ctx, "/engine/prefill", request, &result)
	return result, err
}

// Import makes the engine fetch a KV cache from another engine; it returns when
// the transfer is complete.
func (c *Client) Import(ctx context.Context, request ImportRequest) (err error) {
	defer fault.Annotate(&err, "import for %s", request.Attempt)
	return c.call(ctx, "/engine/import", request, nil)
}

// Cancel cancels an attempt in the engine and frees its memory.
func (c *Client) Cancel(ctx context.Context, attempt ident.AttemptID) (err error) {
	defer fault.Annotate(&err, "cancel %s", attempt)
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	return c.call(ctx, "/engine/cancel", CancelRequest{Attempt: attempt}, nil)
}

// Requests lists the requests that hold memory in the engine.
func (c *Client) Requests(ctx context.Context) (running []RunningRequest, err error) {
	defer fault.Annotate(&err, "list the engine's requests")
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url("/engine/requests"), nil)
	if err != nil {
		return nil, err
	}
	return running, c.do(httpRequest, &running)
}

// Decode generates tokens and passes each line of the stream to receive, in
// order, until the stream ends, receive fails or the context is done.
func (c *Client) Decode(ctx context.Context, request DecodeRequest, receive func(Token) error) (err error) {
	defer fault.Annotate(&err, "decode %s", request.Attempt)
	response, err := c.post(ctx, "/engine/decode", request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		token, err := decodeToken(lines.Bytes())
		if err != nil {
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

// send sends a request on a connection of its own: no id tells the response from a copy of an
// earlier one on the connection.
func (c *Client) send(httpRequest *http.Request) (*http.Response, error) {
	httpRequest.Close = true
	return c.config.HTTP.Do(httpRequest)
}

func (c *Client) url(path string) string { return "http://" + string(c.config.Address) + path }

func (c *Client) call(ctx context.Context, path string, request, result any) error {
	response, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	return decodeResponse(response, result)
}

// decodeResponse reads a response completely and decodes it, unless the result is nil: the engine
// may have crashed after it has sent a part.
func decodeResponse(response *http.Response, result any) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return err
	case len(body) > maxResponseBytes:
		return errors.New("the engine's response is too long")
	case result == nil:
		return nil
	}
	return json.Unmarshal(body, result)
}

func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.send(httpRequest)
	if err != nil {
		return nil, err
	}
	if err := statusError(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (c *Client) do(httpRequest *http.Request, result any) error {
	response, err := c.send(httpRequest)
	if err != nil {
		return err
	}
	if err := statusError(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return err
	}
	return decodeResponse(response, result)
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
