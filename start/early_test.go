package start

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
)

// uploadBytes is more than fits between a process and a worker that reads nothing.
const uploadBytes = 4_000_000

// sendEarly makes the worker respond before it has read a request.
func (w *rawWorker) sendEarly(early fake.EarlyResponse) {
	respond := func(conn *net.TCPConn, r *http.Request, fields string) {
		early.Fields = "Content-Type: text/event-stream\r\n" + fields
		early.Send(conn, r)
	}
	w.respond.Store(&respond)
}

// TestResetDuringUpload guards against callers that get a part of a response as a complete one, as the
// worker's reset was met first by the write of the request.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 4
	body := strings.Repeat("b", uploadBytes)
	w := newRawWorker(t)
	for _, r := range append(relayRoutes(t, w), entryRoutes(t, w)...) {
		for range rounds {
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				early := fake.EarlyResponse{Version: version, Status: "200 OK", Body: "id: 1\ndata: a\n\n", Framing: "close", End: fake.EndByReset, Delay: 5 * time.Millisecond}
				w.sendEarly(early)
				r.checkRefused(t, w, early.String(), body)
			}
		}
	}
}

// TestEarlyResponse sends responses that come before the request was read, and end in order.
func TestEarlyResponse(t *testing.T) {
	body := strings.Repeat("b", uploadBytes)
	w := newRawWorker(t)
	for _, r := range append(relayRoutes(t, w), entryRoutes(t, w)...) {
		for _, end := range []fake.EarlyEnd{fake.EndByFIN, fake.EndThenSilence, fake.EndThenReset} {
			for _, framing := range []string{"close", "length", "chunks"} {
				early := fake.EarlyResponse{Version: "HTTP/1.1", Status: "413 Too Large", Body: "too large", Framing: framing, End: end}
				w.sendEarly(early)
				got := r.call(t, body)
				assert.NilError(t, got.err, "%s: %s", r.testName, early)
				assert.Equal(t, got.status, http.StatusRequestEntityTooLarge, "%s: %s: %.200s", r.testName, early, got.body)
				assert.Equal(t, got.body, early.Body)
			}
		}
	}
}
