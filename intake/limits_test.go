package intake

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/memnet"
)

// TestOperatorsLimits checks the limits on heads and times that may change while the server runs.
func TestOperatorsLimits(t *testing.T) {
	limits := Limits{MaxHead: 16 << 10, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	head := func(padding int) string {
		return "GET / HTTP/1.1\r\nHost: a\r\nPadding: " + strings.Repeat("p", padding) + "\r\n\r\n"
	}
	scenarios := []struct {
		testName string
		parts    []string
		pause    time.Duration
		statuses []int
	}{
		{"a head of the largest size", []string{head(16<<10 - 50)}, 0, []int{200, 408}},
		{"a head over the limit", []string{head(100 << 10)}, 0, []int{431}},
		{"a head without end", []string{head(100 << 10)[:90<<10]}, 0, []int{431}},
		{"a head that comes in time", []string{head(1)[:9], head(1)[9:]}, 2 * time.Second, []int{200, 408}},
		{"a head that is too slow", []string{head(1)[:9], head(1)[9:]}, 4 * time.Second, []int{408}},
		{"a request after four fifths of the idle time", []string{head(1), head(1)}, 12 * time.Second, []int{200, 200, 408}},
		{"a request after the idle time", []string{head(1), head(1)}, 16 * time.Second, []int{200, 408}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.NewNetwork()
				server := NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute})
				server.RefusesAtClose = true
				server.Limits = func() Limits { return limits }
				go func(l net.Listener) { _ = server.Serve(l) }(network.Listen("relay", address))
				c, err := network.Dialer("caller")(t.Context(), "tcp", address)
				assert.NilError(t, err)
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					for _, part := range s.parts {
						if _, err := io.WriteString(c, part); err != nil {
							return
						}
						time.Sleep(s.pause)
					}
				}()
				statuses, _ := readStatuses(c)
				assert.DeepEqual(t, statuses, s.statuses)
				_ = c.Close()
				<-sent
				assert.NilError(t, server.Close())
			})
		})
	}
}

// TestSlowBodies checks that a body whose handler sets no deadline ends in time, and that the deadline
// of a handler that sets one holds.
func TestSlowBodies(t *testing.T) {
	for _, ownTimeout := range []time.Duration{0, 2 * bodyTimeout} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.NewNetwork()
			ended := make(chan error, 1)
			server := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if ownTimeout > 0 {
					_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(ownTimeout))
				}
				_, err := ReadBody(w, r, 8)
				ended <- err
			})})
			go func(l net.Listener) { _ = server.Serve(l) }(network.Listen("relay", address))
			c, err := network.Dialer("caller")(t.Context(), "tcp", address)
			assert.NilError(t, err)
			_, err = io.WriteString(c, request[:len(request)-1])
			assert.NilError(t, err)
			time.Sleep(bodyTimeout + time.Second)
			go func() { _, _ = io.WriteString(c, request[len(request)-1:]) }()
			if ownTimeout > 0 {
				assert.NilError(t, <-ended)
			} else {
				assert.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
			}
			_ = c.Close()
			assert.NilError(t, server.Close())
		})
	}
}
