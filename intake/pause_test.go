package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopVariable makes the test binary serve until SIGTERM, and shut down gracefully then.
const stopVariable = "INTAKE_TEST_STOP"

const (
	// stopDelay is the time between SIGTERM and the shutdown.
	stopDelay = 100 * time.Millisecond
	// paused is how long the process has no processor time.
	paused        = 2 * (stopDelay + lastReadTime)
	pausedCallers = 20
)

// serveUntilStop returns the exit code.
func serveUntilStop(listener net.Listener) int {
	server := NewServer(&http.Server{Handler: http.HandlerFunc(respond), ReadHeaderTimeout: time.Minute})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() { _ = server.Serve(listener) }()
	<-signals
	time.Sleep(stopDelay)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		return 1
	}
	return 0
}

// startChild starts a process that serves until SIGTERM, and returns it with its address.
func startChild(t *testing.T) (command *exec.Cmd, address string) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address = free.Addr().String()
	assert.NilError(t, free.Close())
	command = exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serveVariable+"="+address, stopVariable+"=1")
	assert.NilError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return command, address
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestPausedProcessAnswersWhatHasArrived guards against requests that a process leaves unread as it
// had no processor time until its shutdown closed their connections: on kept connections while
// these are read once more, on new ones before they are accepted.
func TestPausedProcessAnswersWhatHasArrived(t *testing.T) {
	scenarios := []struct {
		testName string
		isKept   bool
		// pausedAt is the time from SIGTERM to the pause.
		pausedAt time.Duration
	}{
		{"kept connections, before the shutdown", true, stopDelay / 2},
		{"kept connections, while they are read once more", true, stopDelay + lastReadTime/2},
		{"new connections, before the shutdown", false, stopDelay / 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			command, address := startChild(t)
			var conns []net.Conn
			if s.isKept {
				for range pausedCallers {
					conn := dial(t, address)
					assert.Equal(t, statusOf(t, conn), http.StatusOK)
					conns = append(conns, conn)
				}
			}
			assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
			time.Sleep(s.pausedAt)
			assert.NilError(t, command.Process.Signal(syscall.SIGSTOP))
			for len(conns) < pausedCallers {
				conns = append(conns, dial(t, address))
			}
			for _, conn := range conns {
				_, err := io.WriteString(conn, request)
				assert.NilError(t, err)
			}
			time.Sleep(paused)
			assert.NilError(t, command.Process.Signal(syscall.SIGCONT))
			answered := 0
			for _, conn := range conns {
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && response.StatusCode == http.StatusOK {
					answered++
				}
				_ = conn.Close()
			}
			assert.Equal(t, answered, pausedCallers)
			assert.NilError(t, command.Wait())
		})
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	return conn
}

// statusOf sends a request and returns the status of its response.
func statusOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	_, err := io.WriteString(conn, request)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}
