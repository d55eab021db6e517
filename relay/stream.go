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
	"crocusstep/client"
)

const (
	// chunk is how much of a stream is read at once, in bytes.
	chunk = 8 << 10
	// eventMost is the largest event that is taken, in bytes.
	eventMost = 1 << 20
)

// stream is an exchange whose answer is a series of events.
type stream struct {
	*exchange
	// resumed is set if the caller had events from an attempt before, about had
	// tokens of them.
	resumed bool
	had     ident.TokenCount
	// read counts the times that the prompt was read.
	read int
	// last is when the newest events came.
	last time.Time
}

// forward passes events on as they come, whole ones only, so that another
// endpoint can go on after the last of them. It returns an error if the stream
// ended before its end.
func (s *stream) forward(answer *Answer) error {
	if !answer.Good() {
		return s.forwardFailure(answer)
	}
	if !answer.Sealed {
		return errors.Join(client.ErrResponseLost, errors.New("the answer has no signature"))
	}
	control := http.NewResponseController(s.writer)
	var pending []byte
	buffer := make([]byte, chunk)
	for {
		n, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		ended := errors.Is(err, io.EOF)
		whole := bytes.LastIndex(pending, []byte("\n\n")) + 2
		if whole < 2 {
			whole = 0
		}
		if ended {
			whole = len(pending)
		}
		if whole > 0 {
			s.open(answer)
			s.remember(pending[:whole])
			if _, err := s.writer.Write(pending[:whole]); err != nil {
				return errors.Join(context.Canceled, err)
			}
			pending = append(pending[:0], pending[whole:]...)
			if err := control.Flush(); err != nil {
				return errors.Join(context.Canceled, err)
			}
		}
		switch {
		case ended:
			s.open(answer)
			s.ranToItsEnd()
			s.learn()
			return nil
		case err != nil:
			return errors.Join(client.ErrResponseLost, err)
		case len(pending) > eventMost:
			return errors.New("an event is too large")
		}
	}
}

// open sends the head of the answer before its first event.
func (s *stream) open(answer *Answer) {
	if s.started {
		return
	}
	s.started = true
	s.first = time.Now()
	s.status = answer.Status
	s.head(answer.Header)
	s.writer.WriteHeader(answer.Status)
	s.Meter.FirstToken(s.service.Name, s.first.Sub(s.request.Arrived))
}

// remember remembers the id of the last event.
func (s *stream) remember(events []byte) {
	now := time.Now()
	if !s.last.IsZero() {
		s.Meter.BetweenTokens(s.service.Name, now.Sub(s.last))
		s.pause = max(s.pause, now.Sub(s.last))
	}
	s.last = now
	for line := range bytes.Lines(events) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.request.After = string(bytes.TrimSpace(id))
			s.count()
		}
	}
}

// newStream returns a stream without an event of its own.
func newStream(e *exchange) *stream {
	s := &stream{exchange: e, resumed: e.request.After != ""}
	if events, err := strconv.Atoi(e.request.After); err == nil && s.split() && events > 0 {
		// Most endpoints count their events, in which case this is what they made.
		most := e.request.Prompt.Most
		s.had = min(ident.TokenCount(min(events, int(most)))*e.service.Engine.TokensPerEvent, most)
	}
	return s
}

// before is the tokens of the answer that an endpoint which goes on has to read.
func (s *stream) before() ident.TokenCount { return s.had + s.made }

// count counts one event's tokens.
func (s *stream) count() {
	if s.split() {
		s.made += s.service.Engine.TokensPerEvent
	}
}

// learn takes the length of a whole answer over.
func (s *stream) learn() {
	if s.split() && !s.resumed {
		s.lengths(s.service.Name).Observe(s.request.Prompt.Output, s.made)
	}
}

// forwardFailure passes an endpoint's own failure on, once it is complete.
func (s *stream) forwardFailure(answer *Answer) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerMost))
	if err != nil {
		return errors.Join(client.ErrResponseLost, err)
	}
	if s.started || s.mayRunAgain() && s.route.Retryable() {
		return errors.New("the endpoint failed the request")
	}
	s.deliver(&whole{status: answer.Status, header: answer.Header, body: body})
	return nil
}
