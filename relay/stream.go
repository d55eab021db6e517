package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"crocusstep/ident"
	"crocusstep/link"
)

const (
	// chunk is how much of a stream is read at once, in bytes.
	readBufferBytes = 8 << 10
	// eventMost is the largest event that is taken, in bytes.
	maxEventBytes = 1 << 20
)

// stream is an exchange whose answer is a series of events.
type stream struct {
	*exchange
	// resumed is set if the caller had events from an attempt before, about had
	// tokens of them.
	resumed       bool
	earlierTokens ident.TokenCount
	// read counts the times that the prompt was read.
	prefills int
	// last is when the newest events came.
	lastEvent time.Time
}

// forward passes events on as they come, whole ones only, so that another
// endpoint can go on after the last of them. It returns an error if the stream
// ended before its end.
func (s *stream) forward(response *Response) error {
	if !response.Successful() {
		return s.forwardFailure(response)
	}
	if !response.Sealed {
		return errors.Join(link.ErrLost, errors.New("the answer has no signature"))
	}
	controller := http.NewResponseController(s.writer)
	var pending []byte
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		ended := errors.Is(err, io.EOF)
		complete := bytes.LastIndex(pending, []byte("\n\n")) + 2
		if complete < 2 {
			complete = 0
		}
		if ended {
			complete = len(pending)
		}
		if complete > 0 {
			s.startResponse(response)
			s.recordEvents(pending[:complete])
			if _, err := s.writer.Write(pending[:complete]); err != nil {
				return errors.Join(context.Canceled, err)
			}
			pending = append(pending[:0], pending[complete:]...)
			if err := controller.Flush(); err != nil {
				return errors.Join(context.Canceled, err)
			}
		}
		switch {
		case ended:
			s.startResponse(response)
			s.clearCrashes()
			s.recordLength()
			return nil
		case err != nil:
			return errors.Join(link.ErrLost, err)
		case len(pending) > maxEventBytes:
			return errors.New("an event is too large")
		}
	}
}

// open sends the head of the answer before its first event.
func (s *stream) startResponse(response *Response) {
	if s.started {
		return
	}
	s.started = true
	s.firstPartAt = time.Now()
	s.status = response.Status
	s.copyHeader(response.Header)
	s.writer.WriteHeader(response.Status)
	s.Meter.FirstToken(s.service.Name, s.firstPartAt.Sub(s.request.Arrived))
}

// remember remembers the id of the last event.
func (s *stream) recordEvents(events []byte) {
	now := time.Now()
	if !s.lastEvent.IsZero() {
		s.Meter.BetweenTokens(s.service.Name, now.Sub(s.lastEvent))
		s.longestPause = max(s.longestPause, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
	for line := range bytes.Lines(events) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.request.LastEventID = string(bytes.TrimSpace(id))
			s.countEvent()
		}
	}
}

// newStream returns a stream without an event of its own.
func newStream(e *exchange) *stream {
	s := &stream{exchange: e, resumed: e.request.LastEventID != ""}
	if events, err := strconv.Atoi(e.request.LastEventID); err == nil && s.disaggregated() && events > 0 {
		// Most endpoints count their events, in which case this is what they made.
		limit := e.request.Prompt.MaxOutput
		s.earlierTokens = min(ident.TokenCount(min(events, int(limit)))*e.service.Engine.EventTokens, limit)
	}
	return s
}

// before is the tokens of the answer that an endpoint which goes on has to read.
func (s *stream) resumeTokens() ident.TokenCount { return s.earlierTokens + s.generated }

// count counts one event's tokens.
func (s *stream) countEvent() {
	if s.disaggregated() {
		s.generated += s.service.Engine.EventTokens
	}
}

// learn takes the length of a whole answer over.
func (s *stream) recordLength() {
	if s.disaggregated() && !s.resumed {
		s.lengthsOf(s.service.Name).Observe(s.request.Prompt.EstimatedOutput, s.generated)
	}
}

// forwardFailure passes an endpoint's own failure on, once it is complete.
func (s *stream) forwardFailure(response *Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Join(link.ErrLost, err)
	}
	if s.started || s.mayExecuteAgain() && s.route.Repeatable() {
		return errors.New("the endpoint failed the request")
	}
	s.writeResponse(&bufferedResponse{status: response.Status, header: response.Header, body: body})
	return nil
}
