package intake

import (
	"bytes"
	"time"
)

const (
	// headFactor and fieldBytes are the memory that a byte and a field of a head take once they are
	// decoded and copied for the endpoint.
	headFactor = 2
	fieldBytes = 320

	// bodyTimeout bounds the reading of a body that the handler of its request does not bound.
	bodyTimeout = 30 * time.Second
)

// overloadedResponse is the response to a request whose head is not read to its end. It never reaches
// a handler.
const overloadedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// headWeight returns the memory that a part of a head takes. What follows the head in the same piece
// counts by its size only.
func headWeight(part []byte) int64 {
	head := part
	if end := bytes.Index(part, []byte("\r\n\r\n")); end >= 0 {
		head = part[:end]
	}
	return int64(headFactor*len(part) + fieldBytes*bytes.Count(head, []byte{'\n'}))
}
