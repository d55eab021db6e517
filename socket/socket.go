// Package socket opens TCP connections with timeouts that detect an unreachable
// peer.
package socket

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may remain unacknowledged before the kernel
	// closes the connection (TCP_USER_TIMEOUT).
	UserTimeout         = 5 * time.Second
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
	maxHeadBytes        = 64 << 10
	// receiveBufferBytes and sendBufferBytes are the sizes of the kernel's buffers for an accepted
	// connection, which may hold twice as much. Unread bytes count as memory of the process. With a
	// smaller send buffer than two segments of the loopback interface, each waits for a delayed
	// acknowledgement.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 64 << 10
)

// keepAlive detects an unreachable idle peer within UserTimeout: 2 s idle, then 3
// probes at an interval of 1 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Listen opens a TCP listener whose connections have the timeouts and small buffers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: func(network, address string, conn syscall.RawConn) error {
		return errors.Join(setUserTimeout(network, address, conn), setBuffers(conn))
	}}
	return config.Listen(ctx, "tcp", address)
}

// setBuffers limits the buffers of a socket. Connections that it accepts inherit the limits.
func setBuffers(conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		// A kernel without the options has limits of its own.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
}

// Dial opens a connection with the timeouts.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return newDialer().DialContext(ctx, network, address)
}

// dialChecked opens a connection with the timeouts whose reads report a reset.
func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return ReportResets(conn), nil
}

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// NewClient returns an HTTP client whose connections have the timeouts.
func NewClient() *http.Client { return &http.Client{Transport: NewTransport()} }

// NewTransport returns a transport whose connections have the timeouts. It uses no proxy, since
// all addresses are IP addresses of the internal network.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dialChecked,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		// The head of a response is small; a faulty peer may send one without end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
