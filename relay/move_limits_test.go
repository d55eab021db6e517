package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/client"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/retry"
)

// newLargeTestRelay is newTestRelay with eight decode engines and six prefill engines.
func newLargeTestRelay(t *testing.T, b *fakeBackend) *Relay {
	t.Helper()
	r := newTestRelay(t, b)
	list := []pool.Endpoint{}
	for i := range 6 {
		name := ident.EndpointName(fmt.Sprint("r", i+1))
		list = append(list, pool.Endpoint{Name: name, Service: "model", Version: "v1", Stage: pool.Prefill, Address: ident.Address(name + ":1"), Slots: 64})
	}
	for i := range 8 {
		name := ident.EndpointName(fmt.Sprint("d", i+1))
		list = append(list, pool.Endpoint{Name: name, Service: "model", Version: "v1", Stage: pool.Decode, Address: ident.Address(name + ":1"), Slots: 64})
	}
	r.config.Pool.ApplySnapshot(list, 2, false)
	return r
}

// TestFailedMovesKeepLimitOfEndpoints guards against requests that more endpoints execute than the route
// allows: a stream stays at its endpoint as the next one breaks off, and then moves to a third one.
func TestFailedMovesKeepLimitOfEndpoints(t *testing.T) {
	for _, first := range []behaviour{pauses, beginsLate, stalls} {
		t.Run(string(first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBackend{nextDecode: first, laterDecodes: losesResponse}
				_, _ = send(t.Context(), newLargeTestRelay(t, b), "/resume/x")
				t.Log(b.sent)
				assert.Assert(t, b.executions <= 2, "%d endpoints execute the request, 2 allowed", b.executions)
			})
		})
	}
}

// TestFailedMoveReturnsRetries guards against moves that fail before anything is sent and yet use up
// the retry limits, so that streams whose endpoints break off are cut.
func TestFailedMoveReturnsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{nextDecode: pauses, localStall: time.Second}
		b.onPrefill = func() { b.prefillLate = true }
		r := newTestRelay(t, b)
		r.SetRetries(retry.Limits{Slack: 10, Window: 10 * time.Second})
		w, refusal := send(t.Context(), r, "/resume/x")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, w.Body.String(), wholeStream)
		assert.Equal(t, b.executions, 1)
		left := 0
		for r.retryLimiter("model").TryAcquire(time.Now(), 1) {
			left++
		}
		assert.Equal(t, left, 8, "nothing was sent once more")
	})
}

// TestFailedMovesLeaveRetries guards against streams that are cut when their endpoint breaks off, as moves of
// another stream that sent nothing have used up the retry limits.
func TestFailedMovesLeaveRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{nextDecode: stalls, localStall: time.Second}
		b.onPrefill = func() { b.prefillLate = true }
		r := newTestRelay(t, b)
		r.SetRetries(retry.Limits{Slack: 8, Window: 10 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		_, _ = send(ctx, r, "/resume/x")
		assert.Equal(t, len(b.sent), 2, "a prefill and a decode")
		b.prefillLate, b.onPrefill, b.nextDecode = false, nil, interruptsStream
		w, refusal := send(t.Context(), r, "/resume/x")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, w.Body.String(), wholeStream)
	})
}

// TestStreamMovesAtLastTry guards against streams that leave a silent endpoint for one that has accepted
// them and is then not used, as the move was made in the last try.
func TestStreamMovesAtLastTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{}
		r := newTestRelay(t, b)
		list := []pool.Endpoint{}
		for i := range 8 {
			name := ident.EndpointName(fmt.Sprint("d", i+1))
			list = append(list, pool.Endpoint{Name: name, Service: "model", Version: "v1", Stage: pool.Combined, Address: ident.Address(name + ":1"), Slots: 64})
		}
		r.config.Pool.ApplySnapshot(list, 2, false)
		behaviours := []behaviour{refuses, refuses, refuses, pauses, responds}
		b.onSend = func(string) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			if len(behaviours) > 0 {
				b.nextDecode, behaviours = behaviours[0], behaviours[1:]
			}
		}
		w, refusal := send(t.Context(), r, "/resume/x")
		t.Log(b.sent)
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, w.Body.String(), wholeStream)
	})
}

// TestLateFailedMoveKeepsStream guards against streams that are cut although their endpoint is sound: the
// next one cannot be reached, or rejects the request, after it counts as accepting, and the retry
// limits allow no further send.
func TestLateFailedMoveKeepsStream(t *testing.T) {
	for _, next := range []behaviour{refuses, rejects} {
		t.Run(string(next), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBackend{nextDecode: pauses, laterDecodes: next}
				r := newTestRelay(t, b)
				// Two retries are allowed: the prefill and the decode of a move.
				r.SetRetries(retry.Limits{Slack: 2 / 0.8, Window: 10 * time.Second})
				decodes := 0
				b.onSend = func(operation string) {
					if operation != "decode" {
						return
					}
					if decodes++; decodes == 2 {
						time.Sleep(dialDelay)
					}
				}
				w, refusal := send(t.Context(), r, "/resume/x")
				t.Log(b.sent)
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, w.Body.String(), wholeStream)
			})
		})
	}
}

// dialDelay is how long the next endpoint takes to say no, less than a connection may take to open.
const dialDelay = 500 * time.Millisecond

// TestNoMoveWithoutSends guards against streams that book memory, prefill slots and retries for moves
// which the limit of sends does not allow any more.
func TestNoMoveWithoutSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{nextDecode: stalls, laterDecodes: rejects}
		r := newLargeTestRelay(t, b)
		asked := map[string]int{}
		b.onAsk = func(what string) {
			if len(b.resumedAfter) >= 3 {
				asked[what]++
			}
		}
		_, _ = send(t.Context(), r, "/resume/x")
		left := 0
		for r.retryLimiter("model").TryAcquire(time.Now(), 1) {
			left++
		}
		t.Log(b.sent, asked, left)
		assert.Equal(t, asked["slot"], 0)
		assert.Equal(t, asked["memory"], 0)
	})
}

// TestMoveToFailingEndpointKeepsStream guards against streams that are cut although their endpoint is
// sound: they moved to one that responds at once, but with a failure or without a signature.
func TestMoveToFailingEndpointKeepsStream(t *testing.T) {
	for _, next := range []behaviour{returnsError, failsEndlessly, unsigned} {
		for _, first := range []behaviour{pauses, beginsLate} {
			t.Run(string(next)+"/"+string(first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := &fakeBackend{nextDecode: first, laterDecodes: next}
					w, refusal := send(t.Context(), newTestRelay(t, b), "/resume/x")
					t.Log(b.sent)
					assert.Assert(t, refusal == nil, "%v", refusal)
					assert.Equal(t, w.Body.String(), wholeStream)
				})
			})
		}
	}
}

// silentPrefills is a backend whose prefill endpoints are silent for a while, unless they are left.
type silentPrefills struct {
	*fakeBackend
	silence time.Duration
}

// Prefill implements Endpoints.
func (b silentPrefills) Prefill(ctx context.Context, e pool.Endpoint, r *Request, left time.Duration) (*CachedPrompt, *Response, error) {
	select {
	case <-ctx.Done():
		return nil, nil, errors.Join(client.ErrResponseLost, ctx.Err())
	case <-time.After(b.silence):
	}
	return b.fakeBackend.Prefill(ctx, e, r, left)
}

// TestSilentPrefillWithoutRetries guards against requests that are refused as their prefill endpoint was
// silent for a second or two, although a decode endpoint may have them as the first send.
func TestSilentPrefillWithoutRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{}
		r := newTestRelay(t, b)
		r.config.Endpoints = silentPrefills{b, 1600 * time.Millisecond}
		r.SetRetries(retry.Limits{Window: 10 * time.Second})
		w, refusal := send(t.Context(), r, "/resume/x")
		t.Log(b.sent)
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, w.Body.String(), wholeStream)
	})
}

// slowRelease is a keeper that holds reservations by their attempt, and that a release reaches late.
type slowRelease struct {
	*fakeBackend
	mutex *sync.Mutex
	// grants counts the reservations granted at each endpoint.
	grants map[ident.Address]int
	// lost counts the reservations that the release of an earlier one has ended.
	lost *int
}

// Reserve implements Keepers.
func (k slowRelease) Reserve(ctx context.Context, e ident.Address, r keeper.ReserveRequest) (keeper.ReserveResponse, error) {
	time.Sleep(10 * time.Millisecond)
	response, err := k.fakeBackend.Reserve(ctx, e, r)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.grants[e]++
	response.Grant = keeper.GrantID(k.grants[e])
	return response, err
}

// Release implements Keepers.
func (k slowRelease) Release(_ context.Context, e ident.Address, r keeper.ReleaseRequest) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	meant := k.grants[e]
	k.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	k.mutex.Lock()
	if k.grants[e] > meant && (r.Grant == 0 || r.Grant == keeper.GrantID(k.grants[e])) {
		*k.lost++
	}
	return nil
}

// TestReleaseAfterFailedMove guards against a reservation that is lost, as the release of an earlier one
// of the same attempt at the same keeper arrives after it.
func TestReleaseAfterFailedMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{}
		r := newTestRelay(t, b)
		lost := 0
		r.config.Keepers = slowRelease{b, &sync.Mutex{}, map[ident.Address]int{}, &lost}
		r.config.Endpoints = breaksOff{silentPrefills{b, 300 * time.Millisecond}, 1300 * time.Millisecond}
		w, refusal := send(t.Context(), r, "/resume/x")
		t.Log(b.sent, b.granted)
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, w.Body.String(), wholeStream)
		assert.Equal(t, lost, 0)
	})
}

// breaksOff is a backend whose first decode brings an event and breaks off after a silence.
type breaksOff struct {
	silentPrefills
	after time.Duration
}

// Decode implements Endpoints.
func (b breaksOff) Decode(ctx context.Context, e pool.Endpoint, r *Request, c *CachedPrompt, left time.Duration) (*Response, error) {
	first := len(b.resumedAfter) == 0
	response, err := b.fakeBackend.Decode(ctx, e, r, c, left)
	if first && err == nil {
		response.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), breakingReader{b.after}))
	}
	return response, err
}

type breakingReader struct{ after time.Duration }

// Read implements io.Reader.
func (b breakingReader) Read([]byte) (int, error) {
	time.Sleep(b.after)
	return 0, io.ErrUnexpectedEOF
}
