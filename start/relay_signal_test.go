package start

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/socket"
)

// startRelay runs a relay in a separate process, with an unreachable platform, and returns it
// with its address for callers once it listens.
func startRelay(t *testing.T, shutdown string) (command *exec.Cmd, address string) {
	t.Helper()
	address = freeAddress(t)
	_, metricsPort, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	settings := filepath.Join(t.TempDir(), "relay.yaml")
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `place: {instance: f, region: r, availability-zone: z}
address: 127.0.0.1
listen: %s
readiness: %s
metrics-port: %s
platform: {address: %s}
peers: {keeper-port: 1}
stop: %s
memory: 100MiB
`, address, freeAddress(t), metricsPort, freeAddress(t), shutdown), 0o600))
	command = exec.Command(os.Args[0], "relay", "--settings", settings)
	// The race detector makes a process wait for 1 s at its end otherwise.
	command.Env = append(os.Environ(), runVariable+"=1", "GORACE=atexit_sleep_ms=0")
	command.Stdout = &bytes.Buffer{}
	assert.NilError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	for !isListening(address) {
		time.Sleep(10 * time.Millisecond)
	}
	return command, address
}

func isListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// TestRelayStopAnswersCallers stops a relay while it reads a request, on a new connection and on
// a kept one: the request, which lacks an id, must get its response.
func TestRelayStopAnswersCallers(t *testing.T) {
	const start, rest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n", "\r\nbody"
	for _, isKept := range []bool{false, true} {
		command, address := startRelay(t, "{leave-delay: 300ms, grace: 8s}")
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		if isKept {
			_, err = io.WriteString(conn, start+rest)
			assert.NilError(t, err)
			assert.Equal(t, readStatus(t, reader), http.StatusBadRequest)
		}
		_, err = io.WriteString(conn, start)
		assert.NilError(t, err)
		// The relay reads the start of the request during the delay.
		assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
		for isListening(address) {
			time.Sleep(time.Millisecond)
		}
		_, err = io.WriteString(conn, rest)
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, reader), http.StatusBadRequest)
		_, err = reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		_ = conn.Close()
		assert.Equal(t, exitCode(command.Wait()), exitOK)
	}
}

// TestRelayStopRefusesCrossingRequests guards against requests that cross the close of a kept
// connection in a stop and end without a response, or are not counted.
func TestRelayStopRefusesCrossingRequests(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	command, address := startRelay(t, "{leave-delay: 300ms, grace: 8s}")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, reader), http.StatusBadRequest)
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	for !socket.IsReadable(conn) {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, reader), http.StatusRequestTimeout)
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	_ = conn.Close()
	assert.Equal(t, exitCode(command.Wait()), exitOK)
	log := command.Stdout.(*bytes.Buffer).String()
	assert.Assert(t, strings.Contains(log, `"a request crossed the close"`) && strings.Contains(log, `"crossed":1`), "%s", log)
}

// TestRelayStopKeepsGrace guards against a relay that still takes connections when it is killed, as
// its settings state a longer delay than the grace period.
func TestRelayStopKeepsGrace(t *testing.T) {
	const grace = 2 * time.Second
	command, _ := startRelay(t, "{leave-delay: 1h, grace: 2s}")
	killed := time.AfterFunc(grace+time.Second, func() { _ = command.Process.Kill() })
	defer killed.Stop()
	stopped := time.Now()
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, exitCode(command.Wait()), exitOK)
	assert.Assert(t, time.Since(stopped) < grace, "%s", time.Since(stopped))
}

// readStatus reads a response completely and returns its status.
func readStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err, "the request has no response")
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}
