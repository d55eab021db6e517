package intake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"crocusstep/socket"
)

// lastReadTime is how long a connection that ends is read once more: a caller that has just
// connected sends its request within it.
const lastReadTime = 100 * time.Millisecond

// informationalStart begins responses that precede the response to a request.
const informationalStart = "HTTP/1.1 1"

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
	// written is set once a response was begun since the last request was awaited.
	written bool
	// ends is set once the connection ends as soon as it waits.
	ends bool
	// bodyEnds is set once no body is read any more.
	bodyEnds bool
	// closed is set once the connection is closed: no request reaches the handler any more.
	closed bool
	// expired is set once the wait for a request or the rest of its head was too long: nothing is
	// read any more, as net/http takes the part of a line before an error for a whole one.
	expired bool
	// refusal, if not empty, is the response to a request whose head is read no further.
	refusal string
	// bodyEnded is set once the body of the request that was handled has been read.
	bodyEnded bool
	// dropped is set once the body of the request is read no further, as it has yielded to others.
	dropped bool
	// pipelined is set while bytes have arrived behind the request that is handled.
	pipelined bool
	// since is when the connection began to wait for the next request, or when the request began that
	// is being read or handled.
	since time.Time
	// share is the memory of the request that is being read or handled, nil while there is none.
	share *share
	// kept is set once a response was sent.
	kept bool
	// headBytes counts what was read since the last request was handled.
	headBytes int64
	// callerEnded is set once nothing can be read any more.
	callerEnded bool
	// resets is set while Close resets the connection.
	resets bool
	// deadline is the read deadline that the server has set, writeDeadline that for writes.
	deadline, writeDeadline time.Time

	// writeCredit is how long the caller may still read nothing. Only Write uses it.
	writeCredit time.Duration
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.isUnread() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		// After its deadline a connection isn't read, even if bytes have arrived.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
		n, err = c.Conn.Read(p)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.isHandled() && !c.isUnread() {
		n, err = c.readArrived(p, err)
	}
	if n > 0 {
		if receiveErr := c.receive(p[:n]); receiveErr != nil {
			return 0, receiveErr
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.endReading()
	}
	return n, err
}

// Write implements net.Conn. A caller that reads too slowly ends the connection.
func (c *conn) Write(p []byte) (n int, err error) {
	if response := c.unreadResponse(); response != "" {
		// net/http takes an incomplete head for a malformed one.
		_, err := io.WriteString(c.Conn, response)
		c.begin()
		return len(p), err
	}
	if !bytes.HasPrefix(p, []byte(informationalStart)) {
		c.begin()
	}
	for len(p) > 0 && err == nil {
		piece := p[:min(len(p), writePiece)]
		var written int
		written, err = c.writePiece(piece)
		n += written
		p = p[len(piece):]
	}
	return n, err
}

// writePiece writes a part of a response within the time that the caller has left to read it.
func (c *conn) writePiece(piece []byte) (int, error) {
	began := time.Now()
	c.mutex.Lock()
	deadline := began.Add(c.writeCredit)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	c.mutex.Unlock()
	_ = c.Conn.SetWriteDeadline(deadline)
	n, err := c.Conn.Write(piece)
	earned := time.Duration(n) * time.Second / writeRate
	c.writeCredit = min(c.writeCredit-time.Since(began)+earned, writeTimeout)
	return n, err
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// begin is called when a response begins.
func (c *conn) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.written = true
}

// readArrived reads what has arrived before the deadline, or returns the timeout: the process may
// have had no processor time to read it.
func (c *conn) readArrived(p []byte, timeout error) (n int, err error) {
	isReadable := socket.IsReadable(c.Conn)
	if isReadable {
		_ = c.Conn.SetReadDeadline(time.Time{})
		n, err = c.Conn.Read(p)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !isReadable {
		c.expired = true
		return 0, timeout
	}
	_ = c.applyDeadline()
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// handle is called when a request reaches the handler, complete or with a body to be read. It returns
// false if the connection is closed, or the request was dropped, and it must not be served.
func (c *conn) handle(complete bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || c.refusal != "" {
		return false
	}
	if c.waits {
		// All of its head had come with the request before.
		c.beginRequest()
	}
	c.handled, c.bodyEnded, c.headBytes = true, complete, 0
	_ = c.applyDeadline()
	return true
}

// beginRequest must be called with the lock held.
func (c *conn) beginRequest() {
	c.waits, c.dropped = false, false
	c.since = time.Now()
	c.share = c.server.Budget.newShare(c.drop)
}

// drop ends the reading of a request that has yielded to others.
func (c *conn) drop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.handled {
		c.dropped = true
	} else {
		c.refusal = overloadedResponse
	}
	// If it fails, the connection is closed already.
	_ = c.applyDeadline()
}

// endOfBody is called when the body of a request was read. It returns an error if the request was
// dropped, or its connection was evicted.
func (c *conn) endOfBody() error {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return ErrOverloaded
	}
	c.bodyEnded = true
	_ = c.applyDeadline()
	share := c.share
	c.mutex.Unlock()
	return share.finish()
}

// endRequest is called when the handler of a request has returned.
func (c *conn) endRequest() {
	c.mutex.Lock()
	share := c.share
	c.share = nil
	c.mutex.Unlock()
	share.end()
}

// requestShare returns the memory of the request that is being read or handled. It may be called on
// nil.
func (c *conn) requestShare() *share {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.share
}

// isPartlyRead reports whether a part of a request was read that has neither reached the
// handler nor been refused.
func (c *conn) isPartlyRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.waits && !c.handled && !c.written
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
	c.mutex.Lock()
	c.resets = seconds == lingerReset
	c.mutex.Unlock()
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

// endBody ends the reading of a body: what has not come makes the read time out.
func (c *conn) endBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bodyEnds = true
	// If it fails, the connection is closed already.
	_ = c.applyDeadline()
}

// await is called when a response was sent.
func (c *conn) await() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waits, c.handled, c.written, c.bodyEnded, c.kept = true, false, false, false, true
	c.since = time.Now()
	c.setPipelined(false)
}

// receive is called when a part of a request was read. After an error nothing of it must be used.
func (c *conn) receive(part []byte) error {
	c.mutex.Lock()
	if c.handled {
		defer c.mutex.Unlock()
		if c.bodyEnded && !c.setPipelined(true) {
			// What was read must not be missing from a later request.
			_ = c.Conn.Close()
			return net.ErrClosed
		}
		return nil
	}
	if c.waits {
		c.beginRequest()
		_ = c.applyDeadline()
	}
	c.headBytes += int64(len(part))
	maxHead := int64(c.server.limits().MaxHead)
	isTooLarge := maxHead > 0 && c.headBytes > maxHead+headSlop
	share := c.share
	c.mutex.Unlock()
	if isTooLarge {
		return c.refuse(headTooLargeResponse)
	}
	if share.take(headWeight(part)) != nil {
		return c.refuse(overloadedResponse)
	}
	return nil
}

// refuse records the response to a request whose head is read no further. It returns the error of a
// read, with which net/http closes the connection.
func (c *conn) refuse(response string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refusal = response
	return os.ErrDeadlineExceeded
}

// setPipelined records whether bytes have arrived behind the request that is handled. It returns
// false if too many connections have such bytes. It must be called with the lock held.
func (c *conn) setPipelined(pipelined bool) bool {
	switch {
	case pipelined == c.pipelined:
		return true
	case !pipelined:
		c.server.pipelined.Add(-1)
	case c.server.pipelined.Add(1) > c.server.maxPipelined():
		c.server.pipelined.Add(-1)
		c.server.observe(DropPipelined)
		return false
	}
	c.pipelined = pipelined
	return true
}

// endReading is called when the caller has closed the connection, or it is broken.
func (c *conn) endReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.callerEnded = true
}

// isUnread reports whether nothing is read any more of a request whose head has not come.
func (c *conn) isUnread() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.expired || c.refusal != ""
}

// unreadResponse returns the response to a request of which nothing is read any more, or nothing.
func (c *conn) unreadResponse() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refusal == "" && c.expired {
		return closingResponse
	}
	return c.refusal
}

// yieldsSince returns since when the connection has waited for a request or the rest of one. It
// returns false if it has a complete one. A connection that is closed yields first.
func (c *conn) yieldsSince() (since time.Time, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return time.Time{}, true
	}
	return c.since, !c.handled || !c.bodyEnded
}

func (c *conn) isWritten() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

func (c *conn) isHandled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.handled
}

func (c *conn) isEnding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ends && c.waits
}

// applyDeadline must be called with the lock held.
func (c *conn) applyDeadline() error {
	if c.refusal != "" || c.ends && c.waits || (c.bodyEnds || c.dropped) && c.handled {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	deadline := c.deadline
	if own := c.ownDeadline(); !own.IsZero() && (deadline.IsZero() || own.Before(deadline)) {
		deadline = own
	}
	return c.Conn.SetReadDeadline(deadline)
}

// ownDeadline returns the end of the time that the server's limits leave the caller, or zero. It must
// be called with the lock held.
func (c *conn) ownDeadline() time.Time {
	limits := c.server.limits()
	limit := time.Duration(0)
	switch {
	case c.handled && !c.bodyEnded && c.deadline.IsZero():
		limit = bodyTimeout
	case c.handled:
	case !c.waits:
		limit = limits.HeadTimeout
	case c.kept:
		limit = limits.IdleTimeout
	}
	if limit <= 0 {
		return time.Time{}
	}
	return c.since.Add(limit)
}
