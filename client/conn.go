package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"crocusstep/ident"
	"crocusstep/reply"
	"crocusstep/socket"
)

// maxInlineBodyBytes is the largest body that is written before the response is read.
// Larger bodies are written concurrently, because an endpoint may respond early.
const maxInlineBodyBytes = 4 << 10

// maxCarried limits the requests with an id on one connection, which remembers their ids in 8 bytes
// each. One more connection in a thousand requests costs endpoints little.
const maxCarried = 1000

// Request is an HTTP request, which is sent as given.
type Request struct {
	Method string
	// Target is the path and query exactly as received.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes the request state a Content-Length even for an empty body.
	HasBody bool
}

// head encodes the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// errHeadTooLong means that the heads of the responses exceed maxHeadBytes.
var errHeadTooLong = errors.New("the head of the response is too long")

// limitedReader reads from a connection, up to a limit while a head is read.
type limitedReader struct {
	reader io.Reader
	// remaining is the number of bytes that may be read, negative if there is no limit.
	remaining int
	// failure is the error of the last read, or nil.
	failure error
	// records is set while the bytes read are added to recorded.
	records  bool
	recorded []byte
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	switch {
	case l.remaining == 0:
		l.failure = errHeadTooLong
		return 0, errHeadTooLong
	case l.remaining > 0:
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.reader.Read(p)
	l.failure = err
	if l.remaining > 0 {
		l.remaining -= n
	}
	if l.records {
		l.recorded = append(l.recorded, p[:n]...)
	}
	return n, err
}

// conn is one connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	limited *limitedReader
	// reader reads from limited.
	reader *bufio.Reader
	// reused is set once a response was read completely.
	reused bool
	// carried holds the hashes of the ids of all requests that were sent. None occurs twice, so
	// that a copy of an earlier response never has the id of a later request.
	carried []uint64
	seed    maphash.Seed
	// faulty is set once a response to another request was received.
	faulty bool
	// expires is the time after which the idle connection must not be used.
	expires time.Time
	// written receives the result of the write once the whole request was passed to the
	// kernel; it is nil before the first request.
	written chan error
}

func newConn(raw net.Conn) *conn {
	raw = socket.ReportResets(raw)
	limited := &limitedReader{reader: raw}
	return &conn{Conn: raw, limited: limited, reader: bufio.NewReaderSize(limited, 4<<10), seed: maphash.MakeSeed()}
}

// hasCarried reports whether a request with an id was sent on the connection.
func (k *conn) hasCarried(id string) bool {
	return slices.Contains(k.carried, maphash.String(k.seed, id))
}

// usable reports whether an idle connection has not expired, is still open and has
// received no unexpected bytes.
func (k *conn) usable(now time.Time) bool {
	if now.After(k.expires) || k.reader.Buffered() > 0 {
		return false
	}
	raw, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// abort closes a connection with a TCP reset, so that an endpoint that has not read the
// request yet, because it is frozen or partitioned, does not execute it later.
func (k *conn) abort() {
	if tcp, ok := k.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// If it fails, Close sends a FIN instead of a reset.
		_ = tcp.SetLinger(0)
	}
	_ = k.Close()
}

// roundTrip sends a request and reads the head of its response. It skips informational
// responses and those whose header echo has another value than the request's.
func (k *conn) roundTrip(ctx context.Context, r *Request, echo string) (*http.Response, error) {
	if id := r.Header.Get(echo); id != "" {
		k.carried = append(k.carried, maphash.String(k.seed, id))
	}
	if err := k.send(r); err != nil {
		return nil, errors.Join(ErrResponseLost, context.Cause(ctx), err)
	}
	for range maxResponseReads {
		response, err := k.readHead(r.Method)
		if err != nil {
			return nil, errors.Join(ErrResponseLost, context.Cause(ctx), err)
		}
		ids := response.Header.Values(echo)
		if slices.ContainsFunc(ids, func(id string) bool { return id != ids[0] }) {
			// The head was cut, and that of another response follows.
			return nil, errors.Join(ErrResponseLost, errors.New("the response belongs to several requests"))
		}
		if k.isResponseTo(r, response, echo) {
			return response, nil
		}
		// A response to an earlier request on this connection; the expected one may follow.
		k.faulty = true
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil || skipped == maxSkippedBytes || FramingOf(response) == FramedByClose {
			return nil, errors.Join(ErrResponseLost, errors.New("the response belongs to another request"))
		}
	}
	return nil, errors.Join(ErrResponseLost, errors.New("received only responses to other requests"))
}

// isResponseTo reports whether a response echoes the request's value of a header. One that
// echoes none may be a late copy of an earlier response, unless the request is the first on
// its connection.
func (k *conn) isResponseTo(r *Request, response *http.Response, echo string) bool {
	want, echoed := r.Header.Get(echo), response.Header.Get(echo)
	return echo == "" || echoed == want || echoed == "" && !k.reused
}

// readHead reads the head of the next response that is not informational.
func (k *conn) readHead(method string) (*http.Response, error) {
	k.limited.remaining = maxHeadBytes
	defer func() { k.limited.remaining = -1 }()
	for {
		response, err := k.readOneHead(method)
		switch {
		case err != nil && k.limited.failure == nil:
			return nil, reply.Malformed(reply.FlawSyntax, err)
		case err != nil:
			return nil, err
		}
		if err := reply.CheckHead(response); err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// protoHTTP10 begins a response with HTTP/1.0.
const protoHTTP10 = "HTTP/1.0"

// errChunksInHTTP10 means that a response with HTTP/1.0 states an encoding of its body, which shows
// that its end is not that of its connection (RFC 9112, 6.1).
var errChunksInHTTP10 = errors.New("the response has a transfer encoding, which HTTP/1.0 lacks")

// readOneHead reads the head of the next response. http.ReadResponse ignores a transfer encoding
// with HTTP/1.0.
func (k *conn) readOneHead(method string) (*http.Response, error) {
	first, err := k.reader.Peek(len(protoHTTP10))
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case string(first) != protoHTTP10:
		return http.ReadResponse(k.reader, &http.Request{Method: method})
	}
	buffered, _ := k.reader.Peek(k.reader.Buffered())
	k.limited.recorded, k.limited.records = bytes.Clone(buffered), true
	defer func() { k.limited.recorded, k.limited.records = nil, false }()
	response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	head := k.limited.recorded[:len(k.limited.recorded)-k.reader.Buffered()]
	if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
		return nil, errChunksInHTTP10
	}
	return response, nil
}

// send writes a request. It returns before a large body is written.
func (k *conn) send(r *Request) error {
	k.written = make(chan error, 1)
	data := append(r.head(), r.Body...)
	if len(r.Body) <= maxInlineBodyBytes {
		_, err := k.Write(data)
		k.written <- err
		return err
	}
	written := k.written
	go func() {
		_, err := k.Write(data)
		written <- err
	}()
	return nil
}

// reusable reports whether the connection can be used for another request. If so, it sets
// the time when the connection expires.
func (k *conn) reusable(response *http.Response, now time.Time) bool {
	select {
	case err := <-k.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if k.faulty || len(k.carried) >= maxCarried {
		return false
	}
	if response.Close || k.reader.Buffered() > 0 || FramingOf(response) == FramedByClose {
		return false
	}
	timeout, found := keepAliveTimeout(response.Header)
	if !found {
		timeout = defaultIdleTimeout
	}
	k.reused = true
	timeout -= idleTimeoutMargin
	k.expires = now.Add(timeout)
	return timeout > 0
}

// Framing is how the end of a response's body is marked.
type Framing string

// The ways to mark the end of a body.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with its connection.
	FramedByClose Framing = "close"
)

// FramingOf returns how the end of a response's body is marked.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength < 0 && response.Body != http.NoBody:
		return FramedByClose
	}
	return FramedByLength
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, and whether it
// is present and valid.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// body is a response body that returns its connection to the pool when it is closed after
// its end was read.
type body struct {
	io.ReadCloser
	response *http.Response
	client   *Client
	address  ident.Address
	conn     *conn
	// cancelAbort keeps the context from aborting the connection; it returns false if the
	// abort has already started.
	cancelAbort func() bool
	// complete is set once the end of the body was read.
	complete atomic.Bool
	closed   atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err = reply.CheckEnd(b.response, err); errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	return n, err
}

// Close implements io.Closer and may be called during a Read. If the body was not read to
// its end, it aborts the connection, which tells the endpoint to stop.
func (b *body) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	alive := b.cancelAbort()
	if alive && b.complete.Load() && b.conn.reusable(b.response, time.Now()) {
		b.client.putIdle(b.address, b.conn)
		return nil
	}
	b.client.discard(b.address, b.conn)
	return nil
}
