package intake

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/memnet"
)

// slowListener returns each connection some time after it was accepted.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return c, err
}

// TestShutdownWaitsForLateConnections guards against a shutdown that ends all connections as the last
// one that it knows has ended, while another one is being accepted.
func TestShutdownWaitsForLateConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		server := NewServer(&http.Server{Handler: http.HandlerFunc(respond), ReadHeaderTimeout: time.Minute})
		listener := &slowListener{Listener: network.Listen("relay", address), delay: 50 * time.Millisecond}
		go func() { _ = server.Serve(listener) }()
		open := func() net.Conn {
			c, err := network.Dialer("caller")(t.Context(), "tcp", address)
			assert.NilError(t, err)
			return c
		}
		first := open()
		_, _, err := exchange(first)
		assert.NilError(t, err)
		late := open()
		status := make(chan int)
		go func() {
			got, _, _ := exchange(late)
			status <- got
		}()
		time.AfterFunc(20*time.Millisecond, func() { _ = first.Close() })
		time.Sleep(10 * time.Millisecond)
		assert.NilError(t, server.Shutdown(t.Context()))
		assert.Equal(t, <-status, http.StatusOK)
	})
}
