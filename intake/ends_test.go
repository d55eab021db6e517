package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	endsHeaderTimeout = 300 * time.Millisecond
	endsIdleTimeout   = 600 * time.Millisecond
	// endsMaxHeader is what net/http adds 4 KiB to.
	endsMaxHeader = 4 << 10
)

// serveEnds answers, panics or leaves a response incomplete.
func serveEnds(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/panic":
		panic("a fault")
	case "/read-and-panic":
		_, _ = io.ReadAll(r.Body)
		panic("a fault")
	case "/begin-and-panic":
		sendPart(w)
		panic("a fault")
	case "/unread":
		w.WriteHeader(http.StatusForbidden)
	case "/large":
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64)); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	case "/close":
		w.Header().Set("Connection", "close")
	default:
		respond(w, r)
	}
}

// cut is the status of a request whose connection ends in its response, or that was not read
// completely and has none.
const cut = 0

// TestEndsOfRequests guards against requests that were read completely and end with a closed
// connection instead of a response, whatever their form and however their connection ends. Requests
// that were read in part have a response where the server refuses at the close.
func TestEndsOfRequests(t *testing.T) {
	post := func(target, rest string) string { return "POST " + target + " HTTP/1.1\r\nHost: a\r\n" + rest }
	get := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	large := strings.Repeat("x", 1<<20)
	scenarios := []struct {
		testName string
		parts    []string
		// pause is the time between two parts.
		pause time.Duration
		// refused and closed are the statuses with and without a refusal at the close.
		refused, closed []int
	}{
		{"a request", []string{get}, 0, []int{200, 408}, []int{200, cut}},
		{"a request in parts", []string{get[:5], get[5:20], get[20:]}, 50 * time.Millisecond, []int{200, 408}, []int{200, cut}},
		{"three requests at once", []string{get + get + get}, 0, []int{200, 200, 200, 408}, []int{200, 200, 200, cut}},
		{"requests at once, the first closes", []string{post("/close", "Content-Length: 0\r\n\r\n") + get}, 0, []int{200, cut}, []int{200, cut}},
		{"one and a half requests", []string{get + get[:9]}, 0, []int{200, 408}, []int{200, 408}},
		{"one request and a part of a field", []string{get + get[:18]}, 0, []int{200, 408}, []int{200, 408}},
		{"a line that is too slow", []string{get[:9], get[9:]}, 2 * endsHeaderTimeout, []int{408, cut}, []int{408, cut}},
		{"a head that is too slow", []string{get[:16], get[16:]}, 2 * endsHeaderTimeout, []int{408, cut}, []int{cut}},
		{"a caller that sends nothing", nil, 0, []int{408}, []int{cut}},
		{"a head that is too large", []string{post("/", "Large: "+large[:16<<10]+"\r\n\r\n")}, 0, []int{431, cut}, []int{431, cut}},
		{"a target that is too long", []string{"GET /" + large[:16<<10] + " HTTP/1.1\r\nHost: a\r\n\r\n"}, 0, []int{431, cut}, []int{431, cut}},
		{"no request", []string{"x\r\n\r\n"}, 0, []int{400, cut}, []int{400, cut}},
		{"no host", []string{"GET / HTTP/1.1\r\n\r\n"}, 0, []int{400, cut}, []int{400, cut}},
		{"two lengths", []string{post("/", "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")}, 0, []int{400, cut}, []int{400, cut}},
		{"a length and chunks", []string{post("/", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")}, 0, []int{200, 408}, []int{200, cut}},
		{"an unknown coding", []string{post("/", "Transfer-Encoding: x\r\n\r\n")}, 0, []int{501, cut}, []int{501, cut}},
		{"an unknown version", []string{"GET / HTTP/3.0\r\nHost: a\r\n\r\n"}, 0, []int{505, cut}, []int{505, cut}},
		{"the preface of HTTP/2", []string{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"}, 0, []int{200, cut}, []int{200, cut}},
		{"HTTP/1.0", []string{"GET / HTTP/1.0\r\n\r\n"}, 0, []int{200, cut}, []int{200, cut}},
		{"an upgrade", []string{"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"}, 0, []int{200, 408}, []int{200, cut}},
		{"a tunnel", []string{"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n"}, 0, []int{200, 408}, []int{200, cut}},
		{"a body that is awaited", []string{post("/", "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"), "ab"}, 50 * time.Millisecond, []int{100, 200, 408}, []int{100, 200, cut}},
		{"an expectation that nobody meets", []string{post("/", "Expect: x\r\nContent-Length: 2\r\n\r\nab")}, 0, []int{417, cut}, []int{417, cut}},
		{"a body that is not read", []string{post("/unread", "Content-Length: 1048576\r\n\r\n"+large)}, 0, []int{403, cut}, []int{403, cut}},
		{"a body that is too large", []string{post("/large", "Content-Length: 1048576\r\n\r\n"+large)}, 0, []int{413, cut}, []int{413, cut}},
		{"a trailer", []string{post("/", "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1\r\na\r\n0\r\nT: 1\r\n\r\n")}, 0, []int{200, 408}, []int{200, cut}},
		{"a panic", []string{post("/panic", "Content-Length: 4\r\n\r\nbody")}, 0, []int{500, cut}, []int{500, cut}},
		{"a panic on a kept connection", []string{get, post("/panic", "Content-Length: 4\r\n\r\nbody")}, 100 * time.Millisecond, []int{200, 500, cut}, []int{200, 500, cut}},
		{"a panic after an awaited body", []string{post("/read-and-panic", "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"), "ab"}, 50 * time.Millisecond, []int{100, 500, cut}, []int{100, 500, cut}},
		{"a panic with HTTP/1.0", []string{"GET /panic HTTP/1.0\r\n\r\n"}, 0, []int{500, cut}, []int{500, cut}},
		{"a panic in the response", []string{get, post("/begin-and-panic", "Content-Length: 0\r\n\r\n")}, 100 * time.Millisecond, []int{200, cut}, []int{200, cut}},
	}
	for _, refuses := range []bool{true, false} {
		for _, s := range scenarios {
			t.Run(s.testName, func(t *testing.T) {
				t.Parallel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				server := NewServer(&http.Server{
					Handler: http.HandlerFunc(serveEnds), MaxHeaderBytes: endsMaxHeader, ReadHeaderTimeout: endsHeaderTimeout, IdleTimeout: endsIdleTimeout,
				})
				server.RefusesAtClose = refuses
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()
				conn := dial(t, listener.Addr().String())
				defer func() { _ = conn.Close() }()
				go func() {
					for _, part := range s.parts {
						_, _ = io.WriteString(conn, part)
						time.Sleep(s.pause)
					}
				}()
				want := s.closed
				if refuses {
					want = s.refused
				}
				statuses, err := readStatuses(conn)
				if last := len(want) - 1; last >= 0 && want[last] == cut {
					want = want[:last]
				}
				assert.Assert(t, slices.Equal(statuses, want), "%v instead of %v: %v", statuses, want, err)
				assert.Assert(t, err == io.EOF || err == io.ErrUnexpectedEOF, "the connection is reset: %v", err)
			})
		}
	}
}

// readStatuses reads complete responses until the connection ends.
func readStatuses(conn net.Conn) (statuses []int, err error) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return statuses, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, err
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			return statuses, err
		}
		statuses = append(statuses, response.StatusCode)
	}
}
