package reply_test

import (
	"fmt"
	"net"
	"net/http"
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
