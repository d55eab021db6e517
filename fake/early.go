package fake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// smallReceiveBuffer makes the upload of a request wait for its server.
	smallReceiveBuffer = 4 << 10
	// drainTime bounds the reading of the rest of a request.
	drainTime = 500 * time.Millisecond
	// silence is how long nothing is read before the connection is closed.
	silence = 200 * time.Millisecond
)

// EarlyEnd is how a server ends its connection after a response that came before the whole request.
type EarlyEnd string

// The ends of a connection. All but the first are sound.
const (
	// EndByReset resets the connection, so that the rest of the response may be lost.
	EndByReset EarlyEnd = "reset"
	// EndByFIN ends the response, and reads the rest of the request.
	EndByFIN EarlyEnd = "end, then the rest of the request is read"
	// EndThenSilence ends the response and reads nothing for a while.
	EndThenSilence EarlyEnd = "end, then nothing is read"
	// EndThenReset ends the response, and resets the connection later.
	EndThenReset EarlyEnd = "end, then a reset"
)

// EarlyResponse is a response that is sent as soon as the head of a request was read.
type EarlyResponse struct {
	Version, Status, Body string
	// Fields are those of the response, each with its CRLF.
	Fields string
	// Framing is "close", "length" or "chunks".
	Framing string
	End     EarlyEnd
	// ReadBytes is how much of the request's body is read before.
	ReadBytes int64
	// Delay is the time between the response and the end.
	Delay time.Duration
}

// String describes the response.
func (e EarlyResponse) String() string {
	return fmt.Sprintf("%s %s by %s, %s after %s, %d bytes read", e.Version, e.Status, e.Framing, e.End, e.Delay, e.ReadBytes)
}

// Send sends the response.
func (e EarlyResponse) Send(conn *net.TCPConn, r *http.Request) {
	_ = conn.SetReadBuffer(smallReceiveBuffer)
	_, _ = io.CopyN(io.Discard, r.Body, e.ReadBytes)
	head, body := e.Version+" "+e.Status+"\r\n"+e.Fields, e.Body
	switch e.Framing {
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case "chunks":
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body)
	time.Sleep(e.Delay)
	if e.End == EndByReset {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	switch e.End {
	case EndByFIN:
		_ = conn.SetReadDeadline(time.Now().Add(drainTime))
		_, _ = io.Copy(io.Discard, conn)
	case EndThenSilence:
		time.Sleep(silence)
	case EndThenReset:
		time.Sleep(10 * time.Millisecond)
		_ = conn.SetLinger(0)
	}
}
