package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/socket"
	"crocusstep/wire"
)

// TestActionIsNotResent guards against an action without a body that the transport sends once
// more, as it bears an idempotency key, when its endpoint closes the connection after reading it.
func TestActionIsNotResent(t *testing.T) {
	var received atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == 1 {
			_, _ = io.WriteString(w, "done")
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer endpoint.Close()
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	a := &Agent{config: Config{EndpointAddress: ident.Address(strings.TrimPrefix(endpoint.URL, "http://")), HTTP: client}}
	call := wire.CallRequest{Method: http.MethodDelete, Path: "/x", Key: "k"}
	_, err := a.send(t.Context(), call, 1)
	assert.NilError(t, err)
	_, err = a.send(t.Context(), call, 2)
	assert.Assert(t, err != nil)
	assert.Equal(t, received.Load(), int64(2))
}
