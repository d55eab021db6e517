package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"crocusstep/client"
	"crocusstep/ident"
)

const (
	readBufferBytes = 8 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 256 << 10
)

// stream is an exchange whose response is a stream of events.
type stream struct {
	*exchange
	// resumed is set if the caller received events in an earlier attempt, of about
	// earlierTokens tokens.
	resumed       bool
	earlierTokens ident.TokenCount
	// prefills counts the accepted prefills of the prompt.
	prefills int
	// lastEvent is when the last events arrived.
	lastEvent time.Time
	// stall watches the try in progress; it may be nil.
	stall *stallWatch
	// next is reserved for the next try after a stall; it may be nil.
	next *reservation
}

// forward forwards complete events as they arrive, so that another endpoint can resume
// after the last of them. It returns an error if the stream was truncated.
func (s *stream) forward(response *Response) error {
	if !response.Successful() {
		return s.forwardFailure(response)
	}
	if !response.Signed {
		return errors.Join(client.ErrResponseLost, errors.New("the answer has no signature"))
	}
	s.framing = response.Framing
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
		s.unfinished = ident.ByteCount(len(pending) - complete)
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
			return errors.Join(client.ErrResponseLost, err)
		case len(pending) > maxEventBytes:
			return errors.New("an event is too large")
		}
	}
}

// startResponse sends the response header before the first event.
func (s *stream) startResponse(response *Response) {
	if s.started {
		return
	}
	s.started = true
	s.firstPartAt = time.Now()
	s.status = response.Status
	s.copyHeader(response.Header)
	s.writer.WriteHeader(response.Status)
	s.Meter.RecordTimeToFirstToken(s.service.Name, s.firstPartAt.Sub(s.request.Arrived))
}

// recordEvents records the last event id and the gap before the events.
func (s *stream) recordEvents(events []byte) {
	s.stall.recordProgress()
	now := time.Now()
	if !s.lastEvent.IsZero() {
		s.Meter.RecordInterTokenLatency(s.service.Name, now.Sub(s.lastEvent))
		s.longestGap = max(s.longestGap, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
	for line := range bytes.Lines(events) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.request.LastEventID = string(bytes.TrimSpace(id))
			s.countEvent()
		}
	}
}

// newStream returns a stream that has forwarded no event.
func newStream(e *exchange) *stream {
	s := &stream{exchange: e, resumed: e.request.LastEventID != ""}
	if events, err := strconv.Atoi(e.request.LastEventID); err == nil && s.disaggregated() && events > 0 {
		// Most endpoints number their events, so that the id gives the number of
		// tokens generated.
		limit := e.request.Prompt.MaxOutput
		s.earlierTokens = min(ident.TokenCount(min(events, int(limit)))*e.service.Engine.TokensPerEvent, limit)
	}
	return s
}

// resumeTokens is the number of generated tokens that the next endpoint must prefill.
func (s *stream) resumeTokens() ident.TokenCount {
	return s.earlierTokens + ident.TokenCount(s.generated.Load())
}

func (s *stream) countEvent() {
	if s.disaggregated() {
		s.generated.Add(int64(s.service.Engine.TokensPerEvent))
	}
}

// recordLength adds the length of a complete output to the service's estimator.
func (s *stream) recordLength() {
	if s.disaggregated() && !s.resumed {
		s.lengthEstimator(s.service.Name).Observe(s.request.Prompt.EstimatedOutput, ident.TokenCount(s.generated.Load()))
	}
}

// forwardFailure forwards an endpoint's error response after reading it completely.
func (s *stream) forwardFailure(response *Response) error {
	body, err := readBody(response.Body)
	if err != nil {
		return err
	}
	if s.started || s.mayExecuteAgain() && s.route.Retryable() {
		return errors.New("the endpoint failed the request")
	}
	s.writeResponse(&bufferedResponse{status: response.Status, header: response.Header, body: body})
	return nil
}
