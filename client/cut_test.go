package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// cutBody is longer than 99 bytes, so that a length that is cut is still a number.
var cutBody = strings.Repeat("whole body, ", 10)

// cutForm is a complete response that an endpoint cuts.
type cutForm struct {
	testName string
	// head has CRLF line ends and lacks its last, empty line; body is as sent.
	head, body string
	method     string
	// endsWithConn is set if only the end of its connection ends the body.
	endsWithConn bool
}

const cutID = "X-Id: mine\r\n"

func chunked(trailer string) string {
	return fmt.Sprintf("%x;name=\"value\"\r\n%s\r\n%X\r\n%s\r\n0\r\n%s\r\n", 10, cutBody[:10], len(cutBody)-10, cutBody[10:], trailer)
}

func cutForms() []cutForm {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(cutBody))
	forms := []cutForm{
		{testName: "length last", head: "HTTP/1.1 200 OK\r\n" + cutID + "X-Seal: s\r\nContent-Type: text/plain\r\n" + length, body: cutBody},
		{testName: "length first", head: "HTTP/1.1 200 OK\r\n" + length + "X-Seal: s\r\n" + cutID, body: cutBody},
		{testName: "folded lines", head: "HTTP/1.1 200 OK\r\n" + cutID + "X-Seal: s,\r\n \t \r\n  rest\r\nContent-Length:\r\n 120\r\n", body: cutBody},
		{testName: "no reason", head: "HTTP/1.1 200\r\n" + cutID + length, body: cutBody},
		{testName: "chunks", head: "HTTP/1.1 200 OK\r\n" + cutID + "Transfer-Encoding: chunked\r\n", body: chunked("")},
		{testName: "chunks and a trailer", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + cutID, body: chunked("X-A: b\r\nX-B: c\r\n")},
		{testName: "chunks and a length", head: "HTTP/1.1 200 OK\r\n" + cutID + "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n", body: chunked("")},
		{testName: "neither length nor chunks", head: "HTTP/1.1 200 OK\r\n" + cutID + "Content-Type: text/plain\r\n", body: cutBody, endsWithConn: true},
		{testName: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\n" + cutID + length, body: cutBody},
		{testName: "HTTP/1.0 without length", head: "HTTP/1.0 200 OK\r\n" + cutID, body: cutBody, endsWithConn: true},
		{testName: "no body", head: "HTTP/1.1 204 No Content\r\n" + cutID},
		{testName: "an empty body", head: "HTTP/1.1 200 OK\r\n" + cutID + "Content-Length: 0\r\n"},
		{testName: "a HEAD request", method: http.MethodHead, head: "HTTP/1.1 200 OK\r\n" + cutID + length},
	}
	for i := range forms {
		if forms[i].method == "" {
			forms[i].method = http.MethodPost
		}
	}
	return forms
}

// cutPrefixes are the informational responses and those to other requests that may precede a
// response.
var cutPrefixes = []string{
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nX-Id: earlier\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 5\r\n\r\nother",
	"HTTP/1.1 200 OK\r\nX-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
}

// cut is one cut of a response.
type cut struct {
	cutForm
	prefix, lineEnd string
	// at is the number of bytes that are sent of the response.
	at int
	// isReused is set if the connection has carried a response before.
	isReused bool
	// bytewise is set if each byte is sent by itself.
	bytewise bool
	// resets is set if the connection is reset, stays if it stays open.
	resets, stays bool
}

// headLength returns the length of the head.
func (c *cut) headLength() int {
	return len(strings.ReplaceAll(c.head+"\r\n", "\r\n", c.lineEnd))
}

func (c *cut) response() string {
	return strings.ReplaceAll(c.head+"\r\n", "\r\n", c.lineEnd) + c.body
}

func (c *cut) String() string {
	return fmt.Sprintf("%s after %q, line ends %q, cut after %d of %d bytes, reused %v, bytewise %v, reset %v, left open %v",
		c.testName, c.prefix, c.lineEnd, c.at, len(c.response()), c.isReused, c.bytewise, c.resets, c.stays)
}

// serve responds to the requests of a connection.
func (c *cut) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	if c.isReused {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 5\r\n\r\nfirst")
	}
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	text := c.prefix + c.response()[:c.at]
	for len(text) > 0 && c.bytewise {
		if _, err := io.WriteString(conn, text[:1]); err != nil {
			return
		}
		text = text[1:]
	}
	if text != "" {
		_, _ = io.WriteString(conn, text)
	}
	if c.stays {
		_, _ = reader.ReadByte()
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.resets {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// exchangeID sends a request with an id and reads the response.
func exchangeID(ctx context.Context, c *Client, method, id string) (*http.Response, string, error) {
	response, err := c.Do(ctx, "a:1", &Request{Method: method, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response, string(body), err
}

// check fails if the client takes the part for a complete response.
func (c *cut) check(t *testing.T, dial DialFunc) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	client := NewClient(Config{Dial: dial, EchoHeader: "X-Id"})
	defer client.Close()
	if c.isReused {
		_, body, err := exchangeID(ctx, client, http.MethodGet, "first")
		assert.NilError(t, err)
		assert.Equal(t, body, "first")
	}
	response, body, err := exchangeID(ctx, client, c.method, "mine")
	whole := c.response()
	switch {
	case c.endsWithConn && c.at >= c.headLength() && !c.resets && !c.stays:
		// Nothing shows whether more was to come.
		assert.NilError(t, err, "%s", c)
		assert.Equal(t, body, c.body[:c.at-c.headLength()], "%s", c)
		assert.Equal(t, FramingOf(response), FramedByClose)
	case c.at == len(whole) && !c.resets && !c.endsWithConn:
		assert.NilError(t, err, "%s", c)
	case c.at < len(whole) || c.endsWithConn:
		assert.Assert(t, err != nil, "%s: status %d, body %q", c, statusOf(response), body)
	}
	if err != nil {
		return
	}
	for name, values := range response.Header {
		assert.Equal(t, len(values), 1, "%s: %s", c, name)
	}
	if !c.endsWithConn && c.method != http.MethodHead && c.body != "" {
		assert.Equal(t, body, cutBody, "%s", c)
	}
}

func statusOf(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}

// cutVariants returns the ways in which a response is sent before it is cut.
func cutVariants(form cutForm) []cut {
	var variants []cut
	for _, lineEnd := range []string{"\r\n", "\n"} {
		for i := range 4 {
			variants = append(variants, cut{cutForm: form, lineEnd: lineEnd, isReused: i%2 == 1, bytewise: i/2 == 1})
		}
	}
	for i, prefix := range cutPrefixes {
		if form.method == http.MethodHead && strings.HasPrefix(prefix, "HTTP/1.1 200") {
			// Nothing shows that the earlier request was no HEAD, too, so that the response is lost.
			continue
		}
		variants = append(variants, cut{cutForm: form, prefix: prefix, lineEnd: "\r\n", isReused: i%2 == 1})
	}
	return variants
}

// TestCutResponse guards against responses that an endpoint cuts at any byte of the head or body
// and that the client takes for complete ones, in particular with a shorter length or without one.
func TestCutResponse(t *testing.T) {
	for _, form := range cutForms() {
		t.Run(form.testName, func(t *testing.T) {
			for _, c := range cutVariants(form) {
				for c.at = range len(c.response()) + 1 {
					c.check(t, func(context.Context, string, string) (net.Conn, error) {
						near, far := net.Pipe()
						go c.serve(far)
						return near, nil
					})
				}
			}
		})
	}
}

// TestCutResponseOnSockets guards against cuts that only sockets show as the end of a response:
// a FIN, and a reset, which may come before or after the bytes that precede it.
func TestCutResponseOnSockets(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	for _, form := range cutForms() {
		t.Run(form.testName, func(t *testing.T) {
			for variant := range 4 {
				c := cut{cutForm: form, lineEnd: "\r\n", isReused: variant%2 == 1, resets: variant/2 == 1}
				for c.at = range len(c.response()) + 1 {
					served := make(chan struct{})
					c.check(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
						near, err := new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
						if err != nil {
							return nil, err
						}
						far, err := listener.Accept()
						if err != nil {
							return nil, err
						}
						go func() {
							defer close(served)
							c.serve(far)
						}()
						return near, nil
					})
					<-served
				}
			}
		})
	}
}

// TestSilentInResponse guards against an endpoint that falls silent in the middle of a response
// and whose request ends with a success, or later than its deadline.
func TestSilentInResponse(t *testing.T) {
	for _, form := range cutForms() {
		t.Run(form.testName, func(t *testing.T) {
			for _, isReused := range []bool{false, true} {
				c := cut{cutForm: form, lineEnd: "\r\n", isReused: isReused, stays: true}
				for c.at = range len(c.response()) + 1 {
					synctest.Test(t, func(t *testing.T) {
						began := time.Now()
						c.check(t, func(context.Context, string, string) (net.Conn, error) {
							near, far := net.Pipe()
							go c.serve(far)
							return near, nil
						})
						took := time.Since(began)
						assert.Assert(t, took <= 2*time.Second, "%s took %s", &c, took)
					})
				}
			}
		})
	}
}
