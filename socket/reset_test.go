package socket

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
)

// upload sends a large request with a transport, and reads the response after a pause.
func upload(t *testing.T, early fake.EarlyResponse, size int, pause time.Duration) (status int, body string, err error) {
	t.Helper()
	server, err := fake.NewRawServer(early.Send)
	assert.NilError(t, err)
	defer server.Close()
	client := NewClient()
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address(), bytes.NewReader(make([]byte, size)))
	assert.NilError(t, err)
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	time.Sleep(pause)
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestResetDuringUpload guards against a part of a response that net/http returns as a complete one, as
// the write of the request has met the reset of the connection first.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 40
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
			early := fake.EarlyResponse{Version: version, Status: "200 OK", Body: `{"whole":"body"}`, Framing: "close", End: fake.EndByReset, Delay: delay}
			t.Run(early.String(), func(t *testing.T) {
				t.Parallel()
				for i := range rounds {
					status, body, err := upload(t, early, 8<<20, time.Duration(i%3)*2*time.Millisecond)
					assert.Assert(t, err != nil, "status %d, body %q", status, body)
				}
			})
		}
	}
}

// TestEarlyResponse guards against sound early responses that are taken for broken ones.
func TestEarlyResponse(t *testing.T) {
	for _, end := range []fake.EarlyEnd{fake.EndByFIN, fake.EndThenSilence, fake.EndThenReset} {
		for _, framing := range []string{"close", "length", "chunks"} {
			for _, size := range []int{8 << 10, 8 << 20} {
				early := fake.EarlyResponse{Version: "HTTP/1.1", Status: "413 Too Large", Body: "too large", Framing: framing, End: end}
				t.Run(fmt.Sprintf("%s, %d bytes sent", early, size), func(t *testing.T) {
					t.Parallel()
					status, body, err := upload(t, early, size, time.Millisecond)
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusRequestEntityTooLarge)
					assert.Equal(t, body, "too large")
				})
			}
		}
	}
}
