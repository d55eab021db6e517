package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKeptConns guards against requests that are sent twice and against ends that are told as others.
func TestKeptConns(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	scenarios := []struct {
		testName  string
		responses []string
		want      []ending
		// conns is the number of connections that are opened.
		conns int
	}{
		{"one connection", []string{whole, whole}, []ending{answered, answered}, 1},
		{"closed by the response", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", whole}, []ending{answered, answered}, 2},
		{"closed unanswered", []string{whole, "", whole}, []ending{answered, closedUnanswered, answered}, 2},
		{"closed unread", []string{"unread", whole}, []ending{closedUnread, answered}, 2},
		{"cut", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", whole}, []ending{cutOff, answered}, 2},
		{"silent", []string{"silent"}, []ending{outOfPatience}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			accepted := make(chan int, 1)
			go func() { accepted <- serveResponses(listener, s.responses) }()
			conns := newKeptConns()
			defer conns.close()
			for _, want := range s.want {
				assert.Equal(t, sendThrough(conns, listener.Addr().String()), want)
			}
			conns.close()
			assert.NilError(t, listener.Close())
			assert.Equal(t, <-accepted, s.conns)
			assert.Equal(t, sendThrough(conns, listener.Addr().String()), notSent)
		})
	}
}

// serveResponses writes one response to each request and returns the number of connections. An
// empty response closes the connection, as does one that is incomplete.
func serveResponses(listener net.Listener, responses []string) (conns int) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return conns
		}
		conns++
		reader := bufio.NewReader(c)
		for len(responses) > 0 {
			if responses[0] == "unread" {
				time.Sleep(10 * time.Millisecond)
				responses = responses[1:]
				break
			}
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, request.Body)
			response := responses[0]
			responses = responses[1:]
			if response == "silent" {
				continue
			}
			_, _ = io.WriteString(c, response)
			if response == "" || strings.Contains(response, "close") || strings.Contains(response, "9") {
				break
			}
		}
		if len(responses) > 0 {
			_ = c.Close()
			continue
		}
		defer func() { _ = c.Close() }()
	}
}

func sendThrough(conns *keptConns, address string) ending {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("body"))
	if err != nil {
		return ""
	}
	response, err := conns.RoundTrip(request)
	if err != nil {
		return endingOf(err, false)
	}
	_, err = io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return endingOf(err, true)
	}
	return answered
}
