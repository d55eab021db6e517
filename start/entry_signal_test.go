package start

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/socket"
)

// TestEntryStopRefusesCrossingRequests guards against requests that cross the close of a kept
// connection in a stop of an entry and end without a response.
func TestEntryStopRefusesCrossingRequests(t *testing.T) {
	const request = "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n"
	command, address := startEntry(t, "300ms")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, reader), http.StatusNotFound)
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	for !socket.IsReadable(conn) {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, reader), http.StatusRequestTimeout)
	_ = conn.Close()
	assert.Equal(t, exitCode(command.Wait()), exitOK)
}
