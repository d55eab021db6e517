package intake

import (
	"io"
	"net/http"
	"runtime/debug"
)

// panicResponse is sent for a request whose handler panics.
const panicResponse = "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// answerPanic must be deferred. It responds to a request whose handler panics before its response
// has begun: net/http would close the connection.
func (s *Server) answerPanic(w http.ResponseWriter, r *http.Request, c *conn) {
	reason := recover()
	if reason == nil {
		return
	}
	if reason == http.ErrAbortHandler {
		panic(reason)
	}
	if s.ErrorLog != nil {
		s.ErrorLog.Printf("a handler panicked: %s %s: %v\n%s", r.Method, r.URL.Path, reason, debug.Stack())
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok || c.isWritten() {
		panic(http.ErrAbortHandler)
	}
	// What the handler has written and net/http has not sent yet is discarded.
	raw, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = c.SetLinger(lingerDefault)
	// If it fails, the caller has left.
	_, _ = io.WriteString(raw, panicResponse)
	_ = raw.Close()
}
