package start

import (
	"context"
	"fmt"
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

	"crocusstep/auth"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
	"crocusstep/wire"
)

// startAgent runs an agent of a plain service in a separate process, with an unreachable platform,
// and returns it with its address for entries once it listens.
func startAgent(t *testing.T, endpoint, shutdown string, key auth.Key) (command *exec.Cmd, address string) {
	t.Helper()
	folder := t.TempDir()
	keys := filepath.Join(folder, "keys.yaml")
	assert.NilError(t, os.WriteFile(keys, fmt.Appendf(nil, "keys: [{id: %s, secret: %s}]\n", key.ID, key.Secret), 0o600))
	address = freeAddress(t)
	settings := filepath.Join(folder, "agent.yaml")
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `place: {instance: a, region: r, availability-zone: z}
endpoint: e
pool: p
endpoint-kind: plain
endpoint-address: %s
listen: %s
admin: {listen: %s, token: t}
platform: {address: %s}
peer-keys-file: %s
shutdown: %s
`, endpoint, address, freeAddress(t), freeAddress(t), keys, shutdown), 0o600))
	command = exec.Command(os.Args[0], "agent", "--settings", settings)
	// Under the race detector a process sleeps for a second as it exits.
	command.Env = append(os.Environ(), runVariable+"=1", "GORACE=atexit_sleep_ms=0")
	assert.NilError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	for !isListening(address) {
		time.Sleep(10 * time.Millisecond)
	}
	return command, address
}

// TestAgentStopEndsInTime guards against an agent that takes its shutdown timeout twice, so that
// the platform kills it, and against a call that is cut without a response.
func TestAgentStopEndsInTime(t *testing.T) {
	const timeout = 2 * time.Second
	reached, done := make(chan struct{}), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		select {
		case <-done:
		case <-r.Context().Done():
		}
	}))
	defer endpoint.Close()
	defer close(done)
	key := auth.Key{ID: "k", Secret: "a secret of more than thirty-two characters"}
	command, address := startAgent(t, strings.TrimPrefix(endpoint.URL, "http://"), "{timeout: "+timeout.String()+"}", key)
	ring, err := auth.NewKeyring([]auth.Key{key})
	assert.NilError(t, err)
	peers := wire.NewClient(http.DefaultClient, ring, func(string, ident.ByteCount) {})
	type result struct {
		response wire.CallResponse
		err      error
	}
	results := make(chan result, 1)
	go func() {
		response, err := wire.Call[wire.CallResponse](context.Background(), peers, ident.Address(address), wire.CallPath, wire.CallRequest{
			Info:  wire.AttemptInfo{Attempt: "a", Deadline: time.Now().Add(time.Minute)},
			Class: spec.Lookup, Method: http.MethodGet, Path: "/x", Limit: 1, MaxWait: time.Second, Timeout: time.Minute,
		})
		results <- result{response, err}
	}()
	<-reached
	stoppedAt := time.Now()
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	r := <-results
	assert.NilError(t, r.err, "the call has no response")
	assert.Assert(t, r.response.Fault != nil)
	assert.Equal(t, r.response.Fault.Outcome, fault.Unknown)
	assert.Equal(t, exitCode(command.Wait()), exitOK)
	took := time.Since(stoppedAt)
	assert.Assert(t, took < timeout+time.Second, "the agent took %s to stop", took)
}
