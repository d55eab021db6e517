package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/engine"
	"crocusstep/memnet"
	"crocusstep/wire"
)

const repeatingAddress = "10.0.0.1:1"

// serveRepeating serves an endpoint that gives the responses in order, and before each of them
// writes all that its connection has carried once more.
func serveRepeating(n *memnet.Network, responses []string) net.Listener {
	l := n.Listen("endpoint", repeatingAddress)
	next := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader, carried := bufio.NewReader(c), ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					response, copies := responses[next], carried
					next++
					carried += response
					// The client leaves unexpected bytes unread.
					go func() { _, _ = io.WriteString(c, copies+response) }()
				}
			}()
		}
	}()
	return l
}

// endpointResponse is a response without an id.
func endpointResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d S\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestEndpointWritesResponseOnceMore guards against a call or a request to an engine that gets an
// earlier response of the endpoint, which a faulty one writes once more.
func TestEndpointWritesResponseOnceMore(t *testing.T) {
	scenarios := []struct {
		testName  string
		responses []string
		run       func(t *testing.T, a *Agent, e *engine.Client)
	}{
		{
			testName:  "a plain service",
			responses: []string{endpointResponse(503, "full"), endpointResponse(200, "done"), endpointResponse(200, "next")},
			run: func(t *testing.T, a *Agent, _ *engine.Client) {
				for _, want := range []string{"full", "done", "next"} {
					response, err := a.send(t.Context(), wire.CallRequest{Method: http.MethodPost, Path: "/x", Body: []byte("y")}, 1)
					assert.NilError(t, err)
					assert.Equal(t, string(response.Body), want)
				}
			},
		},
		{
			testName:  "an engine",
			responses: []string{endpointResponse(503, ""), endpointResponse(200, ""), endpointResponse(410, ""), endpointResponse(200, `[]`), endpointResponse(200, "")},
			run: func(t *testing.T, _ *Agent, e *engine.Client) {
				assert.ErrorIs(t, e.Import(t.Context(), engine.ImportRequest{Attempt: "1"}), engine.ErrNoSlot)
				assert.NilError(t, e.Import(t.Context(), engine.ImportRequest{Attempt: "1"}))
				assert.ErrorIs(t, e.Import(t.Context(), engine.ImportRequest{Attempt: "2"}), engine.ErrKVEvicted)
				_, err := e.Requests(t.Context())
				assert.NilError(t, err)
				assert.NilError(t, e.Cancel(t.Context(), "2"))
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.NewNetwork()
				l := serveRepeating(n, s.responses)
				client := n.Client("agent")
				defer func() {
					client.CloseIdleConnections()
					_ = l.Close()
					time.Sleep(time.Second)
				}()
				s.run(t, &Agent{config: Config{EndpointAddress: repeatingAddress, HTTP: client}},
					engine.NewClient(engine.ClientConfig{Address: repeatingAddress, HTTP: client, Timeout: time.Second}))
			})
		})
	}
}
