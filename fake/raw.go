package fake

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// RawServer is an HTTP server that writes its responses itself. It serves one request on each
// connection.
type RawServer struct {
	listener net.Listener
	respond  func(conn *net.TCPConn, r *http.Request)
	requests atomic.Int64
	conns    sync.WaitGroup
}

// NewRawServer starts a server on the loopback interface. Respond is called with the head of each
// request and may read its body; the connection is closed when it returns.
func NewRawServer(respond func(conn *net.TCPConn, r *http.Request)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, respond: respond}
	go s.accept()
	return s, nil
}

// Address returns the address of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests whose heads were received.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// Close stops the server and waits for its connections.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.conns.Wait()
}

func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Go(func() { s.serve(conn) })
	}
}

func (s *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	// A client may keep a connection on which it sends nothing.
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	s.respond(conn.(*net.TCPConn), request)
}
