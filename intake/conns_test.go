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

// TestEvictionAndCompletion checks that of an eviction and the end of a request just one happens, so that no
// request is handled whose connection was closed for another.
func TestEvictionAndCompletion(t *testing.T) {
	for _, evictsFirst := range []bool{false, true} {
		caller, raw := net.Pipe()
		s := NewServer(&http.Server{})
		c := &conn{Conn: raw, server: s, waits: true}
		s.conns[c] = true
		assert.Assert(t, c.handle(false))
		if evictsFirst {
			c.evict()
		}
		err := c.endOfBody()
		if evictsFirst {
			assert.ErrorIs(t, err, ErrOverloaded)
		} else {
			assert.NilError(t, err)
			c.evict()
		}
		assert.Equal(t, s.conns[c], !evictsFirst)
		_, ok := c.yieldsSince()
		assert.Equal(t, ok, evictsFirst)
		_ = caller.Close()
		_ = raw.Close()
	}
}
