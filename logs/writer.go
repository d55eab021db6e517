// Package logs writes log lines asynchronously, so that a slow output never blocks
// the process.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffered lines: about 1,500, which a relay logs in
	// 10 s at its highest load.
	maxPendingBytes = 512 << 10
	// flushInterval is the time between two writes of the buffered lines.
	flushInterval = 200 * time.Millisecond
)

// Writer buffers whole lines and writes them from a separate goroutine. Lines that
// exceed the buffer are dropped; their number is logged.
type Writer struct {
	out io.Writer

	mutex   sync.Mutex
	pending bytes.Buffer
	dropped int
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter returns a Writer that must be closed to write its last lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers or drops a whole line and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending.Len()+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	return w.pending.Write(line)
}

// Close writes the buffered lines and stops the writer. It must be called only once.
func (w *Writer) Close() error {
	close(w.closed)
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.closed:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mutex.Lock()
	data := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "{\"level\":\"WARN\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", dropped)
	}
	if len(data) > 0 {
		// A failure of the log cannot be logged.
		_, _ = w.out.Write(data)
	}
}
