package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/pool"
)

// slowEndless is a body without end, of which a part arrives each millisecond.
type slowEndless struct{ kept, highest *atomic.Int64 }

func (s slowEndless) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	n := int64(min(len(p), 32<<10))
	for now := s.kept.Add(n); ; {
		if highest := s.highest.Load(); now <= highest || s.highest.CompareAndSwap(highest, now) {
			return int(n), nil
		}
	}
}

// TestManyEndlessBodies guards against relays that run out of memory, and so end the requests of all callers, as faulty endpoints
// send many bodies without end at the same time.
func TestManyEndlessBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The smallest relays have 112 MB.
		const bodies, memory = 30, 112 << 20 / 6
		limit := newResponseMemory(memory)
		var kept, highest atomic.Int64
		var readers sync.WaitGroup
		for range bodies {
			readers.Go(func() {
				counted := &countedReader{Reader: slowEndless{kept: &kept, highest: &highest}}
				_, release, err := limit.readBody(counted)
				assert.Check(t, err != nil)
				kept.Add(-counted.read)
				release()
			})
		}
		readers.Wait()
		assert.Assert(t, highest.Load()*growthFactor <= memory+bodies*2*growthFactor*freeBytes, "%d bytes were kept at the same time", highest.Load())

		data, release, err := limit.readBody(io.LimitReader(&countedReader{Reader: slowEndless{kept: &kept, highest: &highest}}, maxResponseBytes))
		assert.NilError(t, err, "the largest response has room once the others have gone")
		assert.Equal(t, len(data), maxResponseBytes)
		release()
		assert.Assert(t, limit.free.TryAcquire(memory), "all memory has been returned")
	})
}

// countedReader counts the bytes read.
type countedReader struct {
	io.Reader
	read int64
}

func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read += int64(n)
	return n, err
}

// largeResponses has endpoints that respond to calls with large bodies.
type largeResponses struct{ *fakeBackend }

// Call implements Endpoints.
func (largeResponses) Call(context.Context, pool.Endpoint, *Request, time.Duration) (*Response, error) {
	return &Response{Status: http.StatusOK, Signed: true, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 4*freeBytes)))}, nil
}

// TestLargeResponseReturnsMemory guards against memory that a relay does not take back once a large response has been written.
func TestLargeResponseReturnsMemory(t *testing.T) {
	const memory = 1 << 20
	r := newTestRelay(t, &fakeBackend{})
	r.config.Endpoints, r.responses = largeResponses{&fakeBackend{}}, newResponseMemory(memory)
	w, refusal := send(t.Context(), r, "/lookup/x")
	assert.Assert(t, refusal == nil)
	assert.Equal(t, w.Body.Len(), 4*freeBytes)
	assert.Assert(t, r.responses.free.TryAcquire(memory), "all memory has been returned")
}

// TestEndlessResponsesReturnMemory lets all endpoints send responses and events without end, and guards against memory that a
// relay does not take back when they have ended.
func TestEndlessResponsesReturnMemory(t *testing.T) {
	for _, path := range []string{"/action/x", "/lookup/x", "/read/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const memory = 1 << 20
				script := everywhere(neverEnds, neverEnds, neverEnds)
				if path == "/read/x" {
					script = decodes(neverEnds, neverEnds, neverEnds)
				}
				r := newTestRelay(t, &fakeBackend{script: script})
				r.responses = newResponseMemory(ident.ByteCount(memory))
				_, refusal := send(t.Context(), r, path)
				assert.Assert(t, refusal != nil)
				assert.Assert(t, r.responses.free.TryAcquire(memory), "all memory has been returned")
			})
		})
	}
}
