package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/memnet"
)

// TestConnectionsYield checks that a new connection replaces the one that has waited for longest, that
// complete requests are kept, and that a connection is closed unread if there are only such.
func TestConnectionsYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		proceed := make(chan struct{})
		s := NewServer(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-proceed
			}
		})})
		s.MaxConns = 2
		go func(l net.Listener) { _ = s.Serve(l) }(network.Listen("relay", address))
		open := func(sent string) net.Conn {
			c, err := network.Dialer("caller")(t.Context(), "tcp", address)
			assert.NilError(t, err)
			_, _ = io.WriteString(c, sent)
			time.Sleep(time.Millisecond)
			return c
		}
		const held = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n"
		first := open(held)
		partial := open(held[:9])
		answers := make(chan []int, 1)
		go func() {
			statuses, _ := readStatuses(partial)
			answers <- statuses
		}()
		second := open(held)
		assert.DeepEqual(t, <-answers, []int{http.StatusServiceUnavailable})
		_, err := open("").Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF, "a connection beside complete requests is not closed")
		close(proceed)
		for _, c := range []net.Conn{first, second} {
			assert.Equal(t, statusOfNext(t, c), http.StatusOK)
		}
		assert.NilError(t, s.Close())
	})
}

// statusOfNext returns the status of the next response.
func statusOfNext(t *testing.T, c net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	return response.StatusCode
}
