package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/ident"
)

// endlessConn counts the bytes that a client has read of a response without end.
type endlessConn struct {
	net.Conn
	read int
}

func (c *endlessConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

// TestEndlessAgent guards against entries that run out of memory, and so end the requests of all their callers, as a faulty agent
// sends bytes without end.
func TestEndlessAgent(t *testing.T) {
	const stopAfter = 64 << 20
	scenarios := []struct {
		testName, prefix string
		call             func(ctx context.Context, c *Client) error
		maxBytes         int
	}{
		{testName: "the head of a response", prefix: "HTTP/1.1 200 OK\r\nX: ", maxBytes: 1 << 20, call: callAgent},
		{testName: "the body of a response", prefix: "HTTP/1.1 200 OK\r\n\r\n" + `{"fault":"`, maxBytes: 2 * maxResponseBytes, call: callAgent},
		{testName: "the body of a refusal", prefix: "HTTP/1.1 500 Internal Server Error\r\n\r\n", maxBytes: 1 << 20, call: callAgent},
		{testName: "a frame of a stream", prefix: "HTTP/1.1 200 OK\r\n\r\n", maxBytes: 2 * MaxFrameBytes, call: func(ctx context.Context, c *Client) error {
			return c.Stream(ctx, "10.0.0.1:1", DecodeRequest{}, func(Frame) error { return nil })
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				counted := &endlessConn{Conn: near}
				go sendWithoutEnd(far, s.prefix, stopAfter)
				ring, err := auth.NewKeyring([]auth.Key{{ID: "k", Secret: "s"}})
				assert.NilError(t, err)
				transport := &http.Transport{MaxResponseHeaderBytes: 64 << 10, DialContext: func(context.Context, string, string) (net.Conn, error) { return counted, nil }}
				defer transport.CloseIdleConnections()
				err = s.call(t.Context(), NewClient(&http.Client{Transport: transport}, ring, func(string, ident.ByteCount) {}))
				assert.Assert(t, err != nil)
				_ = near.Close()
				synctest.Wait()
				assert.Assert(t, counted.read <= s.maxBytes, "read %d bytes", counted.read)
			})
		})
	}
}

func callAgent(ctx context.Context, c *Client) error {
	_, err := Call[Response](ctx, c, "10.0.0.1:1", CallPath, CallRequest{})
	return err
}

// sendWithoutEnd answers a request with a prefix and bytes without end, until the connection closes or all are sent.
func sendWithoutEnd(conn net.Conn, prefix string, stopAfter int) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, prefix)
	chunk := make([]byte, 64<<10)
	for i := range chunk {
		chunk[i] = 'a'
	}
	for sent := 0; err == nil && sent < stopAfter; sent += len(chunk) {
		_, err = conn.Write(chunk)
	}
}
