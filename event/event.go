package event

import (
	"bytes"
	"errors"
	"iter"
	"regexp"
)

// Event is a complete event of a stream.
type Event struct {
	// Text holds all bytes of the event.
	Text []byte
	// ID is empty if the event has none.
	ID string
	// Blank is set if there is neither an id nor data, so that clients see no event.
	Blank bool
}

// ErrMalformed means that a stream has lines that are no fields of an event, such as those of a
// response behind one that was broken off.
var ErrMalformed = errors.New("the stream has lines that belong to no event")

// statusLine matches the status line of a response at the end of a line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}( .*)?$`)

// All returns each event in a series of complete ones, up to the first that is malformed.
func All(events []byte) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		for len(events) > 0 {
			size := firstBytes(events)
			e, err := parse(events[:size])
			if !yield(e, err) || err != nil {
				return
			}
			events = events[size:]
		}
	}
}

// firstBytes returns the size of the first event.
func firstBytes(events []byte) int {
	for i, c := range events {
		if c != '\n' && c != '\r' {
			continue
		}
		for _, boundary := range boundaries {
			if bytes.HasSuffix(events[:i+1], []byte(boundary)) {
				return i + 1
			}
		}
	}
	return len(events)
}

func parse(text []byte) (Event, error) {
	e := Event{Text: text, Blank: true}
	afterStatus, hasOther := false, false
	for line := range lines(text) {
		line = bytes.TrimPrefix(line, []byte("\ufeff"))
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		if hasValue && len(name) == 0 {
			continue
		}
		standard := isStandard(string(name))
		// Fields other than the standard ones are ignored, but a head's may follow a broken line.
		if !standard && (!hasValue || afterStatus || !isName(name)) {
			return Event{}, ErrMalformed
		}
		afterStatus = bytes.Contains(line, []byte("HTTP/1.")) && statusLine.Match(line)
		hasOther = hasOther || !standard
		switch string(name) {
		case "id":
			e.ID = string(bytes.TrimSpace(value))
			e.Blank = false
		case "data":
			e.Blank = false
		}
	}
	if hasOther && e.Blank {
		return Event{}, ErrMalformed
	}
	return e, nil
}

// isStandard reports whether a field is one of the standard's.
func isStandard(name string) bool {
	switch name {
	case "id", "data", "event", "retry":
		return true
	}
	return false
}

// isName reports whether a field may have the name.
func isName(name []byte) bool {
	for _, c := range name {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && !(c >= '0' && c <= '9') && c != '-' && c != '_' {
			return false
		}
	}
	return len(name) > 0
}
