package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"crocusstep/ident"
	"crocusstep/pool"
)

// longStreams is a fake whose streams have the given number of events.
type longStreams struct {
	*fakeBackend
	events int
}

func (l *longStreams) Decode(context.Context, pool.Endpoint, *Request, *CachedPrompt, time.Duration) (*Response, error) {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(&eventReader{remaining: l.events})}, nil
}

// eventReader returns one event for each read.
type eventReader struct {
	remaining int
	returned  int
	next      bytes.Buffer
}

func (e *eventReader) Read(p []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	e.remaining--
	e.returned++
	e.next.Reset()
	fmt.Fprintf(&e.next, "id: %d\ndata: %0280d\n\n", e.returned, 0)
	return copy(p, e.next.Bytes()), nil
}

// discard is a response writer that drops everything.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) FlushError() error           { return nil }

// BenchmarkEvents forwards the events of one stream; its results are per event.
func BenchmarkEvents(b *testing.B) {
	r := newTestRelay(b, &fakeBackend{})
	r.config.Endpoints = &longStreams{fakeBackend: &fakeBackend{}, events: b.N}
	request := &Request{
		Attempt: ident.AttemptID("a"), Method: http.MethodPost, Target: "/read/x", Path: "/read/x", Host: "h",
		Header: http.Header{}, Arrived: time.Now(), Timeout: time.Hour, Prompt: &Prompt{Tokens: 5200, MaxOutput: 8000, EstimatedOutput: 4300},
	}
	b.ReportAllocs()
	b.ResetTimer()
	if refusal := r.Serve(b.Context(), request, &discard{header: http.Header{}}); refusal != nil {
		b.Fatal(refusal)
	}
}
