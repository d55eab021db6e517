package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"crocusstep/socket"
)

// errNotConnected means that a request was never sent, as no connection could be opened.
var errNotConnected = errors.New("no connection was accepted")

// errUnread means that the other side ended the connection without having read the request, as TCP
// shows: it answers bytes that nobody reads with a reset.
var errUnread = errors.New("the request was not read")

// connectTimeout bounds how long a caller waits for a connection.
const connectTimeout = time.Second

// keptConns is an http.RoundTripper of one caller. It keeps one connection to each address and
// uses it until the other side closes it. It never sends a request again, which the transport of
// net/http may do, so that each request has exactly one fate.
type keptConns struct {
	mutex sync.Mutex
	conns map[string]*keptConn
}

type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func newKeptConns() *keptConns { return &keptConns{conns: map[string]*keptConn{}} }

// take returns the kept connection to an address, or a new one.
func (k *keptConns) take(ctx context.Context, address string) (*keptConn, error) {
	k.mutex.Lock()
	c := k.conns[address]
	delete(k.conns, address)
	k.mutex.Unlock()
	if c != nil && c.isOpen() {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := socket.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(errNotConnected, err)
	}
	return &keptConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// isOpen reports whether the other side has not closed the connection, as far as its caller can know
// when it sends. It closes a connection that has ended.
func (c *keptConn) isOpen() bool {
	const peekTime = 200 * time.Microsecond
	// If it fails, the connection is broken, which the read shows.
	_ = c.SetReadDeadline(time.Now().Add(peekTime))
	if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	// Bytes that nobody asked for end a connection, too.
	_ = c.Close()
	return false
}

// wasReset reports whether the other side has reset the connection that ended with an error. Where
// the end came first, the reset shows in the next write.
func (c *keptConn) wasReset(err error) bool {
	const resetTime = 20 * time.Millisecond
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	time.Sleep(resetTime)
	_, err = c.Write([]byte("\n"))
	return err != nil
}

func (k *keptConns) keep(address string, c *keptConn) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if old := k.conns[address]; old != nil {
		_ = old.Close()
	}
	k.conns[address] = c
}

func (k *keptConns) close() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, c := range k.conns {
		_ = c.Close()
	}
	clear(k.conns)
}

// RoundTrip implements http.RoundTripper.
func (k *keptConns) RoundTrip(request *http.Request) (*http.Response, error) {
	address := request.URL.Host
	c, err := k.take(request.Context(), address)
	if err != nil {
		return nil, err
	}
	// Without a deadline in the context the zero time is none.
	deadline, _ := request.Context().Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	err = request.Write(c)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, request)
	}
	if err != nil {
		if c.wasReset(err) {
			err = errors.Join(err, errUnread)
		}
		return nil, errors.Join(err, c.Close())
	}
	response.Body = &keptBody{ReadCloser: response.Body, done: func(complete bool) {
		if complete && !response.Close {
			k.keep(address, c)
			return
		}
		_ = c.Close()
	}}
	return response, nil
}

// keptBody returns its connection for further requests if the body was read completely.
type keptBody struct {
	io.ReadCloser
	done     func(complete bool)
	complete bool
}

// Read implements io.Reader.
func (b *keptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer. A body whose last part was read may not have shown its end yet.
func (b *keptBody) Close() error {
	if !b.complete {
		_, err := io.CopyN(io.Discard, b, 1)
		b.complete = errors.Is(err, io.EOF)
	}
	if b.done != nil {
		b.done(b.complete)
		b.done = nil
	}
	return nil
}

// endingOf returns how a request without a complete response ended for its caller.
func endingOf(err error, responded bool) ending {
	switch {
	case errors.Is(err, errNotConnected):
		return notSent
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return outOfPatience
	case responded:
		return cutOff
	case errors.Is(err, errUnread):
		return closedUnread
	}
	return closedUnanswered
}
