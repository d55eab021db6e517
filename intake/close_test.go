package intake

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/socket"
)

const nameHeader = "Name"

// closingServer serves on a loopback address, counts what reaches its handler and records the
// crossings.
type closingServer struct {
	*Server
	address   string
	handled   atomic.Int64
	crossings chan http.Header
}

func startClosingServer(t *testing.T, refuses bool) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &closingServer{address: listener.Addr().String(), crossings: make(chan http.Header, 8)}
	s.Server = NewServer(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		respond(w, r)
	})})
	s.RefusesAtClose = refuses
	s.OnCrossing = func(header http.Header) { s.crossings <- header }
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	probe := dial(t, s.address)
	assert.Equal(t, statusOf(t, probe), http.StatusOK)
	assert.NilError(t, probe.Close())
	s.handled.Store(0)
	return s
}

// shutDown begins a shutdown with a grace period and returns a channel for its result.
func (s *closingServer) shutDown(grace time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		done <- s.Shutdown(ctx)
	}()
	return done
}

// awaitClose waits until the server has closed its side of a connection, whose caller reads nothing.
func awaitClose(conn net.Conn) {
	for !socket.IsReadable(conn) {
		time.Sleep(time.Millisecond)
	}
}

// TestCrossingRequests guards against requests that cross the close of their connection and end
// without a response, are handled, or leave no trace.
func TestCrossingRequests(t *testing.T) {
	named := strings.Replace(request, "Host: a\r\n", "Host: a\r\nName: x\r\n", 1)
	scenarios := []struct {
		testName string
		isKept   bool
		before   string
		// after is sent once the server has closed its side.
		after     string
		crossings []string
	}{
		{"a request on a kept connection", true, "", named, []string{"x"}},
		{"a request on a new connection", false, "", named, []string{"x"}},
		{"a part of a head", true, "", named[:20], []string{""}},
		{"a request with a long body", true, "", strings.Replace(named, "4\r\n", "1000000\r\n", 1) + strings.Repeat("x", 1000000-4), []string{"x"}},
		{"nothing", true, "", "", nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			server := startClosingServer(t, true)
			conn := dial(t, server.address)
			defer func() { _ = conn.Close() }()
			handled := int64(0)
			if s.isKept {
				assert.Equal(t, statusOf(t, conn), http.StatusOK)
				handled++
			}
			done := server.shutDown(time.Minute)
			awaitClose(conn)
			_, err := io.WriteString(conn, s.after)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "the request has no response")
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
			assert.Assert(t, response.Close)
			_ = conn.Close()
			assert.NilError(t, <-done)
			assert.Equal(t, server.Crossings(), len(s.crossings))
			for _, name := range s.crossings {
				assert.Equal(t, (<-server.crossings).Get(nameHeader), name)
			}
			assert.Equal(t, server.handled.Load(), handled)
		})
	}
}

// TestPartOfRequestIsRefused guards against requests that were read in part and end without a
// response at the end of a shutdown.
func TestPartOfRequestIsRefused(t *testing.T) {
	server := startClosingServer(t, true)
	conn := dial(t, server.address)
	defer func() { _ = conn.Close() }()
	_, err := io.WriteString(conn, request[:20])
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.ErrorIs(t, <-server.shutDown(300*time.Millisecond), context.DeadlineExceeded)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "the request has no response")
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, server.PartlyRead(), 1)
}

// TestShutdownDoesNotWaitForCallers guards against a process that outlasts its grace period because
// callers do not close their connections.
func TestShutdownDoesNotWaitForCallers(t *testing.T) {
	for _, grace := range []time.Duration{50 * time.Millisecond, time.Minute} {
		server := startClosingServer(t, true)
		conn := dial(t, server.address)
		assert.Equal(t, statusOf(t, conn), http.StatusOK)
		began := time.Now()
		err := <-server.shutDown(grace)
		bound := min(grace+flushTime, lastReadTime+lingerTime)
		assert.Assert(t, time.Since(began) < bound+250*time.Millisecond, "%s", time.Since(began))
		if grace == time.Minute {
			assert.NilError(t, err)
		}
		_ = conn.Close()
	}
}

// TestUnreadBytesDoNotResetResponse guards against responses that are lost to a reset, as the server
// closes their connection while bytes of its caller are unread.
func TestUnreadBytesDoNotResetResponse(t *testing.T) {
	const size = 8 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})})
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = s.Close() }()
	conn := dial(t, listener.Addr().String())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request+strings.Repeat(request, 1000))
	assert.NilError(t, err)
	// The response is longer than what the kernel takes at once.
	time.Sleep(100 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, err == nil || errors.Is(err, io.EOF), "%d of %d bytes: %v", n, size, err)
	assert.Equal(t, n, int64(size))
}
