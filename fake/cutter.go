package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Cutter is a server that breaks off each response. It opens its connections on the loopback
// interface.
type Cutter struct {
	// Response is the whole response as sent, of which Length bytes are sent.
	Response string
	Length   int
	// Resets is set if the connection then ends with a reset, not with a FIN.
	Resets bool
}

// CutResponses returns the forms in which a server may send a response whose end is marked.
func CutResponses(status int, header, body string) []string {
	head := fmt.Sprintf("HTTP/1.1 %d S\r\n%s", status, header)
	return []string{
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
	}
}

// Client returns an HTTP client of the server, without a connection that is kept.
func (c *Cutter) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.dial, DisableKeepAlives: true}, Timeout: 5 * time.Second}
}

func (c *Cutter) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	near, err := new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := listener.Accept()
	if err != nil {
		_ = near.Close()
		return nil, err
	}
	// The next request may be cut elsewhere.
	go c.serve(far, c.Response[:c.Length], c.Resets)
	return near, nil
}

func (*Cutter) serve(conn net.Conn, part string, resets bool) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// Unread bytes would make each close a reset.
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, part)
	if tcp, ok := conn.(*net.TCPConn); ok && resets {
		_ = tcp.SetLinger(0)
	}
}
