package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/retry"
	"crocusstep/table"
)

const (
	// testPatience is how long callers of streams wait for an event, testTransit the time in which
	// responses reach them.
	testPatience = 3600 * time.Millisecond
	testTransit  = 250 * time.Millisecond
)

// muteKeepers is a fakeBackend whose keepers do not respond to some calls.
type muteKeepers struct {
	*fakeBackend
	reserve, permit, slot, origin bool
}

func (k *muteKeepers) Reserve(ctx context.Context, endpoint ident.Address, r keeper.ReserveRequest) (keeper.ReserveResponse, error) {
	if k.reserve {
		<-ctx.Done()
		return keeper.ReserveResponse{}, ctx.Err()
	}
	return k.fakeBackend.Reserve(ctx, endpoint, r)
}

func (k *muteKeepers) Permit(ctx context.Context, endpoint ident.Address, r keeper.PermitRequest) (keeper.PermitResponse, error) {
	if k.permit {
		<-ctx.Done()
		return keeper.PermitResponse{}, ctx.Err()
	}
	return k.fakeBackend.Permit(ctx, endpoint, r)
}

func (k *muteKeepers) SchedulePrefill(ctx context.Context, endpoint ident.Address, r keeper.PrefillRequest) (keeper.PrefillResponse, error) {
	if k.slot {
		<-ctx.Done()
		return keeper.PrefillResponse{}, ctx.Err()
	}
	return k.fakeBackend.SchedulePrefill(ctx, endpoint, r)
}

func (k *muteKeepers) Origin(ctx context.Context, endpoint ident.Address, r keeper.OriginRequest) (keeper.OriginResponse, error) {
	if k.origin {
		<-ctx.Done()
		return keeper.OriginResponse{}, ctx.Err()
	}
	return k.fakeBackend.Origin(ctx, endpoint, r)
}

// TestSilencePromptsRefusal guards against callers that leave without a response or refusal, wherever
// the relay waits before the response has begun.
func TestSilencePromptsRefusal(t *testing.T) {
	mute := func(ctx context.Context) { <-ctx.Done() }
	scenarios := []struct {
		testName string
		path     string
		mute     muteKeepers
		endpoint behaviour
		resumes  bool
		prepare  func(r *Relay)
		// ran is set if an endpoint may have executed the request.
		ran bool
	}{
		{testName: "memory", path: "/resume/x", mute: muteKeepers{reserve: true}},
		{testName: "memory of a stream that must not run twice", path: "/read/x", mute: muteKeepers{reserve: true}},
		{testName: "a prefill slot", path: "/resume/x", mute: muteKeepers{slot: true}},
		{testName: "the first event", path: "/read/x", endpoint: neverBegins, ran: true},
		{testName: "the first event of a stream that may move", path: "/resume/x", endpoint: neverBegins, ran: true},
		{testName: "the head", path: "/read/x", endpoint: hangs, ran: true},
		{testName: "the head of a stream that may move", path: "/resume/x", endpoint: hangs, ran: true},
		{testName: "the head of a plain stream", path: "/plain-stream/x", endpoint: hangs, ran: true},
		{testName: "the head of a call", path: "/action/x", endpoint: hangs, ran: true},
		{testName: "the head of a lookup", path: "/lookup/x", endpoint: hangs, ran: true},
		{testName: "a permit of a call", path: "/action/x", mute: muteKeepers{permit: true}, prepare: limitEndpoints},
		{testName: "a permit of a stream", path: "/read/x", mute: muteKeepers{permit: true}, prepare: limitEndpoints},
		{testName: "the origin of a stream", path: "/resume/x", resumes: true, mute: muteKeepers{origin: true}},
		{testName: "the hubs", path: "/resume/x", resumes: true, prepare: func(r *Relay) {
			r.config.Refresh = func(ctx context.Context) bool { mute(ctx); return false }
		}},
		{testName: "hubs that are told of versions", path: "/resume/x", prepare: func(r *Relay) {
			time.Sleep(time.Minute)
			r.config.Acknowledge = mute
		}},
	}
	for _, s := range scenarios {
		for _, retries := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, retries %t", s.testName, retries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s.mute.fakeBackend = &fakeBackend{nextDecode: s.endpoint, laterDecodes: s.endpoint, calls: s.endpoint}
					r := newImpatientRelay(t, s.mute.fakeBackend)
					r.config.Keepers = &s.mute
					if !retries {
						r.config.Retries.Ratio, r.config.Retries.Slack = 0, 0
					}
					if s.prepare != nil {
						s.prepare(r)
					}
					const timeout = 5 * time.Second
					request := newTestRequest(s.path, timeout)
					request.Arrived = time.Now()
					if s.resumes {
						request.LastEventID, request.Resumes = "2", "a0"
					}
					patience := timeout
					if request.Prompt != nil || s.path == "/plain-stream/x" {
						patience = testPatience
					}
					refusal := r.Serve(t.Context(), request, httptest.NewRecorder())
					took := time.Since(request.Arrived)
					r.Wait()
					assert.Assert(t, refusal != nil)
					assert.Assert(t, took <= patience-testTransit, "%v after %s", refusal, took)
					outcome := fault.NotExecuted
					if s.ran {
						outcome = fault.Unknown
					}
					assert.Equal(t, refusal.Outcome, outcome)
					assert.Equal(t, impliesNotExecuted(refusal.Status()), !s.ran, "%v", refusal)
					assert.Assert(t, s.ran || refusal.RetryAfter > 0)
				})
			})
		}
	}
}

// lateEvent is a body whose first event arrives with the end of the context.
type lateEvent struct {
	context.Context
	io.Reader
}

func (e lateEvent) Read(p []byte) (int, error) {
	<-e.Done()
	if n, err := e.Reader.Read(p); err == nil {
		return n, nil
	}
	return 0, e.Err()
}

// lateEndpoints is a fakeBackend whose engines send their first event with the end of the context.
type lateEndpoints struct{ *fakeBackend }

func (lateEndpoints) Decode(ctx context.Context, _ pool.Endpoint, _ *Request, _ *CachedPrompt, _ time.Duration) (*Response, error) {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(lateEvent{ctx, strings.NewReader("id: 1\ndata: x\n\n")})}, nil
}

// TestGivenUpStreamDoesNotBegin guards against a stream that begins when it has been given up, and is
// cut at once instead of being refused.
func TestGivenUpStreamDoesNotBegin(t *testing.T) {
	for _, path := range []string{"/read/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBackend{}
				r := newImpatientRelay(t, b)
				r.config.Endpoints = lateEndpoints{b}
				// Without retries the stream stays at its engine.
				r.SetRetries(retry.Limits{Window: 10 * time.Second})
				w, refusal := send(t.Context(), r, path)
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, fault.PatienceExceeded)
				assert.Equal(t, w.Body.Len(), 0)
			})
		})
	}
}

// newImpatientRelay is newTestRelay with callers that leave a stream after a gap without an event.
func newImpatientRelay(t *testing.T, backend *fakeBackend) *Relay {
	t.Helper()
	r := newTestRelay(t, backend)
	r.config.Transit = testTransit
	d := *r.Table().Document
	d.Version++
	d.Routes = slices.Clone(d.Routes)
	for i := range d.Routes {
		if d.Routes[i].Kind == table.Streaming {
			d.Routes[i].Patience = testPatience
		}
	}
	r.SetTable(&d)
	return r
}

// limitEndpoints lets all endpoints state a limit that leaves no permit to this relay.
func limitEndpoints(r *Relay) {
	endpoints, _ := r.config.Pool.Snapshot()
	for _, e := range endpoints {
		r.config.Pool.SetLimit(e, 0.001, time.Now(), time.Now())
		for range 10 {
			r.config.Pool.AcquirePermit(e, 1)
		}
	}
}

// TestSlowStreamIsNotGivenUp guards against a stream that has begun and is ended when its caller would
// have left without its first event.
func TestSlowStreamIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newImpatientRelay(t, &fakeBackend{nextDecode: slowEvents})
		began := time.Now()
		w, refusal := send(t.Context(), r, "/read/x")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, w.Body.String(), wholeStream)
		assert.Assert(t, time.Since(began) > testPatience)
	})
}
