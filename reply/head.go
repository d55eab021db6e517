package reply

import (
	"bytes"
	"errors"
	"net/http"
)

// HeadRecorder is a connection that records what is read, for what the parser of net/http leaves out.
type HeadRecorder interface {
	// RecordHead begins a record.
	RecordHead()
	// RecordedHead ends the record and returns it.
	RecordedHead() []byte
}

// checkRecord returns an error if a response with HTTP/1.0 states a transfer encoding, which net/http
// ignores there: the end of its connection would not be that of its body (RFC 9112, 6.1).
func checkRecord(r *http.Response, record []byte) error {
	if r.ProtoMinor > 0 || !bytes.Contains(bytes.ToLower(finalHead(record)), []byte("\ntransfer-encoding:")) {
		return nil
	}
	return Malformed(FlawFraming, errors.New("a transfer encoding, which HTTP/1.0 lacks"))
}

// finalHead returns the head of the first response of a record that is not informational.
func finalHead(record []byte) []byte {
	for {
		end := headEnd(record)
		if end < 0 || !isInformational(record) {
			return record[:max(end, 0)]
		}
		record = record[end:]
	}
}

// headEnd returns the length of the head at the start of a record, or -1 without its end.
func headEnd(record []byte) int {
	for i, c := range record {
		rest := record[i+1:]
		switch {
		case c != '\n':
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	return -1
}

// isInformational reports whether a head has a status from 100 to 199.
func isInformational(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
}
