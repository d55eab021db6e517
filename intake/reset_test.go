package intake

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveVariable makes the test binary serve responses that never end, so that the process can be
// killed in the middle of one.
const serveVariable = "INTAKE_TEST_ADDRESS"

func TestMain(m *testing.M) {
	if address := os.Getenv(serveVariable); address != "" {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			os.Exit(1)
		}
		if os.Getenv(stopVariable) != "" {
			os.Exit(serveUntilStop(listener))
		}
		_ = NewServer(&http.Server{Handler: http.HandlerFunc(beginResponse), ReadHeaderTimeout: time.Minute}).Serve(listener)
		return
	}
	os.Exit(m.Run())
}

const part = "id: 1\ndata: x\n\n"

// beginResponse sends a part of a response without length, and goes on until the caller leaves.
func beginResponse(w http.ResponseWriter, r *http.Request) {
	sendPart(w)
	if r.URL.Path == "/panic" {
		panic(http.ErrAbortHandler)
	}
	<-r.Context().Done()
	time.Sleep(time.Minute)
}

func sendPart(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, part)
	_ = http.NewResponseController(w).Flush()
}

// readPart sends a request with a version of HTTP, calls end once a part of the response has
// arrived, and returns the body and how it ended.
func readPart(t *testing.T, address, version, path string, end func()) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET "+path+" "+version+"\r\nHost: a\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	got := make([]byte, len(part))
	_, err = io.ReadFull(response.Body, got)
	assert.NilError(t, err)
	end()
	rest, err := io.ReadAll(response.Body)
	return string(got) + string(rest), err
}

// TestUnfinishedResponse guards against a server that ends in the middle of a response without
// length, whose caller then has a complete one: with HTTP/1.0 it ends with its connection.
func TestUnfinishedResponse(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run("the grace period ends, "+version, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := NewServer(&http.Server{Handler: http.HandlerFunc(beginResponse), ReadHeaderTimeout: time.Minute})
			go func() { _ = s.Serve(listener) }()
			_, err = readPart(t, listener.Addr().String(), version, "/", func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				defer cancel()
				assert.Check(t, errors.Is(s.Shutdown(ctx), context.DeadlineExceeded))
			})
			checkUnfinished(t, version, err)
		})
		t.Run("the handler panics, "+version, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := NewServer(&http.Server{Handler: http.HandlerFunc(beginResponse), ReadHeaderTimeout: time.Minute})
			go func() { _ = s.Serve(listener) }()
			defer func() { _ = s.Close() }()
			_, err = readPart(t, listener.Addr().String(), version, "/panic", func() {})
			checkUnfinished(t, version, err)
		})
		t.Run("the process is killed, "+version, func(t *testing.T) {
			free, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			address := free.Addr().String()
			assert.NilError(t, free.Close())
			command := exec.Command(os.Args[0])
			command.Env = append(os.Environ(), serveVariable+"="+address)
			assert.NilError(t, command.Start())
			for {
				conn, err := net.Dial("tcp", address)
				if err == nil {
					_ = conn.Close()
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			_, err = readPart(t, address, version, "/", func() { _ = command.Process.Kill() })
			checkUnfinished(t, version, err)
			_ = command.Wait()
		})
	}
}

func checkUnfinished(t *testing.T, version string, err error) {
	t.Helper()
	if version == "HTTP/1.0" {
		assert.ErrorIs(t, err, syscall.ECONNRESET, "the response looks complete")
		return
	}
	assert.Assert(t, err != nil, "the response looks complete")
}

// TestWholeResponseIsNotReset guards against complete responses that are lost to a reset.
func TestWholeResponseIsNotReset(t *testing.T) {
	const size = 8 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/flushed" {
			sendPart(w)
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})})
	go func() { _ = s.Serve(listener) }()
	for _, path := range []string{"/", "/flushed"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		// The response is longer than what the kernel takes at once.
		time.Sleep(100 * time.Millisecond)
		data, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, len(data) >= size)
		_ = conn.Close()
	}
	assert.NilError(t, s.Shutdown(t.Context()))
}
