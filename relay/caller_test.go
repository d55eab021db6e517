package relay

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/table"
)

// withKeys returns the next version of a relay's document, in which callers need the keys of
// workspaces.
func withKeys(r *Relay, keys map[ident.WorkspaceName]string) *table.Document {
	d := *r.Table().Document
	d.Version++
	d.KeysRequired = true
	d.Workspaces = nil
	for name, key := range keys {
		d.Workspaces = append(d.Workspaces, table.Workspace{Name: name, Keys: []table.KeyDigest{table.NewKeyDigest(key)}})
	}
	return &d
}

// sendWithKey serves one request of a caller with a key and waits for background work.
func sendWithKey(t *testing.T, r *Relay, path, key string) (*httptest.ResponseRecorder, *fault.Refusal, *Request) {
	request := &Request{
		Attempt: "a1", Method: http.MethodPost, Target: path, Path: path, Host: "h",
		Header: http.Header{}, Arrived: time.Now(), Timeout: 14 * time.Second, Key: table.NewKeyDigest(key),
	}
	if strings.HasPrefix(path, "/re") {
		request.Prompt = &Prompt{Tokens: 5200, MaxOutput: 8000, EstimatedOutput: 4300}
	}
	w := httptest.NewRecorder()
	refusal := r.Serve(t.Context(), request, w)
	r.Wait()
	return w, refusal, request
}

// TestRevokedWhileWaiting takes a caller's key away while its request waits. It must not be sent
// to an endpoint any more, and must give back what it holds.
func TestRevokedWhileWaiting(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		// what the request waits for when the key is taken away.
		what string
		// limited is set if all endpoints state a limit.
		limited bool
		// sent is what endpoints receive: a prefill at most.
		sent []string
		// script is what endpoints do.
		script map[ident.EndpointName][]behaviour
	}{
		{testName: "a permit of a plain endpoint", path: "/action/x", what: "permit", limited: true},
		{testName: "a permit for a plain stream", path: "/plain-stream/x", what: "permit", limited: true},
		{testName: "memory", path: "/read/x", what: "memory"},
		{testName: "a prefill slot", path: "/read/x", what: "slot"},
		{testName: "the prefill", path: "/read/x", what: "prefill", sent: []string{"prefill"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{script: map[ident.EndpointName][]behaviour{}}
				r := newTestRelay(t, backend)
				r.SetTable(withKeys(r, map[ident.WorkspaceName]string{"w": "k", "v": "l"}))
				if s.limited {
					r.config.RelayCount = func() int { return 1000 }
					members, _ := r.config.Pool.Snapshot()
					for _, e := range members {
						r.config.Pool.SetLimit(e, 10, time.Now(), time.Now())
					}
				}
				revoke := func() { r.SetTable(withKeys(r, map[ident.WorkspaceName]string{"v": "l"})) }
				backend.onAsk = func(what string) {
					if what == s.what {
						revoke()
					}
				}
				if s.what == "prefill" {
					backend.onPrefill = revoke
				}
				_, refusal, _ := sendWithKey(t, r, s.path, "k")
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, fault.UnknownCaller)
				assert.Equal(t, refusal.Status(), http.StatusUnauthorized)
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Equal(t, refusal.RetryAfter, time.Duration(0))
				assert.Equal(t, len(backend.sent), len(s.sent), "%v", backend.sent)
				assert.Equal(t, backend.executions, 0)
				assert.Equal(t, backend.released, backend.granted, "reservations are released")
				assert.Equal(t, len(backend.freed), len(s.sent), "the prompt is freed")
			})
		})
	}
}

// TestRevokedWhileRunning takes a caller's key away while an endpoint works on its request.
func TestRevokedWhileRunning(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		// first is what the endpoints do with the first request to one of them.
		first   behaviour
		refused bool
		outcome fault.Outcome
	}{
		{testName: "a plain call is completed", path: "/lookup/x", first: responds},
		{testName: "a call whose response was lost is not sent again", path: "/lookup/x", first: losesResponse, refused: true, outcome: fault.Unknown},
		{testName: "a call that was rejected is not sent again", path: "/action/x", first: rejects, refused: true, outcome: fault.NotExecuted},
		{testName: "a stream that has begun is completed", path: "/resume/x", first: responds},
		{testName: "a stream that has begun goes on elsewhere", path: "/resume/x", first: interruptsStream},
		{testName: "a stream without an event is not sent again", path: "/resume/x", first: losesResponse, refused: true, outcome: fault.Unknown},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{script: map[ident.EndpointName][]behaviour{}}
				r := newTestRelay(t, backend)
				r.SetTable(withKeys(r, map[ident.WorkspaceName]string{"w": "k"}))
				for _, name := range []ident.EndpointName{"p1", "p2", "p3"} {
					backend.script[name] = []behaviour{s.first}
				}
				backend.nextDecode = s.first
				backend.onSend = func(operation string) {
					if operation != "prefill" {
						r.SetTable(withKeys(r, nil))
					}
				}
				w, refusal, _ := sendWithKey(t, r, s.path, "k")
				if s.refused {
					assert.Assert(t, refusal != nil)
					assert.Equal(t, refusal.Code, fault.UnknownCaller)
					assert.Equal(t, refusal.Outcome, s.outcome)
					sends := slices.DeleteFunc(slices.Clone(backend.sent), func(sent string) bool { return strings.HasPrefix(sent, "prefill") })
					assert.Equal(t, len(sends), 1, "%v", backend.sent)
					return
				}
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, w.Code, http.StatusOK)
				if strings.HasPrefix(s.path, "/resume") {
					assert.Equal(t, strings.Count(w.Body.String(), "id: "), 4)
				}
			})
		})
	}
}

// TestKeyMovesWhileWaiting moves a caller's key to another workspace, and turns keys on and off,
// while its request waits: it is sent as the newest document has it.
func TestKeyMovesWhileWaiting(t *testing.T) {
	scenarios := []struct {
		testName  string
		before    map[ident.WorkspaceName]string
		after     map[ident.WorkspaceName]string
		off       bool
		workspace ident.WorkspaceName
		forwards  bool
	}{
		{testName: "to another workspace", before: map[ident.WorkspaceName]string{"w": "k"}, after: map[ident.WorkspaceName]string{"v": "k"}, workspace: "v"},
		{testName: "keys are required from now on", after: map[ident.WorkspaceName]string{"v": "k"}, workspace: "v"},
		{testName: "keys are required no more", before: map[ident.WorkspaceName]string{"w": "k"}, off: true, forwards: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{script: map[ident.EndpointName][]behaviour{}}
				r := newTestRelay(t, backend)
				if s.before != nil {
					r.SetTable(withKeys(r, s.before))
				}
				backend.onAsk = func(string) {
					d := withKeys(r, s.after)
					d.KeysRequired = !s.off
					r.SetTable(d)
				}
				_, refusal, request := sendWithKey(t, r, "/read/x", "k")
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, request.Workspace, s.workspace)
				assert.Equal(t, request.ForwardsIdentity, s.forwards)
			})
		})
	}
}
