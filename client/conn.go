package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"crocusstep/ident"
)

// inlineBody is the largest body that is written before the answer is read.
// Larger ones are written beside the reading, as an endpoint may answer early.
const inlineBody = 4 << 10

// Request is one request as it goes out.
type Request struct {
	Method string
	// Target is path and query exactly as they came.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if a length is stated even for an empty body.
	HasBody bool
}

func (m *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	for name, values := range m.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if m.HasBody || len(m.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(m.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// conn is one connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when an idle connection may no longer be used.
	expires time.Time
	// written is closed when the whole request was handed to the kernel; it is
	// nil while no write is under way.
	written chan error
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, 4<<10)}
}

// usable reports whether an idle connection has neither expired, nor been
// closed, nor received bytes that nobody asked for.
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
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// abort closes a connection with a reset, so that an endpoint which has not read
// the request yet, as it is frozen or cut off, does not run it later.
func (k *conn) abort() {
	if tcp, ok := k.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// Without it the close is an orderly one, which is the next best.
		_ = tcp.SetLinger(0)
	}
	_ = k.Close()
}

// exchange sends a message and reads the head of the answer to it.
func (k *conn) exchange(ctx context.Context, m *Request, echo string) (*http.Response, error) {
	if err := k.send(m); err != nil {
		return nil, errors.Join(ErrResponseLost, context.Cause(ctx), err)
	}
	request := &http.Request{Method: m.Method}
	for range straysMost {
		response, err := http.ReadResponse(k.reader, request)
		if err != nil {
			return nil, errors.Join(ErrResponseLost, context.Cause(ctx), err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		answered := response.Header.Get(echo)
		if echo == "" || answered == "" || answered == m.Header.Get(echo) {
			return response, nil
		}
		// An answer to an earlier request of this connection: ours may follow.
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.ContentLength < 0 {
			return nil, errors.Join(ErrResponseLost, errors.New("the answer belongs to another request"))
		}
	}
	return nil, errors.Join(ErrResponseLost, errors.New("only answers to other requests came"))
}

func (k *conn) send(m *Request) error {
	k.written = make(chan error, 1)
	data := append(m.head(), m.Body...)
	if len(m.Body) <= inlineBody {
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

// reusable reports whether the next request may follow on the connection, and
// until when.
func (k *conn) reusable(response *http.Response, now time.Time) bool {
	select {
	case err := <-k.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if response.Close || k.reader.Buffered() > 0 || unframed(response) {
		return false
	}
	limit, stated := statedIdle(response.Header)
	if !stated {
		limit = idleLimit
	}
	limit -= idleMargin
	k.expires = now.Add(limit)
	return limit > 0
}

// unframed reports whether the answer ends with its connection.
func unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// statedIdle reads the time after which an endpoint closes idle connections.
func statedIdle(header http.Header) (time.Duration, bool) {
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

// body gives its connection back once it was read to its end.
type body struct {
	io.ReadCloser
	response *http.Response
	client   *Client
	address  ident.Address
	conn     *conn
	// stop ends the context's hold on the connection.
	stop func() bool
	// whole is true once the answer's end was seen.
	whole  bool
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end takes its
// connection with it, which tells the endpoint to stop.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	alive := b.stop()
	if alive && b.whole && b.conn.reusable(b.response, time.Now()) {
		b.client.keep(b.address, b.conn)
		return nil
	}
	b.client.drop(b.address, b.conn)
	return nil
}
