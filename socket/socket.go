// Package socket opens the TCP connections of real processes, with the limits
// that let a vanished peer be noticed.
package socket

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may stay without an acknowledgement
	// before the kernel gives the connection up.
	UserTimeout = 5 * time.Second
	dialTimeout = time.Second
	// idleConnections is kept open to each peer.
	idleConnections = 64
	idleTimeout     = 90 * time.Second
)

// keepAlive finds a silent peer that vanished within UserTimeout.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Listen opens a listener whose connections have the limits.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// Dial opens a connection with the limits.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return newDialer().DialContext(ctx, network, address)
}

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// NewClient returns an HTTP client whose connections have the limits. It knows
// no proxies, as all addresses are IP numbers of our own network.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         newDialer().DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}

func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
