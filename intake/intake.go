// Package intake is an HTTP server for callers whose shutdown answers each request that it has
// read.
package intake

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/fault"
)

// flushTime is how long requests have for their responses after they were cancelled at the end
// of a shutdown.
const flushTime = 300 * time.Millisecond

// The arguments of SetLinger that make Close reset a connection, or send what is left.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// Server is an HTTP server. The Shutdown of net/http closes connections whose next request has
// been received, and drops the requests that are read once it has begun.
type Server struct {
	*http.Server
	// RefusesAtClose makes connections that end without a request end with a response that says
	// so: a request that crosses the close is refused. It must be set before Serve.
	RefusesAtClose bool
	// OnCrossing, if set, is called for each request that came after its connection was closed,
	// with its header, or nil if its head is incomplete. It must be set before Serve.
	OnCrossing func(http.Header)
	// Budget is the memory of the requests that are read or handled; nil is no bound. It must be set
	// before Serve.
	Budget *Budget
	// MaxConns limits the open connections; zero is no limit. It must be set before Serve.
	MaxConns int
	// Limits, if set, returns what one caller may send at present. It must be set before Serve.
	Limits func() Limits
	// OnDrop, if set, is called for each connection or request that yields to others. It must be set
	// before Serve.
	OnDrop func(DropReason)
	// pipelined counts the connections that have bytes behind the request that is handled.
	pipelined atomic.Int64
	// cancel ends the contexts of all requests.
	cancel context.CancelCauseFunc
	// serving counts the calls of Serve.
	serving sync.WaitGroup

	mutex sync.Mutex
	// closing is set once the shutdown has begun.
	closing bool
	// accepted is set once all connections were accepted: none is added any more.
	accepted bool
	// closed is set once all connections end at once.
	closed    bool
	listeners []*listener
	// conns holds the open connections.
	conns map[*conn]bool
	// partlyRead counts the connections that ended in the shutdown with a part of a request read
	// that had not reached the handler.
	partlyRead int
	// crossings counts the requests that came in the shutdown after their connection was closed.
	crossings int
	// empty is closed once no connection is open or being accepted in a shutdown.
	empty chan struct{}
}

// NewServer returns a server that serves as configured, except for the contexts and the states
// of its connections. In a shutdown each response closes its connection.
func NewServer(server *http.Server) *Server {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Server{Server: server, cancel: cancel, conns: map[*conn]bool{}, empty: make(chan struct{})}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isClosing() {
			w.Header().Set("Connection", "close")
		}
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && !hasBody(r) {
			// If the request was dropped before, it is not handled.
			_ = c.requestShare().finish()
		}
		if ok && !c.handle(!hasBody(r)) {
			panic(http.ErrAbortHandler)
		}
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		defer c.endRequest()
		defer s.answerPanic(w, r, c)
		r = withBody(r, c)
		if !r.ProtoAtLeast(1, 1) {
			c.serveUnframed(handler, w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if tracked, ok := c.(*conn); ok && state == http.StateIdle {
			tracked.await()
		}
	}
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// serveUnframed serves a request with HTTP/1.0, whose response may end with its connection. Until
// the handler has returned, any end of the connection is a reset, also that of the process, so
// that an incomplete response never looks complete.
func (c *conn) serveUnframed(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	// If it fails, the connection is broken already.
	_ = c.SetLinger(lingerReset)
	handler.ServeHTTP(w, r)
	_ = c.SetLinger(lingerDefault)
}

// Serve accepts connections until the server is shut down or closed.
func (s *Server) Serve(l net.Listener) error {
	s.mutex.Lock()
	if s.closing {
		s.mutex.Unlock()
		_ = l.Close()
		return http.ErrServerClosed
	}
	tracked := &listener{Listener: l, server: s}
	s.listeners = append(s.listeners, tracked)
	s.serving.Add(1)
	s.mutex.Unlock()
	defer s.serving.Done()
	err := s.Server.Serve(tracked)
	if s.isClosing() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown accepts no more connections, ends those that wait for a request, and returns once all
// responses were sent. When the context ends, it cancels the requests with the cause
// fault.ErrGraceEnded, reads no body any more, and soon afterwards closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	defer func() { _ = s.Close() }()
	s.beginShutdown()
	s.serving.Wait()
	s.endWaiting()
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
	}
	s.cancel(fault.ErrGraceEnded)
	s.endBodies()
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	select {
	case <-s.empty:
	case <-timer.C:
	}
	return ctx.Err()
}

// Close closes all listeners and connections.
func (s *Server) Close() error {
	s.mutex.Lock()
	s.closing, s.closed = true, true
	s.mutex.Unlock()
	err := s.Server.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// net/http does not know those that are read after their close.
	for c := range s.conns {
		_ = c.Conn.Close()
	}
	return err
}

// PartlyRead returns how many connections ended in the shutdown with a part of a request read that
// had not reached the handler.
func (s *Server) PartlyRead() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partlyRead
}

// Crossings returns how many requests came in the shutdown after their connection was closed.
func (s *Server) Crossings() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crossings
}

func (s *Server) countCrossing(header http.Header) {
	s.mutex.Lock()
	if s.closing {
		s.crossings++
	}
	s.mutex.Unlock()
	if s.OnCrossing != nil {
		s.OnCrossing(header)
	}
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

func (s *Server) isClosing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closing
}

func (s *Server) beginShutdown() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closing = true
	for _, l := range s.listeners {
		l.end()
	}
}

// endWaiting ends each connection at once or after its response. No connection is accepted any
// more.
func (s *Server) endWaiting() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.accepted = true
	for c := range s.conns {
		c.end()
	}
	s.checkEmpty()
}

// endBodies ends the reading of bodies, so that handlers refuse their requests.
func (s *Server) endBodies() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		c.endBody()
	}
}

// add adds a connection. If there are too many, it evicts one whose request has not been read
// completely, the one that has been so for longest; it returns false if there is none.
func (s *Server) add(c *conn) bool {
	s.mutex.Lock()
	isFull := s.MaxConns > 0 && len(s.conns) >= s.MaxConns
	var victim *conn
	if isFull {
		victim = s.pickVictim()
	}
	if !isFull || victim != nil {
		s.conns[c] = true
	}
	s.mutex.Unlock()
	if !isFull {
		return true
	}
	s.observe(DropConnection)
	if victim == nil {
		return false
	}
	victim.evict()
	return true
}

// pickVictim returns the connection that yields to another, or nil if all have complete requests. It
// must be called with the lock held.
func (s *Server) pickVictim() (victim *conn) {
	var since time.Time
	for c := range s.conns {
		from, ok := c.yieldsSince()
		if ok && (victim == nil || from.Before(since)) {
			victim, since = c, from
		}
	}
	return victim
}

func (s *Server) remove(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.conns[c] {
		delete(s.conns, c)
		if s.closing && c.isPartlyRead() {
			s.partlyRead++
		}
		s.checkEmpty()
	}
}

// checkEmpty must be called with the lock held.
func (s *Server) checkEmpty() {
	if !s.accepted || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// DropReason is why a connection or a request yields to others.
type DropReason string

const (
	// DropConnection means that there were too many connections.
	DropConnection DropReason = "connections"
	// DropPipelined means that too many connections had bytes behind a request that is handled.
	DropPipelined DropReason = "pipelined"
	// DropRequest means that the requests had used up their memory.
	DropRequest DropReason = "memory"
)

func (s *Server) observe(reason DropReason) {
	if s.OnDrop != nil {
		s.OnDrop(reason)
	}
}

func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}
	}
	return s.Limits()
}

// maxPipelined returns how many connections may have bytes behind the request that is handled.
func (s *Server) maxPipelined() int64 {
	if s.MaxConns == 0 {
		return math.MaxInt64
	}
	return int64(max(1, s.MaxConns/pipelinedParts))
}
