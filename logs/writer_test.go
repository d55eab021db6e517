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

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	mutex   sync.Mutex
	unblock chan struct{}
	text    bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *blockedWriter) written() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

func TestWriter(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, w *Writer, out *blockedWriter)
	}{
		{
			testName: "lines are written in order",
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
			testName: "a blocked output does not block the process, and dropped lines are reported",
			run: func(t *testing.T, w *Writer, out *blockedWriter) {
				line := []byte(strings.Repeat("x", 1023) + "\n")
				startedAt := time.Now()
				for range 4 * maxPendingBytes / len(line) {
					_, err := w.Write(line)
					assert.NilError(t, err)
				}
				assert.Equal(t, time.Since(startedAt), time.Duration(0))
				w.mutex.Lock()
				pendingBytes := w.pending.Len()
				w.mutex.Unlock()
				assert.Assert(t, pendingBytes <= maxPendingBytes)
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
