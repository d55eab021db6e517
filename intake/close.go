package intake

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// lingerTime is how long a connection is read after its sending side was closed: callers see
	// the end within it, and what they had sent before arrives.
	lingerTime = 500 * time.Millisecond
	// evictionWriteTime bounds the writing of the response to a connection that yields to another.
	evictionWriteTime = time.Millisecond
	// closingWriteTime bounds the writing of the closing response, which the kernel takes at once.
	closingWriteTime = 50 * time.Millisecond
	// maxCrossedHeadBytes limits what is kept of a request that crosses the close.
	maxCrossedHeadBytes = 16 << 10
	// lingerBufferBytes is the size of the buffer for what is read after the close.
	lingerBufferBytes = 4 << 10
)

// closingResponse is sent on a connection that ends while its caller owes a request or the rest of
// one. A request that crosses it has its response: it is never handled (RFC 9110, 15.5.9).
const closingResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// closeState is what Close does beside closing the connection.
type closeState struct {
	// refusal is the response to a request that the caller owes or owes the rest of, or empty.
	refusal string
	// lingers is set if the connection is read after its sending side was closed.
	lingers bool
	// isBoundary is set if what is read after the close begins with a request.
	isBoundary bool
}

// Close implements net.Conn. It closes the sending side and reads on until the caller has closed
// the connection, too: unread bytes would make it a reset, which can destroy a response that is
// under way.
func (c *conn) Close() error {
	state := c.beginClose()
	c.endRequest()
	if state.refusal != "" {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(closingWriteTime))
		// If it fails, the caller has left or reads nothing.
		_, _ = io.WriteString(c.Conn, state.refusal)
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && state.lingers && tcp.CloseWrite() == nil {
		c.linger(state.isBoundary)
	}
	defer c.server.remove(c)
	return c.Conn.Close()
}

func (c *conn) beginClose() closeState {
	isFinal := c.server.isClosed()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || c.callerEnded || c.resets {
		c.closed = true
		c.setPipelined(false)
		return closeState{}
	}
	c.closed = true
	c.setPipelined(false)
	state := closeState{lingers: !isFinal, isBoundary: c.waits}
	if !c.handled && !c.written {
		state.refusal = c.refusal
		if state.refusal == "" && c.server.RefusesAtClose {
			state.refusal = closingResponse
		}
	}
	return state
}

// evict closes the connection at once for another one. Its request, if a part of one was read, never
// reaches the handler, or never has its whole body. One that has just become complete is kept.
func (c *conn) evict() {
	c.mutex.Lock()
	if c.handled && c.bodyEnded && !c.closed {
		c.mutex.Unlock()
		return
	}
	wasClosed, isHandled, isWritten, waits := c.closed, c.handled, c.written, c.waits
	c.closed = true
	c.setPipelined(false)
	c.mutex.Unlock()
	if !wasClosed && !isHandled && !isWritten && (!waits || c.server.RefusesAtClose) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(evictionWriteTime))
		// If it fails, the caller reads nothing.
		_, _ = io.WriteString(c.Conn, overloadedResponse)
	}
	_ = c.Conn.Close()
	c.endRequest()
	c.server.remove(c)
}

// linger reads until the caller has closed the connection, for lingerTime at most.
func (c *conn) linger(isBoundary bool) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	var head []byte
	isRecorded := !isBoundary
	buffer := make([]byte, lingerBufferBytes)
	for {
		n, err := c.Conn.Read(buffer)
		if !isRecorded {
			head = append(head, buffer[:n]...)
			isRecorded = c.recordCrossing(head, err != nil)
		}
		if err != nil {
			return
		}
	}
}

// recordCrossing records a request that came after the close once its head is complete or isLast
// is set. It reports whether nothing else is to be recorded.
func (c *conn) recordCrossing(head []byte, isLast bool) bool {
	isWhole := bytes.Contains(head, []byte("\r\n\r\n"))
	if len(head) == 0 || !isWhole && !isLast && len(head) < maxCrossedHeadBytes {
		return isLast
	}
	var header http.Header
	if request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head))); err == nil {
		header = request.Header
	}
	c.server.countCrossing(header)
	return true
}
