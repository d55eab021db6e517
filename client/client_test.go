package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// server answers on in-memory connections by a script of one step a request.
type server struct {
	// answers holds what is written for each request of each connection.
	answers [][]string
	// dials counts connections, and requests holds the bytes of all requests.
	dials    int
	requests []string
	// reset is set once a connection was closed by the client with a reset.
	reset bool
}

// end closes the connection in place of an answer.
const end = "END"

// resettable is a pipe that notes an abortive close.
type resettable struct {
	net.Conn
	server *server
}

// SetLinger is called before an abortive close.
func (r resettable) SetLinger(int) error {
	r.server.reset = true
	return nil
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	if s.dials >= len(s.answers) {
		return nil, errors.New("connection refused")
	}
	script := s.answers[s.dials]
	s.dials++
	near, far := net.Pipe()
	go s.serve(far, script)
	return resettable{Conn: near, server: s}, nil
}

func (s *server) serve(c net.Conn, script []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, answer := range script {
		var request strings.Builder
		length := 0
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			request.WriteString(line)
			if rest, found := strings.CutPrefix(line, "Content-Length: "); found {
				for _, digit := range strings.TrimSpace(rest) {
					length = 10*length + int(digit-'0')
				}
			}
			if line == "\r\n" {
				break
			}
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		s.requests = append(s.requests, request.String()+string(body))
		if answer == end {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
	// An endpoint keeps the connection open until the client is done with it.
	_, _ = reader.ReadByte()
}

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Echo: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func ask(id string) *Request {
	return &Request{Method: "GET", Target: "/a%2f/../b//?x=%20", Host: "h", Header: http.Header{"X-Echo": {id}}}
}

// fetch sends a request and returns its answer's body.
func fetch(c *Client, m *Request) (string, error) {
	response, err := c.Do(context.Background(), "a:1", m)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func TestClient(t *testing.T) {
	scenarios := []struct {
		testName string
		answers  [][]string
		run      func(t *testing.T, s *server, c *Client)
	}{
		{
			testName: "a request goes out byte for byte and nothing is added",
			answers:  [][]string{{answerTo("1", "ok")}},
			run: func(t *testing.T, s *server, c *Client) {
				_, err := fetch(c, ask("1"))
				assert.NilError(t, err)
				assert.Equal(t, s.requests[0], "GET /a%2f/../b//?x=%20 HTTP/1.1\r\nHost: h\r\nX-Echo: 1\r\n\r\n")
			},
		},
		{
			testName: "a connection is kept for the next request",
			answers:  [][]string{{answerTo("1", "a"), answerTo("2", "b")}},
			run: func(t *testing.T, s *server, c *Client) {
				_, err := fetch(c, ask("1"))
				assert.NilError(t, err)
				second, err := fetch(c, ask("2"))
				assert.NilError(t, err)
				assert.Equal(t, second, "b")
				assert.Equal(t, s.dials, 1)
			},
		},
		{
			testName: "a GET on a kept connection that breaks is not sent again",
			answers:  [][]string{{answerTo("1", "a"), end}, {answerTo("2", "b")}},
			run: func(t *testing.T, s *server, c *Client) {
				_, err := fetch(c, ask("1"))
				assert.NilError(t, err)
				_, err = fetch(c, ask("2"))
				assert.ErrorIs(t, err, ErrResponseLost)
				assert.Equal(t, len(s.requests), 2)
			},
		},
		{
			testName: "a refused connection says that nothing was sent",
			run: func(t *testing.T, _ *server, c *Client) {
				_, err := fetch(c, ask("1"))
				assert.ErrorIs(t, err, ErrNotSent)
			},
		},
		{
			testName: "an answer to an earlier request is passed over",
			answers:  [][]string{{answerTo("0", "old") + answerTo("1", "new")}},
			run: func(t *testing.T, _ *server, c *Client) {
				body, err := fetch(c, ask("1"))
				assert.NilError(t, err)
				assert.Equal(t, body, "new")
			},
		},
		{
			testName: "bytes after a complete answer end the connection",
			answers:  [][]string{{answerTo("1", "a") + "junk"}, {answerTo("2", "b")}},
			run: func(t *testing.T, s *server, c *Client) {
				_, err := fetch(c, ask("1"))
				assert.NilError(t, err)
				body, err := fetch(c, ask("2"))
				assert.NilError(t, err)
				assert.Equal(t, body, "b")
				assert.Equal(t, s.dials, 2)
			},
		},
		{
			testName: "a truncated answer is an error",
			answers:  [][]string{{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}},
			run: func(t *testing.T, s *server, c *Client) {
				_ = s
				response, err := c.Do(context.Background(), "a:1", ask("1"))
				assert.NilError(t, err)
				time.AfterFunc(time.Second, func() { _ = response.Body.(*body).conn.Close() })
				_, err = io.ReadAll(response.Body)
				assert.Assert(t, err != nil)
				assert.NilError(t, response.Body.Close())
			},
		},
		{
			testName: "a connection is not used beyond the time that the endpoint states",
			answers:  [][]string{{answerTo("1", "a"), answerTo("2", "never")}, {answerTo("2", "b")}},
			run: func(t *testing.T, s *server, c *Client) {
				_, err := fetch(c, ask("1"))
				assert.NilError(t, err)
				time.Sleep(5 * time.Second)
				body, err := fetch(c, ask("2"))
				assert.NilError(t, err)
				assert.Equal(t, body, "b")
				assert.Equal(t, s.dials, 2)
			},
		},
		{
			testName: "a request that is given up resets its connection",
			answers:  [][]string{{""}},
			run: func(t *testing.T, s *server, c *Client) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := c.Do(ctx, "a:1", ask("1"))
				assert.ErrorIs(t, err, ErrResponseLost)
				assert.Assert(t, s.reset, "an orderly close lets a frozen endpoint run it later")
			},
		},
		{
			testName: "an answer before a long body is read leaves no half-written connection behind",
			answers:  [][]string{{}, {answerTo("2", "b")}},
			run: func(t *testing.T, s *server, c *Client) {
				m := ask("1")
				m.Body = make([]byte, 4*inlineBody)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := c.Do(ctx, "a:1", m)
				assert.ErrorIs(t, err, ErrResponseLost)
				body, err := fetch(c, ask("2"))
				assert.NilError(t, err)
				assert.Equal(t, body, "b")
				assert.Equal(t, s.dials, 2)
			},
		},
		{
			testName: "no more connections are opened than the endpoint takes",
			answers:  [][]string{{""}, {""}},
			run: func(t *testing.T, _ *server, c *Client) {
				c.SetMaxConns("a:1", 1)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				go func() { _, _ = c.Do(ctx, "a:1", ask("1")) }()
				synctest.Wait()
				_, err := fetch(c, ask("2"))
				assert.ErrorIs(t, err, ErrMaxConns)
				assert.ErrorIs(t, err, ErrNotSent)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from := &server{answers: s.answers}
				c := NewClient(Config{Dial: from.dial, EchoHeader: "X-Echo"})
				s.run(t, from, c)
				c.Close()
				synctest.Wait()
			})
		})
	}
}

func TestStatedIdle(t *testing.T) {
	scenarios := []struct {
		value  string
		span   time.Duration
		stated bool
	}{
		{value: "timeout=5", span: 5 * time.Second, stated: true},
		{value: "max=3, Timeout=12", span: 12 * time.Second, stated: true},
		{value: ""},
		{value: "timeout=x"},
	}
	for _, s := range scenarios {
		span, stated := statedIdle(http.Header{"Keep-Alive": {s.value}})
		assert.Equal(t, span, s.span)
		assert.Equal(t, stated, s.stated)
	}
}
