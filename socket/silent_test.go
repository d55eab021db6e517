package socket

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentPeer guards against timeouts that take a sound peer which falls silent, or reads
// nothing for a while, for a broken connection.
func TestSilentPeer(t *testing.T) {
	const silence = 3 * time.Second
	// It is more than the kernel buffers of both ends hold.
	const size = 16 << 20
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		assert.Check(t, err)
		accepted <- conn
	}()
	near, err := Dial(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = near.Close() }()
	far := <-accepted
	defer func() { _ = far.Close() }()

	written := make(chan error, 1)
	go func() {
		_, err := far.Write(make([]byte, size))
		written <- err
	}()
	time.Sleep(silence)
	_, err = io.CopyN(io.Discard, near, size)
	assert.NilError(t, err)
	assert.NilError(t, <-written)
	go func() {
		time.Sleep(silence)
		_, _ = far.Write([]byte("x"))
	}()
	_, err = near.Read(make([]byte, 1))
	assert.NilError(t, err)
}
