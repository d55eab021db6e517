package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
