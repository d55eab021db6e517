package reply_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/reply"
	"crocusstep/socket"
)

// TestEndlessInformationalResponses guards against a call that reads informational responses
// without end.
func TestEndlessInformationalResponses(t *testing.T) {
	server, err := fake.NewRawServer(func(conn *net.TCPConn, _ *http.Request) {
		for {
			if _, err := fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"); err != nil {
				return
			}
		}
	})
	assert.NilError(t, err)
	defer server.Close()
	began := time.Now()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
	assert.NilError(t, err)
	_, err = reply.Client(socket.NewClient()).Do(request)
	assert.ErrorContains(t, err, "informational")
	assert.Assert(t, time.Since(began) < 5*time.Second)
}

// TestManyInformationalResponses guards against a sound response that is refused as many informational
// ones came before it.
func TestManyInformationalResponses(t *testing.T) {
	server, err := fake.NewRawServer(func(conn *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprint(conn, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)+"HTTP/1.1 204 No Content\r\n\r\n")
	})
	assert.NilError(t, err)
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
	assert.NilError(t, err)
	response, err := reply.Client(socket.NewClient()).Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
}
