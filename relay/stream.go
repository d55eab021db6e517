package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"crocusstep/client"
	"crocusstep/event"
	"crocusstep/ident"
	"crocusstep/pool"
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
	// endOrigin ends the record of the stream's origin; it is nil before the first event.
	endOrigin func()
	// source is the endpoint of the current try.
	source pool.Endpoint
	// stall watches the try in progress; it may be nil.
	stall *stallWatch
	// next holds the try at the endpoint that the stream has moved to; it may be nil.
	next *reservation
	// hasMore is set once a part of an event was received after the last one that was forwarded.
	hasMore bool
	// sequence holds the events that were forwarded.
	sequence sequence
	// hasMoved is set once the stream has left a silent endpoint for another one.
	hasMoved bool
}

// errTruncated means that the end of a response shows that its stream is not complete.
var errTruncated = errors.New("the stream ended inside an event or without one")

// forward forwards complete events as they arrive, so that another endpoint can resume
// after the last of them. It returns an error if the stream was truncated.
func (s *stream) forward(response *Response) error {
	s.framing = response.Framing
	if !response.Successful() {
		return s.forwardFailure(response)
	}
	if !response.Signed {
		return errors.Join(client.ErrResponseLost, errors.New("the answer has no signature"))
	}
	if !response.hasEvents() {
		return s.forwardWhole(response)
	}
	if s.started && response.Status != s.status {
		return errors.Join(client.ErrResponseLost, errors.New("the endpoint resumed a stream with another status"))
	}
	var splitter event.Splitter
	defer func() { s.hasMore = s.hasMore || splitter.Unfinished() }()
	began := false
	kept := keptBytes{memory: s.responses}
	defer kept.release()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if events := splitter.Add(buffer[:n]); len(events) > 0 {
			if err := s.forwardEvents(response, events, &began); err != nil {
				return err
			}
		}
		s.unfinished = ident.ByteCount(len(splitter.Pending()))
		switch {
		case errors.Is(err, io.EOF):
			if !s.stall.resume() {
				return errMoved
			}
			defer s.stall.release()
			return s.end(response, &splitter, began)
		case err != nil:
			return errors.Join(client.ErrResponseLost, err)
		case len(splitter.Pending()) > maxEventBytes:
			return errors.New("an event is too large")
		}
		if err := kept.cover(int64(len(splitter.Pending()))); err != nil {
			return err
		}
	}
}

// forwardEvents forwards complete events, unless the stream has moved to another endpoint, up to the
// first that does not follow those before. Began is set with the first event of the response.
func (s *stream) forwardEvents(response *Response, events []byte, began *bool) error {
	if !s.stall.resume() {
		return errMoved
	}
	defer s.stall.release()
	valid, count := 0, 0
	var invalid error
	for e, err := range event.All(events) {
		if err == nil && !e.Blank {
			err = s.sequence.add(e, !*began)
		}
		if err != nil {
			invalid = errors.Join(client.ErrResponseLost, err)
			break
		}
		valid += len(e.Text)
		if !e.Blank {
			*began = true
			count++
		}
	}
	if valid > 0 && !s.begin() {
		return errGivenUp
	}
	if count > 0 {
		s.recordEvents(count)
	}
	if valid > 0 {
		if err := s.write(response, events[:valid]); err != nil {
			return err
		}
	}
	return invalid
}

// write sends a part of the stream to the caller.
func (s *stream) write(response *Response, part []byte) error {
	if !s.begin() {
		return errGivenUp
	}
	s.startResponse(response)
	if _, err := s.writer.Write(part); err != nil {
		return errors.Join(context.Canceled, err)
	}
	if err := http.NewResponseController(s.writer).Flush(); err != nil {
		return errors.Join(context.Canceled, err)
	}
	return nil
}

// end ends the response to the caller, unless the stream was truncated. Began is set if the
// response had an event.
func (s *stream) end(response *Response, splitter *event.Splitter, began bool) error {
	if splitter.Unfinished() || !began && !s.mayBeEmpty(response) {
		return errors.Join(client.ErrResponseLost, errTruncated)
	}
	if err := s.write(response, splitter.Pending()); err != nil {
		return err
	}
	s.clearCrashes()
	s.recordLength()
	return nil
}

// mayBeEmpty reports whether a response without an event may be complete: if the caller may have
// all events already, and the response marks its end.
func (s *stream) mayBeEmpty(response *Response) bool {
	return !s.hasMore && s.request.LastEventID != "" && response.Framing != client.FramedByClose
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

// recordEvents records a number of events that end with the last of the sequence, and the gap before
// them.
func (s *stream) recordEvents(count int) {
	now := time.Now()
	if !s.lastEvent.IsZero() {
		s.Meter.RecordInterTokenLatency(s.service.Name, now.Sub(s.lastEvent))
		s.longestGap = max(s.longestGap, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
	if s.tryEvents == 0 {
		s.leftSilent = false
		s.beginVersion()
		s.versions = append(s.versions, s.source.Version)
	}
	s.countTryEvents(count)
	s.countEvents(count)
	s.request.LastEventID = s.sequence.last
	s.hasMore = false
}

// newStream returns a stream that has forwarded no event.
func newStream(e *exchange) *stream {
	s := &stream{exchange: e, resumed: e.request.LastEventID != ""}
	if e.route.Retryable() {
		s.sequence.last = e.request.LastEventID
		e.recordDeadline(e.service.Name, e.request.Timeout)
	}
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

func (s *stream) countEvents(count int) {
	if s.disaggregated() {
		s.generated.Add(int64(count) * int64(s.service.Engine.TokensPerEvent))
	}
}

// recordLength adds the length of a complete output to the service's estimator.
func (s *stream) recordLength() {
	if s.disaggregated() && !s.resumed {
		s.observeOutput(ident.TokenCount(s.generated.Load()))
	}
}

// forwardWhole forwards a response without events after reading it completely, since
// nothing else shows where a part of it ends.
func (s *stream) forwardWhole(response *Response) error {
	body, err := s.readBody(response.Body)
	if err != nil {
		return err
	}
	if !s.stall.resume() {
		return errMoved
	}
	defer s.stall.release()
	if s.started {
		return errors.New("the endpoint resumed a stream without events")
	}
	s.clearCrashes()
	s.writeResponse(&bufferedResponse{status: response.Status, header: response.Header, body: body})
	return nil
}

// forwardFailure forwards an endpoint's error response after reading it completely.
func (s *stream) forwardFailure(response *Response) error {
	body, err := s.readBody(response.Body)
	if err != nil {
		return err
	}
	if !s.stall.resume() {
		return errMoved
	}
	defer s.stall.release()
	if s.started || s.mayExecuteAgain() && s.route.Retryable() {
		return errors.New("the endpoint failed the request")
	}
	s.writeResponse(&bufferedResponse{status: response.Status, header: response.Header, body: body})
	return nil
}
