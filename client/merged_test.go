package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// respondOnce returns a dialer of a server that sends a text and closes.
func respondOnce(text string) DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = io.WriteString(far, text)
			}
		}()
		return near, nil
	}
}

// TestMergedHeads guards against a head that is cut and followed by a copy of an earlier response,
// whose body then belongs to the request.
func TestMergedHeads(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nX-Seal: s\r\nContent-Type: text/plain\r\nX-A: b\r\n"
	const earlier = "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 5\r\n\r\nother"
	for at := range len(head) {
		c := NewClient(Config{Dial: respondOnce(head[:at] + earlier), EchoHeader: "X-Id"})
		response, body, err := exchangeID(t.Context(), c, http.MethodGet, "mine")
		assert.Check(t, err != nil, "cut after %q: status %d, body %q", head[:at], statusOf(response), body)
	}
}

// TestChunksInHTTP10 guards against chunks with HTTP/1.0, which has none: they are no body that ends
// with its connection, so that a part of them, and their sizes, count as a whole body.
func TestChunksInHTTP10(t *testing.T) {
	body := chunked("")
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\ntransfer-encoding: chunked\nX-Id: mine\n\n",
		"HTTP/1.0 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Id: mine\r\nX-A: " + strings.Repeat("a", 10_000) + "\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for at := range len(body) + 1 {
			c := NewClient(Config{Dial: respondOnce("HTTP/1.1 103 Early Hints\r\n\r\n" + head + body[:at]), EchoHeader: "X-Id"})
			response, got, err := exchangeID(t.Context(), c, http.MethodGet, "mine")
			assert.Check(t, err != nil, "cut after %d bytes: status %d, body %q", at, statusOf(response), got)
		}
	}
	const text = "HTTP/1.0 200 OK\r\nX-Id: mine\r\n\r\nTransfer-Encoding: chunked\r\n"
	c := NewClient(Config{Dial: respondOnce(text), EchoHeader: "X-Id"})
	_, got, err := exchangeID(t.Context(), c, http.MethodGet, "mine")
	assert.NilError(t, err)
	assert.Equal(t, got, "Transfer-Encoding: chunked\r\n")
}
