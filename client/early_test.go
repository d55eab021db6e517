package client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/ident"
)

var (
	uploadSizes  = []int{8 << 10, 256 << 10, 8 << 20}
	readerPauses = []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond}
)

// dialSmall opens a connection that takes few bytes to be sent, so that a write waits for its peer as
// it does on a slow link.
func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
}

// uploadTo sends a large request to a server with an early response. The pause comes between the head
// and the body of the response.
func uploadTo(t *testing.T, dial DialFunc, early fake.EarlyResponse, size int, pause time.Duration) (status int, body string, err error) {
	t.Helper()
	early.Fields = "X-Id: mine\r\n"
	server, err := fake.NewRawServer(early.Send)
	assert.NilError(t, err)
	defer server.Close()
	c := NewClient(Config{Dial: dial, EchoHeader: "X-Id"})
	defer c.Close()
	response, err := c.Do(t.Context(), ident.Address(server.Address()), &Request{
		Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{"X-Id": {"mine"}}, Body: make([]byte, size),
	})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	time.Sleep(pause)
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestResetDuringUpload guards against a part of a response without a length that is taken as a
// complete one, as the write of the request has met the reset of the connection first.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 5
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, size := range uploadSizes {
			for _, readBytes := range []int64{0, 6 << 10} {
				for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
					early := fake.EarlyResponse{Version: version, Status: "200 OK", Body: "a part of ", Framing: "close", End: fake.EndByReset, ReadBytes: readBytes, Delay: delay}
					t.Run(fmt.Sprintf("%s, %d bytes sent", early, size), func(t *testing.T) {
						t.Parallel()
						for range rounds {
							for _, pause := range readerPauses {
								status, body, err := uploadTo(t, dialSmall, early, size, pause)
								assert.Assert(t, err != nil, "read after %s: status %d, body %q", pause, status, body)
							}
						}
					})
				}
			}
		}
	}
}

// TestEarlyResponse guards against sound early responses that are taken for broken ones.
func TestEarlyResponse(t *testing.T) {
	for _, end := range []fake.EarlyEnd{fake.EndByFIN, fake.EndThenSilence, fake.EndThenReset} {
		for _, framing := range []string{"close", "length", "chunks"} {
			for _, size := range uploadSizes {
				early := fake.EarlyResponse{Version: "HTTP/1.1", Status: "413 Too Large", Body: "too large", Framing: framing, End: end}
				t.Run(fmt.Sprintf("%s, %d bytes sent", early, size), func(t *testing.T) {
					t.Parallel()
					for _, pause := range readerPauses {
						for _, dial := range []DialFunc{dialSmall, new(net.Dialer).DialContext} {
							status, body, err := uploadTo(t, dial, early, size, pause)
							assert.NilError(t, err)
							assert.Equal(t, status, http.StatusRequestEntityTooLarge)
							assert.Equal(t, body, "too large")
						}
					}
				})
			}
		}
	}
}
