package wire

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/ident"
	"crocusstep/socket"
)

// TestClosedConnectionIsNotResent guards against requests that the transport sends once more,
// unseen by the entry, when an agent that stops closes a kept connection after it has read one.
func TestClosedConnectionIsNotResent(t *testing.T) {
	var received atomic.Int64
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if received.Add(1) == 1 {
			_, _ = io.WriteString(w, "{}")
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer agent.Close()
	ring, err := auth.NewKeyring([]auth.Key{{ID: "k", Secret: "a secret of more than thirty-two characters"}})
	assert.NilError(t, err)
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	peers := NewClient(client, ring, func(string, ident.ByteCount) {})
	address := ident.Address(strings.TrimPrefix(agent.URL, "http://"))
	call := CallRequest{Method: http.MethodDelete, Path: "/x", Header: http.Header{"Idempotency-Key": {"k"}}, Key: "k"}
	_, err = Call[CallResponse](t.Context(), peers, address, CallPath, call)
	assert.NilError(t, err)
	_, err = Call[CallResponse](t.Context(), peers, address, CallPath, call)
	assert.ErrorIs(t, err, ErrResponseLost)
	assert.Equal(t, received.Load(), int64(2))
}
