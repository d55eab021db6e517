package intake

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// lastReadTime is how long a connection that ends is read once more: a caller that has just
// connected sends its request within it.
const lastReadTime = 100 * time.Millisecond

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server, waits: true}
	l.server.add(c)
	return c, nil
}

// conn is a connection of a caller. Only its reader decides that it ends, by a read deadline, so
// that it never ends with a request that was read.
type conn struct {
	net.Conn
	server *Server

	mutex sync.Mutex
	// waits is set while no part of a request was read whose response is still to be sent.
	waits bool
	// handled is set while the request that was read has reached the handler; never while waits is.
	handled bool
	// ends is set once the connection ends as soon as it waits.
	ends bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		// After its deadline a connection isn't read, even if bytes have arrived.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.receive()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.server.remove(c)
	return c.Conn.Close()
}

// handle is called when a request reaches the handler.
func (c *conn) handle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waits, c.handled = false, true
}

// isPartlyRead reports whether a part of a request was read that has not reached the handler.
func (c *conn) isPartlyRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.waits && !c.handled
}

// CloseWrite closes the sending side, like that of net.TCPConn.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets how Close treats unsent data, like that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// end makes the connection end as soon as it waits for a request.
func (c *conn) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ends = true
	// If it fails, the connection is closed already.
	_ = c.applyDeadline()
}

// await is called when a response was sent.
func (c *conn) await() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waits, c.handled = true, false
}

// receive is called when a part of a request was read.
func (c *conn) receive() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.waits {
		return
	}
	c.waits = false
	if c.ends {
		_ = c.applyDeadline()
	}
}

func (c *conn) isEnding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ends && c.waits
}

// applyDeadline must be called with the lock held.
func (c *conn) applyDeadline() error {
	if c.ends && c.waits {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.SetReadDeadline(c.deadline)
}
