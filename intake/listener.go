package intake

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"crocusstep/socket"
)

const (
	// maxAcceptedAtEnd limits how many connections are accepted once a listener ends: callers may
	// open new ones without end.
	maxAcceptedAtEnd = 4096
	// acceptTime bounds the accepting of a connection that has arrived.
	acceptTime = time.Second
)

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	// ends is set once the listener accepts only what has arrived.
	ends atomic.Bool
	// acceptedAtEnd counts the connections accepted since then. Only Accept uses it.
	acceptedAtEnd int
}

// end makes the listener close once it has accepted the connections that callers have opened: the
// kernel resets those that are left.
func (l *listener) end() {
	l.ends.Store(true)
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(time.Unix(1, 0)) != nil {
		// It is closed already if its Serve has returned.
		_ = l.Close()
	}
}

// Accept implements net.Listener. Connections for which there is no room are closed unread.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && l.ends.Load() {
			raw, err = l.acceptArrived()
		}
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, server: l.server, waits: true, since: time.Now(), writeCredit: writeTimeout}
		if l.server.add(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// acceptArrived accepts a connection that has been opened, or closes the listener.
func (l *listener) acceptArrived() (net.Conn, error) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok || l.acceptedAtEnd >= maxAcceptedAtEnd || !socket.IsReadable(tcp) {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	l.acceptedAtEnd++
	// It does not wait, as a connection has arrived. The deadline is for one that has ended again.
	_ = tcp.SetDeadline(time.Now().Add(acceptTime))
	conn, err := tcp.Accept()
	if err != nil {
		// After a temporary error net/http would wait and try again.
		_ = l.Close()
		return nil, net.ErrClosed
	}
	_ = tcp.SetDeadline(time.Unix(1, 0))
	return conn, nil
}
