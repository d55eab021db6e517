package keeper

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"crocusstep/gossip"
)

// countingReader counts the bytes read of an endless text.
type countingReader struct {
	prefix io.Reader
	read   int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.prefix.Read(p)
	if err == nil {
		c.read += n
		return n, nil
	}
	for i := range p {
		p[i] = 'a'
	}
	c.read += len(p)
	return len(p), nil
}

// TestEndlessMessage sends a keeper a message without end: it must be rejected after a
// limited size.
func TestEndlessMessage(t *testing.T) {
	handler := NewHandler(newTestKeeper(t, &fakeEngine{}), gossip.NewHub())
	for _, path := range []string{ReservePath, PrefillPath, ReleasePath, StagePath, LoadPath, GossipPath} {
		t.Run(path, func(t *testing.T) {
			body := &countingReader{prefix: strings.NewReader(`{"sender":"`)}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, body))
			assert.Equal(t, w.Code, http.StatusBadRequest)
			assert.Assert(t, body.read <= 2*maxMessageBytes, "%d bytes", body.read)
		})
	}
}

// TestEndlessResponse lets a process at a keeper's address respond without end. In virtual
// time the response is cut off by its size, however slow the machine is. Many calls run at the same time, so that
// only gossip may be as long as a routing table.
func TestEndlessResponse(t *testing.T) {
	scenarios := []struct {
		testName string
		call     func(ctx context.Context, c *Client) error
		maxBytes int
	}{
		{testName: "a stage change", maxBytes: 1 << 20, call: func(ctx context.Context, c *Client) error {
			_, err := c.ChangeStage(ctx, "10.0.0.1:1", StageRequest{})
			return err
		}},
		{testName: "a reservation", maxBytes: 1 << 20, call: func(ctx context.Context, c *Client) error {
			_, err := c.Reserve(ctx, "10.0.0.1:1", ReserveRequest{})
			return err
		}},
		{testName: "gossip", maxBytes: 2 * maxMessageBytes, call: func(ctx context.Context, c *Client) error {
			_, err := c.Exchange(ctx, "10.0.0.1:1", &gossip.Message{})
			return err
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { checkEndlessResponse(t, s.maxBytes, s.call) })
	}
}

func checkEndlessResponse(t *testing.T, maxBytes int, call func(ctx context.Context, c *Client) error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		body := &countingReader{prefix: strings.NewReader("HTTP/1.1 200 OK\r\n\r\n" + `{"why":"`)}
		clientSide, serverSide := net.Pipe()
		go func() {
			defer func() { _ = serverSide.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(serverSide)); err != nil {
				return
			}
			_, _ = io.Copy(serverSide, body)
		}()
		transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return clientSide, nil }}
		defer transport.CloseIdleConnections()
		c := NewClient(&http.Client{Transport: transport}, 1)
		err := call(t.Context(), c)
		assert.ErrorContains(t, err, "unexpected EOF")
		synctest.Wait()
		assert.Assert(t, body.read <= maxBytes, "%d bytes", body.read)
	})
}
