// Package logs writes the lines of a process without ever holding it up.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the lines that wait to be written, in bytes: some 1,500
	// lines, which a relay writes in 10 s at its highest load.
	maxPendingBytes = 512 << 10
	// flushInterval is how long a line waits at most.
	flushInterval = 200 * time.Millisecond
)

// Writer collects whole lines and writes them from one goroutine. Lines for
// which there is no room are dropped and counted.
type Writer struct {
	out io.Writer

	mutex   sync.Mutex
	pending bytes.Buffer
	dropped int
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer that writes until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it takes one line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending.Len()+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	return w.pending.Write(line)
}

// Close writes what waits and ends the writer.
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
		// There is nowhere to report a failing log to.
		_, _ = w.out.Write(data)
	}
}
