package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a standard output that nobody reads until it is freed.
type blockedWriter struct {
	mutex   sync.Mutex
	unblock chan struct{}
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(p)
}

func (s *blockedWriter) written() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.String()
}

func TestWriter(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, w *Writer, out *blockedWriter)
	}{
		{
			testName: "lines come out in order",
			run: func(t *testing.T, w *Writer, out *blockedWriter) {
				close(out.unblock)
				for _, line := range []string{"a\n", "b\n"} {
					_, err := w.Write([]byte(line))
					assert.NilError(t, err)
				}
				time.Sleep(2 * flushInterval)
				assert.Equal(t, out.written(), "a\nb\n")
				assert.NilError(t, w.Close())
			},
		},
		{
			testName: "a reader that is stuck holds nobody up, and what was dropped is told",
			run: func(t *testing.T, w *Writer, out *blockedWriter) {
				line := []byte(strings.Repeat("x", 1023) + "\n")
				began := time.Now()
				for range 4 * maxPendingBytes / len(line) {
					_, err := w.Write(line)
					assert.NilError(t, err)
				}
				assert.Equal(t, time.Since(began), time.Duration(0))
				w.mutex.Lock()
				waiting := w.pending.Len()
				w.mutex.Unlock()
				assert.Assert(t, waiting <= maxPendingBytes)
				close(out.unblock)
				assert.NilError(t, w.Close())
				assert.Assert(t, strings.Contains(out.written(), "log lines were dropped"))
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &blockedWriter{unblock: make(chan struct{})}
				s.run(t, NewWriter(out), out)
			})
		})
	}
}
