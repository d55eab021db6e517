package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/pool"
)

// countingEndpoints counts what a relay must give back.
type countingEndpoints struct {
	*fakeBackend
	counts *endpointCounts
}

type endpointCounts struct {
	sync.Mutex
	// opened and closed count the bodies of responses, executing the responses of endpoints that execute
	// the request, prompts the prompts that were prefilled, taken those that a decode endpoint may have
	// fetched.
	opened, closed, executing, prompts, taken int
}

type countedBody struct {
	io.ReadCloser
	counts *endpointCounts
	once   *sync.Once
}

// Close implements io.Closer.
func (b countedBody) Close() error {
	b.once.Do(func() {
		b.counts.Lock()
		defer b.counts.Unlock()
		b.counts.closed++
	})
	return b.ReadCloser.Close()
}

// Prefill implements Endpoints.
func (c countingEndpoints) Prefill(ctx context.Context, e pool.Endpoint, r *Request, left time.Duration) (*CachedPrompt, *Response, error) {
	cached, response, err := c.fakeBackend.Prefill(ctx, e, r, left)
	c.counts.Lock()
	defer c.counts.Unlock()
	if cached != nil {
		c.counts.prompts++
	}
	return cached, response, err
}

// Call implements Endpoints.
func (c countingEndpoints) Call(ctx context.Context, e pool.Endpoint, r *Request, left time.Duration) (*Response, error) {
	return c.Decode(ctx, e, r, nil, left)
}

// Decode implements Endpoints.
func (c countingEndpoints) Decode(ctx context.Context, e pool.Endpoint, r *Request, cached *CachedPrompt, left time.Duration) (*Response, error) {
	before := c.executionsNow()
	response, err := c.fakeBackend.Decode(ctx, e, r, cached, left)
	c.counts.Lock()
	defer c.counts.Unlock()
	if cached != nil && c.executionsNow() > before {
		c.counts.taken++
	}
	if response != nil {
		c.counts.opened++
		if !response.NotExecuted {
			c.counts.executing++
		}
		response.Body = countedBody{response.Body, c.counts, &sync.Once{}}
	}
	return response, err
}

func (c countingEndpoints) executionsNow() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.executions
}

// TestMoveLeavesNothing guards against bodies, reservations and prompts that stay behind when a caller leaves
// or an endpoint breaks off while a stream moves.
func TestMoveLeavesNothing(t *testing.T) {
	firsts := []behaviour{pauses, beginsLate, stalls, interruptsStream, hangs, drips, slowEvents}
	others := []behaviour{responds, rejects, refuses, losesResponse, pauses, beginsLate, stalls, hangs, returnsError, interruptsStream}
	for seed := range uint64(1500) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 7))
				b := &fakeBackend{
					nextDecode: firsts[random.IntN(len(firsts))], secondDecode: others[random.IntN(len(others))], laterDecodes: others[random.IntN(len(others))],
					laterPrefills: []behaviour{responds, rejects, refuses, responds}[random.IntN(4)],
				}
				r := newLargeTestRelay(t, b)
				counts := &endpointCounts{}
				r.config.Endpoints = countingEndpoints{b, counts}
				var mutex sync.Mutex
				decodes, lateHead := 0, random.IntN(3) == 0
				b.onSend = func(operation string) {
					mutex.Lock()
					delay := time.Duration(random.Int64N(int64(700 * time.Millisecond)))
					if operation == "decode" {
						decodes++
						if decodes == 1 && lateHead {
							// The head arrives while the move is prepared or decided.
							delay += 1700 * time.Millisecond
						}
					}
					mutex.Unlock()
					time.Sleep(delay)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(time.Duration(random.Int64N(int64(8*time.Second))), cancel)
				_, refusal := send(ctx, r, "/resume/x")
				synctest.Wait()
				counts.Lock()
				defer counts.Unlock()
				state := fmt.Sprintf("%v; %s, %s, %s; sent %v", refusal, b.nextDecode, b.secondDecode, b.laterDecodes, b.sent)
				assert.Equal(t, counts.opened, counts.closed, "bodies: %s", state)
				assert.Assert(t, b.granted-b.released <= counts.executing, "reservations: granted %d, released %d, executing %d: %s", b.granted, b.released, counts.executing, state)
				assert.Assert(t, counts.prompts-len(b.freed) <= counts.taken, "prompts: %d cached, %d freed, %d taken: %s", counts.prompts, len(b.freed), counts.taken, state)
			})
		})
	}
}
