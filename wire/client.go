package wire

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
	"time"

	"crocusstep/auth"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/reply"
)

const (
	// MaxFrameBytes is the size limit of a frame.
	MaxFrameBytes = 1 << 20
	// maxResponseBytes is the size limit of a response other than a stream. The response of a plain service
	// may have 4 MiB, which are sent in base64.
	maxResponseBytes = 8 << 20
	// headerBytes is the approximate size of the request and response headers.
	headerBytes = 500
	// StreamIdleTimeout is the longest time without a frame after which a stream
	// has failed; agents send a keep-alive frame every third of it.
	StreamIdleTimeout = 3 * time.Second
)

// ErrNotSent means that a request certainly did not reach the agent.
var ErrNotSent = errors.New("the agent could not be reached")

// ErrResponseLost means that the connection failed after a request was sent, so
// that the agent may have executed it.
var ErrResponseLost = errors.New("the agent's answer was lost")

// ErrSilent means that the agent sent nothing for StreamIdleTimeout. It may be frozen or cut off
// rather than crashed.
var ErrSilent = errors.New("the agent sent nothing for too long")

// errTooLong means that a response is longer than any sound one.
var errTooLong = errors.New("the agent's answer is too long")

// Client sends signed requests to agents.
type Client struct {
	http    *http.Client
	signer  *auth.Keyring
	observe ObserveFunc
}

// ObserveFunc is called with the kind and size of each control request, which
// carries no prompt and no call, to measure the protocol's overhead.
type ObserveFunc func(kind string, size ident.ByteCount)

// controlKinds maps the paths of control requests to their kinds.
var controlKinds = map[string]string{ReservePrefillPath: "order-turn", ReserveDecodePath: "order-reserve", ReleasePath: "order-release"}

// NewClient returns a client that signs its requests.
func NewClient(client *http.Client, signer *auth.Keyring, observe ObserveFunc) *Client {
	return &Client{http: reply.Client(client), signer: signer, observe: observe}
}

// Call sends a request and decodes the response.
func Call[Result any](ctx context.Context, c *Client, agent ident.Address, path string, request any) (result Result, err error) {
	defer fault.Annotate(&err, "request %s to %s", path, agent)
	response, err := c.post(ctx, agent, path, request)
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLong
	}
	if err != nil {
		return result, errors.Join(ErrResponseLost, err)
	}
	if kind, observed := controlKinds[path]; observed {
		c.observe(kind, headerBytes+ident.ByteCount(max(0, response.Request.ContentLength))+ident.ByteCount(len(body)))
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, errors.Join(ErrResponseLost, err)
	}
	return result, nil
}

// Stream sends a decode request and passes each frame to receive, until the stream
// ends, exceeds StreamIdleTimeout, or receive fails.
func (c *Client) Stream(ctx context.Context, agent ident.Address, request DecodeRequest, receive func(Frame) error) (err error) {
	defer fault.Annotate(&err, "decode at %s", agent)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(StreamIdleTimeout, func() { cancel(ErrSilent) })
	defer idleTimer.Stop()
	response, err := c.post(ctx, agent, DecodePath, request)
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, MaxFrameBytes)
	for lines.Scan() {
		idleTimer.Reset(StreamIdleTimeout)
		frame, err := DecodeFrame(lines.Bytes())
		if err != nil {
			return err
		}
		if err := receive(frame); err != nil {
			return err
		}
		if frame.Kind == EndFrame || frame.Kind == FaultFrame {
			return nil
		}
	}
	return errors.Join(ErrResponseLost, io.ErrUnexpectedEOF, lines.Err(), context.Cause(ctx))
}

// DecodeFrame decodes one line of a stream.
func DecodeFrame(line []byte) (frame Frame, err error) {
	if err := json.Unmarshal(line, &frame); err != nil {
		return frame, errors.Join(ErrResponseLost, err)
	}
	if frame.Position < 0 {
		return frame, fmt.Errorf("a frame at position %d", frame.Position)
	}
	return frame, nil
}

func (c *Client) post(ctx context.Context, agent ident.Address, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(agent)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport must not retry a request; only the entry retries.
	httpRequest.GetBody = nil
	c.signer.Sign(httpRequest, body, time.Now())
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, transportError(err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("the agent answered with status %d", response.StatusCode)
	}
	return response, nil
}

// transportError marks an error with ErrNotSent if the request certainly was not
// sent, and with ErrResponseLost otherwise.
func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return errors.Join(ErrResponseLost, err)
}
