package auth

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_800_000_000, 0)

func newTestKeyring(t *testing.T, ids ...string) *Keyring {
	t.Helper()
	var keys []Key
	for _, id := range ids {
		keys = append(keys, Key{ID: id, Secret: "secret of " + id})
	}
	keyring, err := NewKeyring(keys)
	assert.NilError(t, err)
	return keyring
}

func TestVerify(t *testing.T) {
	scenarios := []struct {
		testName string
		signer   []string
		verifier []string
		modify   func(r *http.Request)
		body     string
		delay    time.Duration
		wantErr  string
	}{
		{testName: "a signed request", signer: []string{"a"}, verifier: []string{"a"}, body: "x"},
		{testName: "the old key during a rotation", signer: []string{"old"}, verifier: []string{"new", "old"}, body: "x"},
		{testName: "the new key during a rotation", signer: []string{"new", "old"}, verifier: []string{"old", "new"}, body: "x"},
		{testName: "a removed key", signer: []string{"old"}, verifier: []string{"new"}, body: "x", wantErr: "unknown key"},
		{testName: "a different body", signer: []string{"a"}, verifier: []string{"a"}, body: "y", wantErr: "does not match"},
		{testName: "a different path", signer: []string{"a"}, verifier: []string{"a"}, body: "x", modify: func(r *http.Request) { r.URL.Path = "/other" }, wantErr: "does not match"},
		{testName: "a replayed old request", signer: []string{"a"}, verifier: []string{"a"}, body: "x", delay: time.Minute, wantErr: "too old"},
		{testName: "no signature", signer: []string{"a"}, verifier: []string{"a"}, body: "x", modify: func(r *http.Request) { r.Header.Del(signatureHeader) }, wantErr: "not signed"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/peer/call", nil)
			newTestKeyring(t, s.signer...).Sign(request, []byte("x"), now)
			if s.modify != nil {
				s.modify(request)
			}
			err := newTestKeyring(t, s.verifier...).Verify(request, []byte(s.body), now.Add(s.delay))
			if s.wantErr == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, s.wantErr)
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
