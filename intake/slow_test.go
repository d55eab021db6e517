package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/memnet"
)

// TestSlowReaders checks that callers which read nothing or hardly anything end, and that slow but
// sound ones get all of their response.
func TestSlowReaders(t *testing.T) {
	const size = 1 << 20
	scenarios := []struct {
		testName string
		// piece is read at a time, with the pause before.
		piece   int
		pause   time.Duration
		isWhole bool
	}{
		{"one that reads nothing", 0, time.Hour, false},
		{"one that reads a byte now and then", 1, 5 * time.Second, false},
		{"one that reads half the least rate", writeRate / 2, time.Second, false},
		{"one that reads twice the least rate", 2 * writeRate, time.Second, true},
		{"one that pauses for less than the limit", size / 4, 12 * time.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.NewNetwork()
				server := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Connection", "close")
					_, _ = w.Write(bytes.Repeat([]byte("b"), size))
				})})
				go func(l net.Listener) { _ = server.Serve(l) }(network.Listen("relay", address))
				c, err := network.Dialer("caller")(t.Context(), "tcp", address)
				assert.NilError(t, err)
				_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				assert.NilError(t, err)
				assert.Equal(t, readSlowly(c, s.piece, s.pause) >= size, s.isWhole)
				_ = c.Close()
				assert.NilError(t, server.Close())
			})
		})
	}
}

// readSlowly reads pieces until the connection ends. It returns how many bytes it has read.
func readSlowly(c net.Conn, piece int, pause time.Duration) (sum int) {
	for {
		time.Sleep(pause)
		if piece == 0 {
			n, _ := io.Copy(io.Discard, c)
			return int(n)
		}
		n, err := io.ReadFull(c, make([]byte, piece))
		sum += n
		if err != nil {
			return sum
		}
	}
}
