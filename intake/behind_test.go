package intake

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"crocusstep/memnet"
)

// TestBytesBehindRequests checks that only some connections may send bytes before they have their
// response: the kernel holds these.
func TestBytesBehindRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		proceed := make(chan struct{})
		s := NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-proceed })})
		s.MaxConns = 2 * pipelinedParts
		go func(l net.Listener) { _ = s.Serve(l) }(network.Listen("relay", address))
		var conns []net.Conn
		for range 3 {
			c, err := network.Dialer("caller")(t.Context(), "tcp", address)
			assert.NilError(t, err)
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			synctest.Wait()
			go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
			synctest.Wait()
			conns = append(conns, c)
		}
		close(proceed)
		for _, c := range conns[:2] {
			assert.Equal(t, statusOfNext(t, c), http.StatusOK)
		}
		_, err := conns[2].Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.NilError(t, s.Close())
	})
}
