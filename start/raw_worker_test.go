package start

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/platform"
	"crocusstep/platform/double"
	"crocusstep/socket"
	"crocusstep/spec"
	"crocusstep/store"
)

const (
	soundBody = `{"whole":"body"}`
	// readyTimeout bounds the start of the processes.
	readyTimeout = 20 * time.Second
	callTimeout  = 5 * time.Second
	// logDelay is longer than log lines are held, maxLog the size of a log that is shown.
	logDelay = 300 * time.Millisecond
	maxLog   = 20_000
)

// rawWorker is a plain service that sends the responses that it is given.
type rawWorker struct {
	*fake.RawServer
	// respond writes the next response; fields are those of a success.
	respond atomic.Pointer[func(conn *net.TCPConn, r *http.Request, fields string)]
	// relayMetrics is where the relay before the worker serves its metrics.
	relayMetrics string
}

func newRawWorker(t *testing.T) *rawWorker {
	t.Helper()
	w := &rawWorker{}
	server, err := fake.NewRawServer(func(conn *net.TCPConn, r *http.Request) {
		// The server closes the connection after each response.
		fields := "Connection: close\r\n"
		if attempt := double.RequestAttempt(r); attempt != "" {
			fields += double.ResponseFields(attempt)
		}
		if respond := w.respond.Load(); respond != nil {
			(*respond)(conn, r, fields)
		}
	})
	assert.NilError(t, err)
	w.RawServer = server
	t.Cleanup(server.Close)
	return w
}

// send makes the worker read each request and send a response.
func (w *rawWorker) send(text func(fields string) string) {
	respond := func(conn *net.TCPConn, r *http.Request, fields string) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text("Content-Type: application/json\r\n"+fields))
	}
	w.respond.Store(&respond)
}

// answer is what a caller gets.
type answer struct {
	status int
	body   string
	header http.Header
	// err is set if no complete response came.
	err error
}

// route is a way for callers to the worker.
type route struct {
	testName string
	call     func(t *testing.T, body string) answer
	// streams is set if a response may begin before it is complete.
	streams bool
	// repeat sends the last request again; it is nil unless the request then has no further run.
	repeat func(t *testing.T, body string) answer
}

// startRole runs the program in a role until the test ends.
func startRole(t *testing.T, role, settings string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), role+".yaml")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	command := exec.Command(os.Args[0], role, "--settings", file)
	command.Env = append(os.Environ(), runVariable+"=1", "GORACE=atexit_sleep_ms=0")
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		if t.Failed() {
			// A relay holds its log lines for a moment.
			time.Sleep(logDelay)
		}
		_ = command.Process.Kill()
		_ = command.Wait()
		if t.Failed() {
			t.Logf("%s:\n%s", role, output.String()[max(0, output.Len()-maxLog):])
		}
	})
}

// serveStub serves a handler and returns its address.
func serveStub(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// relayRoutes starts a relay before a worker.
func relayRoutes(t *testing.T, w *rawWorker) []route {
	t.Helper()
	platformStore := double.NewStore()
	const plainStreamPath = "/plain-stream/"
	configuration := double.Configuration(1)
	double.AddStreamRoute(configuration, plainStreamPath, double.PlainService)
	double.SetMaxBody(configuration, 2*uploadBytes)
	assert.NilError(t, platformStore.Put("config", "main", configuration))
	endpoint := &double.Endpoint{Name: "i-1", Service: double.PlainService, StartMillis: 1, Version: "v1", Recorder: double.NewRecorder()}
	assert.NilError(t, platformStore.Register(endpoint, w.Address(), "zone-a", false))
	callers, readiness := freeAddress(t), freeAddress(t)
	w.relayMetrics = freeAddress(t)
	_, metricsPort, err := net.SplitHostPort(w.relayMetrics)
	assert.NilError(t, err)
	startRole(t, "relay", fmt.Sprintf(`place: {instance: relay-1, region: region-a, availability-zone: zone-a}
address: 127.0.0.1
listen: %s
readiness: %s
metrics-port: %s
platform: {address: %s}
peers: {keeper-port: 1}
availability-zones: [{name: zone-a, region: region-a}]
memory: 100MiB
`, callers, readiness, metricsPort, serveStub(t, platformStore)))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	awaitTrue(t, func() bool { return double.Ready(t.Context(), client, readiness) })
	attempts := 0
	call := func(path string) func(*testing.T, string) answer {
		return func(t *testing.T, body string) answer {
			attempts++
			attempt := fmt.Sprintf("attempt-%d", attempts)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callers+path, strings.NewReader(attempt+body))
			assert.NilError(t, err)
			request.Host, request.Header = double.Host, double.CallHeader(attempt, double.SteadyKey, callTimeout)
			return readAnswer(client.Do(request))
		}
	}
	return []route{
		{testName: "action at a relay", call: call(double.ActionPath + "x")},
		{testName: "lookup at a relay", call: call(double.LookupPath + "x")},
		{testName: "stream at a relay", call: call(plainStreamPath + "x"), streams: true},
	}
}

// deskDocument is the document of a plain service.
const deskDocument = `service: desk
workspace: w
kind: plain
pools: {serve: serve}
targets: {whole-answer: 2s, patience: 10s, objective-percent: 99}
calls:
  - {match: "POST /actions/{id}", class: action}
  - {match: "POST /lookups/{id}", class: lookup}
limits: {body-size: 4MiB, lookups: 16, actions: 16}
retries: {attempts: 3, budget-percent: 50}
regions: {home: region-a, may-cross: false}
fencing: {keep-records: 24h, shards: 16}
`

// entryRoutes starts an entry, and an agent before a worker.
func entryRoutes(t *testing.T, w *rawWorker) []route {
	t.Helper()
	fakePlatform := fake.NewPlatform(fake.PlatformConfig{})
	address := serveStub(t, fakePlatform.Handler())
	key := auth.Key{ID: "k", Secret: "a secret of more than thirty-two characters"}
	keys := filepath.Join(t.TempDir(), "keys.yaml")
	assert.NilError(t, os.WriteFile(keys, fmt.Appendf(nil, "keys: [{id: %s, secret: %s}]\n", key.ID, key.Secret), 0o600))
	admin := docset.NewAdmin(platform.NewStore(platform.StoreConfig{Address: ident.Address(address), HTTP: socket.NewClient(), Timeout: time.Second}))
	document, err := spec.Parse("desk", []byte(deskDocument))
	assert.NilError(t, err)
	_, err = admin.Put(context.Background(), document, []byte(deskDocument), docset.AnyRevision)
	assert.NilError(t, err)
	agentListen, entryListen, entryAdmin := freeAddress(t), freeAddress(t), freeAddress(t)
	startRole(t, "agent", fmt.Sprintf(`place: {instance: agent-1, region: region-a, availability-zone: zone-a}
endpoint: e
endpoint-kind: plain
pool: serve
endpoint-address: %s
listen: %s
admin: {listen: %s, token: t}
platform: {address: %s}
peer-keys-file: %s
`, w.Address(), agentListen, freeAddress(t), address, keys))
	fakePlatform.SetInstance(store.Instance{Name: "agent-1", Role: store.AgentRole, Address: ident.Address(agentListen), Endpoint: "e", Pool: "serve", Region: "region-a", State: store.Live})
	startRole(t, "entry", fmt.Sprintf(`place: {instance: entry-1, region: region-a, availability-zone: zone-a}
listen: %s
admin: {listen: %s, token: t}
platform: {address: %s}
peer-keys-file: %s
`, entryListen, entryAdmin, address, keys))
	fakePlatform.SetInstance(store.Instance{Name: "entry-1", Role: store.EntryRole, Address: ident.Address(entryListen), Region: "region-a", State: store.Live})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	calls := 0
	call := func(kind string, step int) func(*testing.T, string) answer {
		return func(t *testing.T, body string) answer {
			calls += step
			path := fmt.Sprintf("/services/desk/%s/%d", kind, calls)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entryListen+path, strings.NewReader(body))
			assert.NilError(t, err)
			request.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d", calls))
			return readAnswer(client.Do(request))
		}
	}
	routes := []route{{testName: "action at an entry", call: call("actions", 1), repeat: call("actions", 0)}, {testName: "lookup at an entry", call: call("lookups", 1)}}
	w.send(func(fields string) string { return soundText(fields) })
	awaitTrue(t, func() bool { return routes[0].call(t, "x").status == http.StatusOK })
	return routes
}

func awaitTrue(t *testing.T, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); !reached(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the processes are not ready")
		}
	}
}

func readAnswer(response *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}

func soundText(fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(soundBody), soundBody)
}

// checkRefused fails unless a caller got a refusal that does not claim that the request has not run,
// after the worker got it once.
func (r route) checkRefused(t *testing.T, w *rawWorker, name, body string) {
	t.Helper()
	before := w.Requests()
	got := r.call(t, body)
	refused := got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout || r.repeat != nil && got.status == http.StatusConflict
	refused = refused && got.err == nil && strings.Contains(got.body, `"outcome":"unknown"`)
	if !refused && (got.err == nil || !r.streams) {
		t.Errorf("%s: %s: the caller got %d %.100q %v, %v", r.testName, name, got.status, got.body, got.header, got.err)
	}
	if r.repeat != nil {
		if again := r.repeat(t, body); again.status < http.StatusBadRequest {
			t.Errorf("%s: %s: the caller that came back got %d %.100q", r.testName, name, again.status, again.body)
		}
	}
	if sent := w.Requests() - before; sent != 1 {
		t.Errorf("%s: %s: sent %d times", r.testName, name, sent)
	}
}
