package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

// copier is a faulty endpoint that writes responses of a connection once more.
type copier struct {
	random *rand.Rand
	// copyShare is the share of requests at which it does so.
	copyShare float64

	mutex  sync.Mutex
	conns  int
	copies int
	// statuses holds the status of the response to each request, by target.
	statuses map[string]int
}

func (s *copier) dial(context.Context, string, string) (net.Conn, error) {
	clientSide, serverSide := net.Pipe()
	s.mutex.Lock()
	s.conns++
	s.mutex.Unlock()
	go s.serve(serverSide)
	return clientSide, nil
}

// respond returns the response to a request, and the bytes before and after it, given the responses
// that the connection has carried.
func (s *copier) respond(r *http.Request, carried []string) (before, response, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := http.StatusOK
	if s.random.IntN(2) == 0 {
		status = http.StatusServiceUnavailable
	}
	s.statuses[r.URL.Path] = status
	response = fmt.Sprintf("HTTP/1.1 %d S\r\nX-Echo: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Echo"), len(r.URL.Path), r.URL.Path)
	for len(carried) > 0 && s.random.Float64() < s.copyShare {
		s.copies++
		if s.random.IntN(3) == 0 {
			after += s.alter(carried[s.random.IntN(len(carried))])
		} else {
			before += s.alter(carried[s.random.IntN(len(carried))])
		}
	}
	return before, response, after
}

// alter returns a copy of a response as it was, without its id or with a wrong length.
func (s *copier) alter(response string) string {
	switch s.random.IntN(8) {
	case 0:
		head, rest, _ := strings.Cut(response, "X-Echo: ")
		_, rest, _ = strings.Cut(rest, "\r\n")
		return head + rest
	case 1:
		head, rest, _ := strings.Cut(response, "X-Echo: ")
		_, rest, _ = strings.Cut(rest, "\r\n")
		return head + "X-Echo:\r\n" + rest
	case 2:
		return response + "longer"
	case 3:
		return response[:len(response)-1]
	}
	return response
}

func (s *copier) serve(c net.Conn) {
	// Like a kernel's buffer, the queue takes bytes that the client does not read.
	queue := make(chan string, 1000)
	defer close(queue)
	go func() {
		for text := range queue {
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	var carried []string
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		before, response, after := s.respond(r, carried)
		queue <- before
		time.Sleep(time.Millisecond)
		if len(carried)%2 == 0 {
			// The copy comes in the same segment.
			queue <- response + after
		} else {
			queue <- response
			time.Sleep(time.Millisecond)
			queue <- after
		}
		carried = append(carried, response)
	}
}

// copyCounts counts the outcomes of the requests to copiers.
type copyCounts struct {
	answered, lost, copies, conns int
	// mixed counts the responses that belong to another send.
	mixed int
}

// sendToCopier sends requests to a copier, some of them with the id of an earlier one.
func sendToCopier(t *testing.T, seed uint64, copyShare float64, counts *copyCounts) {
	s := &copier{random: rand.New(rand.NewPCG(seed, 0)), copyShare: copyShare, statuses: map[string]int{}}
	c := NewClient(Config{Dial: s.dial, EchoHeader: "X-Echo"})
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range 40 {
		target := fmt.Sprint("/send-", i)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		response, err := c.Do(ctx, "a:1", &Request{
			Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{"X-Echo": {fmt.Sprint("attempt-", i-random.IntN(3))}},
		})
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		cancel()
		if err != nil {
			counts.lost++
			continue
		}
		counts.answered++
		s.mutex.Lock()
		if string(body) != target || response.StatusCode != s.statuses[target] {
			counts.mixed++
			t.Logf("seed %d: the response to %s is %d %s", seed, target, response.StatusCode, body)
		}
		s.mutex.Unlock()
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
	}
	c.Close()
	time.Sleep(time.Second)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts.copies += s.copies
	counts.conns += s.conns
}

// TestCopiesOfEarlierResponses guards against a copy of an earlier response that is taken for the
// response to a later request, also to one with the same id as an earlier one.
func TestCopiesOfEarlierResponses(t *testing.T) {
	var counts copyCounts
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) { sendToCopier(t, seed, 0.3, &counts) })
	}
	t.Logf("%+v", counts)
	assert.Equal(t, counts.mixed, 0)
	assert.Assert(t, counts.copies > 1000 && counts.answered > 4000, "too few copies or responses to show anything")
}

// TestFaultyConnectionIsNotReused guards against further requests on a connection that has brought
// a response to another request, as more may follow.
func TestFaultyConnectionIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{responses: [][]string{
			{responseTo("1", "a"), responseTo("1", "a") + responseTo("2", "b"), responseTo("3", "c")},
			{responseTo("3", "d")},
		}}
		c := NewClient(Config{Dial: s.dial, EchoHeader: "X-Echo"})
		for i, want := range []string{"a", "b", "d"} {
			body, err := fetch(c, newRequest(fmt.Sprint(i+1)))
			assert.NilError(t, err)
			assert.Equal(t, body, want)
		}
		c.Close()
	})
}

// TestCopyOnIdleConnection guards against a request on a connection whose last response was written
// once more before the request: the connection is replaced, not read.
func TestCopyOnIdleConnection(t *testing.T) {
	for _, copied := range []string{responseTo("1", "a"), "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		received, written := make(chan string, 4), make(chan bool)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					id := r.Header.Get("X-Echo")
					received <- id
					_, _ = io.WriteString(conn, responseTo(id, "a"))
					if id == "1" {
						<-written
						_, _ = io.WriteString(conn, copied)
						written <- true
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							received <- "another on its connection"
						}
					}
				}()
			}
		}()
		c := NewClient(Config{Dial: (&net.Dialer{}).DialContext, EchoHeader: "X-Echo"})
		for _, id := range []string{"1", "2"} {
			response, err := c.Do(t.Context(), ident.Address(listener.Addr().String()), newRequest(id))
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, errors.Join(err, response.Body.Close()))
			assert.Equal(t, <-received, id)
			if id == "1" {
				written <- true
				<-written
			}
		}
		c.Close()
		assert.NilError(t, listener.Close())
	}
}

// TestCarriedIDsAreLimited guards against a connection that remembers ids without end.
func TestCarriedIDsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &copier{random: rand.New(rand.NewPCG(1, 0)), statuses: map[string]int{}}
		c := NewClient(Config{Dial: s.dial, EchoHeader: "X-Echo"})
		for i := range 2 * maxCarried {
			_, err := fetch(c, newRequest(fmt.Sprint("attempt-", i)))
			assert.NilError(t, err)
		}
		assert.Equal(t, s.conns, 2)
		c.Close()
		time.Sleep(time.Second)
	})
}
