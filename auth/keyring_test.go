package auth

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_800_000_000, 0)

func ringOf(t *testing.T, ids ...string) *Keyring {
	t.Helper()
	var keys []Key
	for _, id := range ids {
		keys = append(keys, Key{ID: id, Secret: "secret of " + id})
	}
	ring, err := NewKeyring(keys)
	assert.NilError(t, err)
	return ring
}

func TestVerify(t *testing.T) {
	scenarios := []struct {
		testName string
		signer   []string
		verifier []string
		change   func(r *http.Request)
		body     string
		later    time.Duration
		problem  string
	}{
		{testName: "a signed order", signer: []string{"a"}, verifier: []string{"a"}, body: "x"},
		{testName: "the old key during a rotation", signer: []string{"old"}, verifier: []string{"new", "old"}, body: "x"},
		{testName: "the new key during a rotation", signer: []string{"new", "old"}, verifier: []string{"old", "new"}, body: "x"},
		{testName: "a removed key", signer: []string{"old"}, verifier: []string{"new"}, body: "x", problem: "unknown key"},
		{testName: "another body", signer: []string{"a"}, verifier: []string{"a"}, body: "y", problem: "wrong"},
		{testName: "another path", signer: []string{"a"}, verifier: []string{"a"}, body: "x", change: func(r *http.Request) { r.URL.Path = "/other" }, problem: "wrong"},
		{testName: "an old order played again", signer: []string{"a"}, verifier: []string{"a"}, body: "x", later: time.Minute, problem: "too old"},
		{testName: "no signature", signer: []string{"a"}, verifier: []string{"a"}, body: "x", change: func(r *http.Request) { r.Header.Del(header) }, problem: "not signed"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/peer/call", nil)
			ringOf(t, s.signer...).Sign(request, []byte("x"), now)
			if s.change != nil {
				s.change(request)
			}
			err := ringOf(t, s.verifier...).Verify(request, []byte(s.body), now.Add(s.later))
			if s.problem == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, s.problem)
		})
	}
}

func TestRequireToken(t *testing.T) {
	handler := RequireToken("t", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for credential, status := range map[string]int{"": 401, "Bearer x": 401, "Bearer t": 200} {
		request := httptest.NewRequest(http.MethodGet, "/burn", nil)
		request.Header.Set("Authorization", credential)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, status)
	}
}
