// Package event splits streams of server-sent events into complete events.
package event

import (
	"bytes"
	"iter"
)

// lineEnds are the bytes that end a line, alone or as CR LF.
const lineEnds = "\r\n"

// Splitter finds the complete events of a stream. Its zero value is an empty stream.
type Splitter struct {
	// buffer holds the bytes that the last call of Add returned, and those after them.
	buffer []byte
	// complete is the number of bytes in buffer that end with a complete event.
	complete int
}

// Add adds bytes of the stream and returns the complete events, without those that it
// returned before. The result is valid until the next call.
func (s *Splitter) Add(data []byte) []byte {
	rest := copy(s.buffer, s.buffer[s.complete:])
	s.buffer = append(s.buffer[:rest], data...)
	s.complete = completeBytes(s.buffer)
	return s.buffer[:s.complete]
}

// Pending returns the bytes after the last complete event. The result is valid until the
// next call of Add.
func (s *Splitter) Pending() []byte { return s.buffer[s.complete:] }

// Unfinished reports whether the stream would end inside an event if it ended now. Comments
// and empty lines belong to no event.
func (s *Splitter) Unfinished() bool {
	pending := s.Pending()
	if len(pending) == 0 {
		return false
	}
	if bytes.IndexByte([]byte(lineEnds), pending[len(pending)-1]) < 0 {
		return true
	}
	for line := range lines(pending) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// boundaries end an event: an empty line after a line end.
var boundaries = []string{"\n\n", "\r\r", "\n\r\n"}

// completeBytes returns the number of bytes up to the end of the last complete event.
func completeBytes(data []byte) int {
	complete := 0
	for _, boundary := range boundaries {
		if i := bytes.LastIndex(data, []byte(boundary)); i >= 0 {
			complete = max(complete, i+len(boundary))
		}
	}
	return complete
}

// lines returns the lines that are not empty, without their ends.
func lines(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			line, rest := data, []byte(nil)
			if i := bytes.IndexAny(data, lineEnds); i >= 0 {
				line, rest = data[:i], data[i+1:]
			}
			data = rest
			if len(line) > 0 && !yield(line) {
				return
			}
		}
	}
}
