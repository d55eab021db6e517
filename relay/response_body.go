package relay

import (
	"io"
	"time"
)

const (
	// maxResponseBytes limits the body of a plain response.
	maxResponseBytes = 4 << 20
	// maxDiscardedBytes and maxDiscardTime limit how much of a rejection's body is read to
	// keep its connection, and for how long.
	maxDiscardedBytes = 64 << 10
	maxDiscardTime    = 50 * time.Millisecond
)

// readBody reads a response body completely. Its memory is kept until the exchange ends.
func (e *exchange) readBody(body io.Reader) (data []byte, err error) {
	data, release, err := e.responses.readBody(body)
	e.releases = append(e.releases, release)
	return data, err
}

func (e *exchange) releaseBodies() {
	for _, release := range e.releases {
		release()
	}
}

// discardBody closes the body of a rejection. It reads a short body first, so that its
// connection can be used again.
func discardBody(body io.ReadCloser) {
	timer := time.AfterFunc(maxDiscardTime, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes))
	_ = body.Close()
}
