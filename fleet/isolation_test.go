package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/fault"
)

// lookupCapacity is the number of lookups of 25 ms that 3 endpoints with 16 slots
// complete within the whole-answer target of 2 s.
const lookupCapacity = 3 * 16 * 80

// TestLookupIsolation sends a burst of lookups along with actions and chat requests.
// The actions and chat requests must meet their targets, and the lookups must
// succeed up to the endpoints' capacity.
func TestLookupIsolation(t *testing.T) {
	scenarios := []struct {
		testName    string
		lookups     int
		minAnswered int
	}{
		{"within the endpoints' capacity", 3000, 3000},
		{"far above the endpoints' capacity", 9000, lookupCapacity * 9 / 10},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { floodLookups(t, s.lookups, s.minAnswered) })
		})
	}
}

func floodLookups(t *testing.T, lookups, minAnswered int) {
	f := newHalvorsen(t)
	defer f.Close()
	const actions, chats = 60, 6
	var answered, late, failed atomic.Int64
	var tasks conc.WaitGroup
	for i := range lookups {
		tasks.Go(func() {
			result, err := f.Caller(f.EntryNames()[i%2]).Call(context.Background(), "renewal-desk", http.MethodGet, fmt.Sprintf("/permits/%d/status", i), "", "")
			if err == nil && result.Problem == nil {
				answered.Add(1)
			}
		})
	}
	for i := range actions {
		tasks.Go(func() {
			started := time.Now()
			body := fmt.Sprintf(`{"permit":"%d","period":"1"}`, i)
			result, err := f.Caller(f.EntryNames()[i%2]).Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "", body)
			if err != nil || result.Problem != nil {
				failed.Add(1)
			}
			if time.Since(started) > 2*time.Second {
				late.Add(1)
			}
		})
	}
	for i := range chats {
		tasks.Go(func() {
			chat, err := sendChat(f, f.EntryNames()[i%2], fmt.Sprintf("reading %d length=20", i))
			if err != nil {
				failed.Add(1)
			}
			if chat.FirstToken > 4*time.Second {
				late.Add(1)
			}
		})
	}
	tasks.Wait()
	t.Logf("%d of %d lookups answered", answered.Load(), lookups)
	assert.Equal(t, failed.Load(), int64(0))
	assert.Equal(t, late.Load(), int64(0))
	assert.Assert(t, int(answered.Load()) >= minAnswered)
}

// TestSharedLookups checks that identical concurrent lookups of many callers share
// a few executions.
func TestSharedLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		for range 500 {
			tasks.Go(func() {
				result, err := f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/7/status", "", "")
				assert.NilError(t, err)
				assert.Assert(t, result.Problem == nil)
			})
		}
		tasks.Wait()
		assert.Assert(t, countRuns(f) < 10, "%d runs for 500 concurrent callers", countRuns(f))
	})
}

// TestRegionLinkBudget checks that requests from a region without endpoints are
// rejected when the budget of the link to the other region is used up.
func TestRegionLinkBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		text := "service: far\nworkspace: w\nkind: language-model\npools: {prefill: reading-prefill, decode: reading-decode}\n" +
			"targets: {first-token: 4s, between-tokens: 76ms, patience: 30s}\n" +
			"regions: {home: cascadia-west, may-cross: true, link-bytes-per-second: 1KiB}\n"
		assert.NilError(t, f.PutDocument(context.Background(), "far", []byte(text)))
		assert.NilError(t, f.AddEntry("away", "willamette"))
		time.Sleep(10 * time.Second)
		crossed := 0
		var refusal fault.Code
		for i := range 8 {
			chat, err := f.Caller("away").Chat(context.Background(), "far", longPrompt(400)+fmt.Sprint(i), true)
			assert.NilError(t, err)
			if chat.Problem == nil {
				crossed++
				continue
			}
			refusal = chat.Problem.Code
			assert.Assert(t, chat.Problem.RetryAfterSeconds > 0)
		}
		assert.Assert(t, crossed >= 1 && crossed < 8, "%d of 8 crossed", crossed)
		assert.Equal(t, refusal, fault.Overloaded)
	})
}

// TestWaitingLimit checks that the limit of waiting requests does not count a
// request that is already streaming.
func TestWaitingLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		text := "service: narrow\nworkspace: w\nkind: language-model\npools: {prefill: reading-prefill, decode: reading-decode}\n" +
			"targets: {first-token: 4s, between-tokens: 76ms, patience: 30s}\nlimits: {waiting: 1}\n"
		assert.NilError(t, f.PutDocument(context.Background(), "narrow", []byte(text)))
		var tasks conc.WaitGroup
		tasks.Go(func() {
			_, err := f.Caller("e1").Chat(context.Background(), "narrow", "length=200", true)
			assert.NilError(t, err)
		})
		awaitDecode(f)
		time.Sleep(time.Second)
		var second conc.WaitGroup
		second.Go(func() {
			chat, err := f.Caller("e1").Chat(context.Background(), "narrow", longPrompt(5000), true)
			assert.NilError(t, err)
			assert.Assert(t, chat.Complete, "%+v", chat.Problem)
		})
		time.Sleep(100 * time.Millisecond)
		third, err := f.Caller("e1").Chat(context.Background(), "narrow", "length=5", true)
		assert.NilError(t, err)
		assert.Equal(t, third.Problem.Code, fault.Overloaded)
		assert.Assert(t, third.Problem.RetryAfterSeconds > 0)
		second.Wait()
		tasks.Wait()
	})
}
