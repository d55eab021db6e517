package start

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKeeperStopAnswersCalls stops a keeper while a request waits for memory: the call that
// it has accepted must get its response, also if it would wait for longer than the keeper lasts.
func TestKeeperStopAnswersCalls(t *testing.T) {
	for _, wait := range []time.Duration{2 * time.Second, time.Minute} {
		t.Run(wait.String(), func(t *testing.T) { stopKeeper(t, wait) })
	}
}

// stopKeeper stops a keeper while a reservation waits, and checks its response.
func stopKeeper(t *testing.T, wait time.Duration) {
	t.Helper()
	polled := make(chan struct{}, 100)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"born":7,"stage":"decode","kvTotal":6000,"running":1,"runs":[["other",5000,1]]}`)
		select {
		case polled <- struct{}{}:
		default:
		}
	}))
	defer engine.Close()
	host, port, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	_, metricsPort, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	settings := filepath.Join(t.TempDir(), "keeper.yaml")
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `place: {instance: k, region: r, availability-zone: z}
address: %s
endpoint: %s
peers: {keeper-port: %s}
metrics-port: %s
memory: 100MiB
`, host, strings.TrimPrefix(engine.URL, "http://"), port, metricsPort), 0o600))
	command := exec.Command(os.Args[0], "keeper", "--settings", settings)
	command.Env = append(os.Environ(), runVariable+"=1")
	assert.NilError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	reserve := func() (*http.Response, error) {
		request := fmt.Sprintf(`{"attempt":"a","prompt":2000,"answer":{"median":100,"spread":0.1,"limit":200},"slots":4,"wait-ns":%d,"urgency":1}`, wait)
		return http.Post("http://"+net.JoinHostPort(host, port)+"/place/ask", "application/json", strings.NewReader(request))
	}
	type result struct {
		response *http.Response
		err      error
	}
	results := make(chan result, 1)
	go func() {
		for {
			response, err := reserve()
			// The keeper may not listen yet.
			if err == nil || !strings.Contains(err.Error(), "connection refused") {
				results <- result{response, err}
				return
			}
		}
	}()
	// The second poll shows that the request waits.
	<-polled
	<-polled
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	r := <-results
	assert.NilError(t, r.err, "the call was cut off")
	defer func() { _ = r.response.Body.Close() }()
	assert.Equal(t, r.response.StatusCode, http.StatusOK)
	body, err := io.ReadAll(r.response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(body), `"granted":`), "%s", body)
	assert.Equal(t, exitCode(command.Wait()), exitOK)
}
