package start

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runVariable, if set, makes the test binary run the program instead of tests.
const runVariable = "CROCUSSTEP_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		os.Exit(Run(Build{Version: "test"}, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// firstPort and endPort bound the ports of the processes. The kernel gives ports from 32768 on to
// connections of any process, so one that was free a moment ago may be taken.
const firstPort, endPort = 20000, 23000

// lastPort counts the ports that freeAddress has tried.
var lastPort atomic.Int64

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range endPort - firstPort {
		port := firstPort + lastPort.Add(1)%(endPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

// startEntry runs an entry in a separate process, with an unreachable platform,
// and returns it with its address for callers once it is healthy.
func startEntry(t *testing.T, shutdownDelay string) (command *exec.Cmd, address string) {
	t.Helper()
	address = freeAddress(t)
	folder := t.TempDir()
	keys := filepath.Join(folder, "keys.yaml")
	assert.NilError(t, os.WriteFile(keys, []byte("keys: [{id: a, secret: b}]\n"), 0o600))
	admin := freeAddress(t)
	settings := filepath.Join(folder, "entry.yaml")
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `place: {instance: e, region: r, availability-zone: z}
listen: %s
admin: {listen: %s, token: t}
platform: {address: %s}
peer-keys-file: %s
shutdown: {leave-delay: %s}
`, address, admin, freeAddress(t), keys, shutdownDelay), 0o600))
	command = exec.Command(os.Args[0], "entry", "--settings", settings)
	command.Env = append(os.Environ(), runVariable+"=1")
	assert.NilError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	for !isHealthy(admin) {
		time.Sleep(10 * time.Millisecond)
	}
	return command, address
}

func isHealthy(admin string) bool {
	response, err := http.Get("http://" + admin + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return exitOK
}

// TestHangupKeepsServing guards against an entry that SIGHUP ends together with the requests in
// flight: it means that files have changed.
func TestHangupKeepsServing(t *testing.T) {
	command, _ := startEntry(t, "10ms")
	done := make(chan error, 1)
	go func() { done <- command.Wait() }()
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	select {
	case err := <-done:
		t.Fatalf("the entry has ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, exitCode(<-done), exitOK)
}

func TestSignals(t *testing.T) {
	scenarios := []struct {
		testName      string
		shutdownDelay string
		signals       int
		code          int
	}{
		{"one signal begins a graceful shutdown", "10ms", 1, exitOK},
		{"a second signal exits immediately", "1h", 2, exitForced},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			command, _ := startEntry(t, s.shutdownDelay)
			done := make(chan error)
			go func() { done <- command.Wait() }()
			for range s.signals {
				assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
				// The kernel may merge two pending signals of the same kind.
				time.Sleep(200 * time.Millisecond)
			}
			assert.Equal(t, exitCode(<-done), s.code)
		})
	}
}
