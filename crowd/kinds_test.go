package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
)

const (
	// endlessBytes bounds what is sent without end.
	endlessBytes = 16 << 20
	pieceBytes   = 4 << 10
	chunkBytes   = 64 << 10
)

// target is where the requests of a crowd go.
type target struct {
	// head is the request line and the fields of a request, without what frames its body.
	head string
	// body is a whole body of the largest size.
	body []byte
}

// write sends parts until one fails.
func write(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return closedError(err)
		}
	}
	return nil
}

// manyFields returns fields of a few bytes each.
func manyFields(size int) []byte {
	var fields bytes.Buffer
	for i := 0; fields.Len() < size; i++ {
		_, _ = fmt.Fprintf(&fields, "f%x:\r\n", i)
	}
	return fields.Bytes()
}

// endless sends a piece again and again.
func endless(start string, piece []byte) func(net.Conn) error {
	return func(conn net.Conn) error {
		if err := write(conn, []byte(start)); err != nil {
			return err
		}
		for sent := 0; sent < endlessBytes; sent += len(piece) {
			if err := write(conn, piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// whole returns a request with its whole body.
func (t target) whole() []byte {
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.head, len(t.body)), t.body...)
}

// short returns a request whose body lacks its last byte.
func (t target) short() []byte {
	whole := t.whole()
	return whole[:len(whole)-1]
}

// chunked returns a chunked request that lacks its end.
func (t target) chunked(size int) []byte {
	request := []byte(t.head + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := t.body[:len(t.body)-1]; len(rest) > 0; {
		n := min(size, len(rest))
		request = fmt.Appendf(request, "%x\r\n", n)
		request = append(append(request, rest[:n]...), "\r\n"...)
		rest = rest[n:]
	}
	return request
}

// once sends one piece of data.
func once(data []byte) func(net.Conn) error {
	return func(conn net.Conn) error { return write(conn, data) }
}

// heads returns the crowds whose requests have no end to their heads.
func (t target) heads() []crowd {
	field := []byte("Padding: " + strings.Repeat("p", chunkBytes) + "\r\n")
	manyOver := append([]byte(t.head), manyFields(110<<10)...)
	return []crowd{
		{testName: "whole heads over the limit", size: 200, answers: true, send: once([]byte(t.head + "Padding: " + strings.Repeat("p", 100<<10) + "\r\n\r\n"))},
		{testName: "heads without end", size: 64, send: endless(t.head, field)},
		{testName: "heads of many fields that stop short of their end", size: 400, send: once(manyOver)},
		{testName: "heads of one field that stop short of their end", size: 900, send: once([]byte(t.head + "Padding: " + strings.Repeat("p", 110<<10)))},
		{testName: "empty lines without end", size: 64, send: endless("", bytes.Repeat([]byte("\r\n"), chunkBytes/2))},
		{testName: "idle connections", size: 600, descriptors: 256, send: func(net.Conn) error { return nil }},
	}
}

// bodies returns the crowds with large bodies.
func (t target) bodies(size int) []crowd {
	short := t.short()
	pieces := func(conn net.Conn) error {
		for rest := short; len(rest) > 0; {
			n := min(pieceBytes, len(rest))
			if err := write(conn, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		return nil
	}
	pipelined := append(t.whole(), bytes.Repeat([]byte("p"), len(t.body))...)
	return []crowd{
		{testName: "whole bodies", size: size, answers: true, send: once(t.whole())},
		{testName: "bodies that stop short of their end", size: size, send: once(short)},
		{testName: "bodies in pieces that stop short of their end", size: size, send: pieces},
		{testName: "large chunks that stop short of their end", size: size, send: once(t.chunked(chunkBytes))},
		{testName: "chunks of one byte that stop short of their end", size: size, send: once(t.chunked(1))},
		{testName: "bytes behind a whole request", size: size, send: func(conn net.Conn) error {
			_, err := io.Copy(conn, bytes.NewReader(pipelined))
			return closedError(err)
		}},
	}
}
