package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/wire"
)

// TestCallResponseHasLength guards against a body whose end only the end of its connection shows,
// so that an entry that ends while it sends the body leaves a response that looks complete.
func TestCallResponseHasLength(t *testing.T) {
	body := strings.Repeat("x", 5000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			body = ""
		}
		writeResponse(w, r.Method, wire.CallResponse{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(body)})
	}))
	defer server.Close()
	for _, start := range []string{"GET / HTTP/1.0", "GET / HTTP/1.1", "HEAD / HTTP/1.1"} {
		method, _, _ := strings.Cut(start, " ")
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, start+"\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
		assert.NilError(t, err)
		want := int64(len(body))
		if method == http.MethodHead {
			// It would be that of the response to a GET.
			want = -1
		}
		assert.Equal(t, response.ContentLength, want, start)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), body)
		_ = conn.Close()
	}
}
