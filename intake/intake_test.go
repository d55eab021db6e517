package intake

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/memnet"
)

const (
	address = "10.0.0.1:1"
	request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	shutAt  = time.Second
)

// readCounter counts the bytes that the server reads from its connections.
type readCounter struct {
	net.Listener
	mutex sync.Mutex
	conns []*countedConn
}

func (l *readCounter) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := &countedConn{Conn: raw}
	l.conns = append(l.conns, c)
	return c, nil
}

type countedConn struct {
	net.Conn
	read atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// testServer serves at address on an in-memory network.
type testServer struct {
	*Server
	network *memnet.Network
	counter *readCounter
	served  chan error
}

func newTestServer(handler http.HandlerFunc) *testServer {
	network := memnet.NewNetwork()
	s := &testServer{
		Server:  NewServer(&http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}),
		network: network,
		counter: &readCounter{Listener: network.Listen("relay", address)},
		served:  make(chan error, 1),
	}
	go func() { s.served <- s.Serve(s.counter) }()
	return s
}

// dial opens a connection and returns the server's end of it, too.
func (s *testServer) dial(t *testing.T) (net.Conn, *countedConn) {
	t.Helper()
	c, err := s.network.Dialer("caller")(t.Context(), "tcp", address)
	assert.NilError(t, err)
	synctest.Wait()
	s.counter.mutex.Lock()
	defer s.counter.mutex.Unlock()
	return c, s.counter.conns[len(s.counter.conns)-1]
}

// exchange sends a request in two parts and reads the response.
func exchange(c net.Conn) (int, string, error) {
	for _, part := range []string{request[:10], request[10:]} {
		if _, err := io.WriteString(c, part); err != nil {
			return 0, "", err
		}
		time.Sleep(2 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func respond(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(5 * time.Millisecond)
	_, _ = w.Write(body)
}

// TestShutdownAnswersWhatItHasRead guards against requests that were read whole and ended with a
// closed connection beside a shutdown, and against connections that close just before a request.
func TestShutdownAnswersWhatItHasRead(t *testing.T) {
	const callers = 40
	offsets := map[string]func(*rand.Rand) time.Duration{
		"at the shutdown": func(*rand.Rand) time.Duration { return 0 },
		"around it": func(random *rand.Rand) time.Duration {
			return time.Duration(random.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond
		},
		"soon after it": func(random *rand.Rand) time.Duration {
			return time.Duration(random.Int64N(int64(lastReadTime - time.Millisecond)))
		},
	}
	for name, offset := range offsets {
		for _, isKept := range []bool{true, false} {
			answered, unread, lost := 0, 0, 0
			for seed := range uint64(10) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 1))
					s := newTestServer(respond)
					var mutex sync.Mutex
					var group sync.WaitGroup
					for range callers {
						c, far := s.dial(t)
						if isKept {
							_, _, err := exchange(c)
							assert.NilError(t, err)
						}
						wait := offset(random)
						group.Go(func() {
							defer func() { _ = c.Close() }()
							time.Sleep(time.Until(started().Add(shutAt + wait)))
							before := far.read.Load()
							status, body, err := exchange(c)
							mutex.Lock()
							defer mutex.Unlock()
							switch {
							case err == nil && status == http.StatusOK && body == "body":
								answered++
							case far.read.Load() == before:
								unread++
							default:
								lost++
								t.Logf("seed %d: %s, %d of %d bytes were read: %v", seed, name, far.read.Load()-before, len(request), err)
							}
						})
					}
					time.Sleep(time.Until(started().Add(shutAt)))
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					assert.NilError(t, s.Shutdown(ctx))
					group.Wait()
					assert.Assert(t, errors.Is(<-s.served, http.ErrServerClosed))
				})
			}
			t.Logf("%s, kept %v: %d answered, %d not read, %d lost", name, isKept, answered, unread, lost)
			assert.Equal(t, lost, 0)
			assert.Equal(t, unread, 0, "a connection ended too soon")
		}
	}
}

// started is the time at which each bubble begins.
func started() time.Time { return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) }

// TestShutdownEndsConnections guards against a shutdown that waits for callers which send
// nothing, and against one that ends a connection on which a response is under way.
func TestShutdownEndsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(w, "whole")
		})
		idle, _ := s.dial(t)
		_, _, err := exchange(idle)
		assert.NilError(t, err)
		silent, _ := s.dial(t)
		busy, _ := s.dial(t)
		bodies := make(chan string, 1)
		go func() {
			_, body, _ := exchange(busy)
			bodies <- body
		}()
		synctest.Wait()
		began := time.Now()
		assert.NilError(t, s.Shutdown(t.Context()))
		took := time.Since(began)
		assert.Assert(t, took >= 3*time.Second && took < 3*time.Second+2*lastReadTime, "%s", took)
		assert.Equal(t, <-bodies, "whole")
		for _, c := range []net.Conn{idle, silent, busy} {
			_, err := c.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
		}
	})
}

// TestShutdownEndsBusyConnections guards against callers that keep a shutdown waiting with one
// request after the other, as these are not told that their connection ends.
func TestShutdownEndsBusyConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(respond)
		c, _ := s.dial(t)
		reader := bufio.NewReader(c)
		answered := make(chan int)
		go func() {
			defer close(answered)
			for {
				if _, err := io.WriteString(c, request); err != nil {
					return
				}
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				_, err = io.ReadAll(response.Body)
				assert.NilError(t, err)
				answered <- response.StatusCode
				if response.Close {
					return
				}
			}
		}()
		for range 3 {
			assert.Equal(t, <-answered, http.StatusOK)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		done := make(chan error, 1)
		began := time.Now()
		go func() { done <- s.Shutdown(ctx) }()
		for status := range answered {
			assert.Equal(t, status, http.StatusOK)
		}
		assert.NilError(t, <-done)
		assert.Assert(t, time.Since(began) <= lastReadTime)
	})
}

// TestGraceEnd guards against requests that end without a response at the end of the grace
// period, and against ones that nobody ends.
func TestGraceEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hangs atomic.Bool
		s := newTestServer(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
			assert.ErrorIs(t, context.Cause(r.Context()), fault.ErrGraceEnded)
			if hangs.Load() {
				time.Sleep(time.Minute)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		c, _ := s.dial(t)
		statuses := make(chan int, 1)
		go func() {
			status, _, _ := exchange(c)
			statuses <- status
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
		assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) <= 2*time.Second+lastReadTime)

		hangs.Store(true)
		s = newTestServer(s.Handler.ServeHTTP)
		c, _ = s.dial(t)
		go func() {
			status, _, _ := exchange(c)
			statuses <- status
		}()
		ctx, cancel = context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began = time.Now()
		assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 2*time.Second+flushTime)
		assert.Equal(t, <-statuses, 0)
		time.Sleep(2 * time.Minute)
	})
}

// TestPartlyRead guards against requests that are lost in a shutdown and counted as never read, and
// against idle connections that are counted as lost requests.
func TestPartlyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(respond)
		answered, _ := s.dial(t)
		_, _, err := exchange(answered)
		assert.NilError(t, err)
		s.dial(t)
		for _, earlier := range []int{0, 1} {
			partly, _ := s.dial(t)
			for range earlier {
				_, _, err := exchange(partly)
				assert.NilError(t, err)
			}
			_, err = io.WriteString(partly, request[:10])
			assert.NilError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
		synctest.Wait()
		assert.Equal(t, s.PartlyRead(), 2)
		time.Sleep(time.Minute)
	})
}
