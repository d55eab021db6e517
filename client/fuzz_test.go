package client

import (
	"context"
	"io"
	"maps"
	"net"
	"regexp"
	"slices"
	"testing"
	"time"
)

// validName matches a token (RFC 9110, 5.6.2).
var validName = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// FuzzResponse reads any bytes as a response, and checks that a complete one is never taken
// for another request's, and that its status and the names of its fields are valid.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Echo: 1\r\nContent-Length: 1\r\n\r\na"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Echo: 2\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 OK\r\nX-Echo: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Echo: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Echo: 1\r\nContent-Length : 5\r\n\r\na"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Echo: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := NewClient(Config{EchoHeader: "X-Echo", Dial: func(context.Context, string, string) (net.Conn, error) {
			clientSide, serverSide := net.Pipe()
			go func() {
				defer func() { _ = serverSide.Close() }()
				_, _ = serverSide.Read(make([]byte, 4096))
				_, _ = serverSide.Write(data)
			}()
			return clientSide, nil
		}})
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		response, err := c.Do(ctx, "a:1", newRequest("1"))
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if echoed := response.Header.Get("X-Echo"); echoed != "" && echoed != "1" {
			t.Fatalf("the response belongs to request %q", echoed)
		}
		if response.StatusCode < 200 || response.StatusCode > 599 {
			t.Fatalf("the status is %d", response.StatusCode)
		}
		names := slices.Collect(maps.Keys(response.Header))
		if err == nil {
			names = slices.AppendSeq(names, maps.Keys(response.Trailer))
		}
		for _, name := range names {
			if !validName.MatchString(name) {
				t.Fatalf("a field has the name %q", name)
			}
		}
	})
}
