package intake

import (
	"bytes"
	"syscall"
	"time"

	"crocusstep/ident"
)

const (
	// connBytes is what a connection takes in the process: goroutines, their stacks and buffers.
	connBytes = 16 << 10
	// connParts is the part of the memory for that. What the kernel holds unread of all connections
	// takes twice as much at most (package socket).
	connParts = 10
	// descriptorParts is the part of the descriptors for callers. The others are for files and for
	// connections that the process opens.
	descriptorParts = 2
	// reservedDescriptors are those of them that other servers of the process have.
	reservedDescriptors = 2 * SideConns
	// minConns is the least number of connections of callers.
	minConns = 16
	// SideConns limits the connections to a port that is not for callers.
	SideConns = 32
	// pipelinedParts is the part of the connections that may send a request before they have the
	// response to the one before. What they send stays in the kernel.
	pipelinedParts = 8

	// headSlop is how far a head may exceed its limit, like that of net/http: it is read in pieces.
	headSlop = 4 << 10
	// headFactor and fieldBytes are the memory that a byte and a field of a head take once they are
	// decoded and copied for the endpoint.
	headFactor = 2
	fieldBytes = 320

	// writeTimeout is how long a caller may read nothing, and writeRate how many bytes a second it
	// must read beyond that.
	writeTimeout = 15 * time.Second
	writeRate    = 8 << 10
	// writePiece is the size of the pieces in which responses are written.
	writePiece = 16 << 10
	// bodyTimeout bounds the reading of a body that the handler of its request does not bound.
	bodyTimeout = 30 * time.Second
)

// Responses to requests whose heads are not read to their ends. None of them reaches a handler.
const (
	overloadedResponse   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Limits bounds what one caller may send. Zero is no limit beside those of the http.Server.
type Limits struct {
	// MaxHead limits the head of a request.
	MaxHead ident.ByteCount
	// HeadTimeout is how long a head may take from its first byte.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// MaxConns returns how many connections of callers a process may hold with an amount of memory and
// with the descriptors that it may open.
func MaxConns(memory ident.ByteCount) int {
	conns := int(memory) / connParts / connBytes
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		conns = min(conns, int(min(limit.Cur, 1<<20))/descriptorParts-reservedDescriptors)
	}
	return max(conns, minConns)
}

// headWeight returns the memory that a part of a head takes. What follows the head in the same piece
// counts by its size only.
func headWeight(part []byte) int64 {
	head := part
	if end := bytes.Index(part, []byte("\r\n\r\n")); end >= 0 {
		head = part[:end]
	}
	return int64(headFactor*len(part) + fieldBytes*bytes.Count(head, []byte{'\n'}))
}
