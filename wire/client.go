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
)

const (
	// MaxFrameBytes is the longest line of a stream, in bytes.
	MaxFrameBytes = 1 << 20
	// headerBytes is about the bytes of the two headers of one order.
	headerBytes = 500
	// StreamIdleTimeout is how long a stream may carry nothing at all; agents send
	// an idle frame in a third of it.
	StreamIdleTimeout = 3 * time.Second
)

// ErrNotSent means that an order certainly did not reach the agent.
var ErrNotSent = errors.New("the agent could not be reached")

// ErrResponseLost means that the agent went away after an order was sent.
var ErrResponseLost = errors.New("the agent's answer was lost")

// Client sends orders to agents.
type Client struct {
	http    *http.Client
	signer  *auth.Keyring
	observe ObserveFunc
}

// ObserveFunc is called with the kind and the size of each order that carries no
// prompt and no call: what a request costs beside its own content.
type ObserveFunc func(kind string, size ident.ByteCount)

// controlKinds names the orders that are observed.
var controlKinds = map[string]string{ReservePrefillPath: "order-turn", ReserveDecodePath: "order-reserve", ReleasePath: "order-release"}

// NewClient returns a client that signs its orders.
func NewClient(client *http.Client, signer *auth.Keyring, observe ObserveFunc) *Client {
	return &Client{http: client, signer: signer, observe: observe}
}

// Call sends one order and decodes its reply.
func Call[Answer any](ctx context.Context, c *Client, agent ident.Address, path string, order any) (answer Answer, err error) {
	defer fault.Annotate(&err, "order %s to %s", path, agent)
	response, err := c.post(ctx, agent, path, order)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, errors.Join(ErrResponseLost, err)
	}
	if kind, observed := controlKinds[path]; observed {
		c.observe(kind, headerBytes+ident.ByteCount(max(0, response.Request.ContentLength))+ident.ByteCount(len(body)))
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, errors.Join(ErrResponseLost, err)
	}
	return answer, nil
}

// Stream sends an order and hands each frame of the answer to receive, until
// the stream ends, is silent for too long, or receive fails.
func (c *Client) Stream(ctx context.Context, agent ident.Address, order DecodeRequest, receive func(Frame) error) (err error) {
	defer fault.Annotate(&err, "decode at %s", agent)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(StreamIdleTimeout, func() { cancel(ErrResponseLost) })
	defer silence.Stop()
	response, err := c.post(ctx, agent, DecodePath, order)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, MaxFrameBytes)
	for lines.Scan() {
		silence.Reset(StreamIdleTimeout)
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
	return errors.Join(ErrResponseLost, io.ErrUnexpectedEOF, lines.Err())
}

// DecodeFrame reads one line of a stream.
func DecodeFrame(line []byte) (frame Frame, err error) {
	if err := json.Unmarshal(line, &frame); err != nil {
		return frame, errors.Join(ErrResponseLost, err)
	}
	if frame.Position < 0 {
		return frame, fmt.Errorf("a frame at position %d", frame.Position)
	}
	return frame, nil
}

func (c *Client) post(ctx context.Context, agent ident.Address, path string, order any) (*http.Response, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(agent)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// An order is never sent again by the transport: the owner of retries is
	// the entry alone.
	request.GetBody = nil
	c.signer.Sign(request, body, time.Now())
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("the agent answered with status %d", response.StatusCode)
	}
	return response, nil
}

// transportError tells an order that never left from one that may have arrived.
func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return errors.Join(ErrResponseLost, err)
}
