package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// firstBodyBytes is the first size of the buffer for a body, which doubles until the body fits.
const firstBodyBytes = 4 << 10

// body is the body of a request. Its end makes the request complete.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader. It returns ErrOverloaded if the request was dropped.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if endErr := b.conn.endOfBody(); endErr != nil {
			return n, endErr
		}
	case err != nil && b.conn.requestShare().isDropped():
		return n, ErrOverloaded
	}
	return n, err
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// withBody returns the request that the handler of a connection gets.
func withBody(r *http.Request, c *conn) *http.Request {
	if !hasBody(r) {
		// A request whose head had come with the one before has its share only now. It holds nothing, so
		// it cannot have been dropped.
		_ = c.requestShare().finish()
		return r
	}
	// net/http looks at the type of the body of its own request.
	wrapped := *r
	wrapped.Body = &body{ReadCloser: r.Body, conn: c}
	return &wrapped
}

// connOf returns the connection of a request, or nil if no Server has read it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// ReadBody reads the body of a request completely, within the budget of the server that has read its
// head. It returns ErrOverloaded if there is no memory for it, and an *http.MaxBytesError if it is
// longer than the limit or than the budget ever allows.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	share := connOf(r.Context()).requestShare()
	// With a known length the buffer ends up with just that size.
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) && int64(len(buffer)) < most {
			grown, err := grow(buffer, most, share)
			if err != nil {
				return nil, tooLarge(err, limit)
			}
			buffer = grown
		}
		n, err := readInto(reader, buffer)
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readInto reads into the free part of a buffer. If there is none, it reads the end of the body.
func readInto(reader io.Reader, buffer []byte) (int, error) {
	if free := buffer[len(buffer):cap(buffer)]; len(free) > 0 {
		return reader.Read(free)
	}
	n, err := reader.Read(make([]byte, 1))
	if n > 0 {
		err = io.ErrShortBuffer
	}
	return 0, err
}

// grow returns a copy of a buffer with twice its size, or the most that is needed.
func grow(buffer []byte, most int64, share *share) ([]byte, error) {
	old := int64(cap(buffer))
	size := min(max(2*old, firstBodyBytes), most)
	if most <= smallBytes {
		size = most
	}
	if err := share.take(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), buffer...)
	share.give(old)
	return grown, nil
}

// Hold takes memory for what is made of a request, until the request has its response. It returns
// ErrOverloaded if there is not enough, and an *http.MaxBytesError if there never is.
func Hold(r *http.Request, size int64) error {
	return tooLarge(connOf(r.Context()).requestShare().take(size), size)
}

// tooLarge makes errTooLarge the error that handlers know.
func tooLarge(err error, limit int64) error {
	if errors.Is(err, errTooLarge) {
		return &http.MaxBytesError{Limit: limit}
	}
	return err
}
