package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a connection that was reset or ended on both sides (TCP_CLOSE in the
// kernel's tcp_states.h).
const tcpClosed = 7

// kernelConn is a connection of the kernel, such as a net.TCPConn.
type kernelConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// ReportResets returns a connection whose reads fail once it was reset. The kernel reports a reset once, to
// the read or write that comes first. If that was a write, later reads end as if the peer had closed
// the connection in order, which is also how a response without a length ends. The connection is a
// reply.HeadRecorder, too.
func ReportResets(conn net.Conn) net.Conn {
	kernel, ok := conn.(kernelConn)
	if _, reports := conn.(*checkedConn); reports || !ok {
		return conn
	}
	return &checkedConn{Conn: conn, kernel: kernel}
}

// checkedConn has no ReadFrom, which would write to the connection without Write.
type checkedConn struct {
	net.Conn
	kernel kernelConn

	// writing is held during a write.
	writing sync.Mutex
	// failure is the failure of the connection that a write has met, or zero.
	failure syscall.Errno

	record record
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(p)
	var number syscall.Errno
	// EPIPE follows an end in order, or an error that a read has met.
	if errors.As(err, &number) && number != syscall.EPIPE {
		c.failure = number
	}
	return n, err
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.record.add(p[:n])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.writeFailure(); failure != 0 {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", failure)}
	}
	return n, err
}

// RecordHead implements reply.HeadRecorder.
func (c *checkedConn) RecordHead() { c.record.begin() }

// RecordedHead implements reply.HeadRecorder.
func (c *checkedConn) RecordedHead() []byte { return c.record.end() }

// writeFailure returns the failure of the connection that a write has met, or zero.
func (c *checkedConn) writeFailure() syscall.Errno {
	if c.isOpen() {
		// The peer has only ended its side, and a write may wait until it reads on.
		return 0
	}
	// The write that has met the failure may not have returned yet.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// isOpen reports whether the connection can still send: it was not reset, nor closed here, which the
// writer of net/http does after a failed write.
func (c *checkedConn) isOpen() bool {
	raw, err := c.kernel.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err != nil || info.State != tcpClosed
	})
	return err == nil && open
}

// SyscallConn implements syscall.Conn.
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) { return c.kernel.SyscallConn() }

// SetLinger sets how Close treats unsent data, like that of net.TCPConn.
func (c *checkedConn) SetLinger(seconds int) error { return c.kernel.SetLinger(seconds) }
