package keeper

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/admit"
	"crocusstep/ident"
	"crocusstep/memory"
	"crocusstep/pool"
)

// referenceQueue grants memory by urgency and arrival alone.
type referenceQueue struct {
	runs    map[ident.AttemptID]ReserveRequest
	waiting []ReserveRequest
	granted []ident.AttemptID
}

func (q *referenceQueue) fits(r ReserveRequest) bool {
	var runs []memory.Run
	for _, running := range q.runs {
		runs = append(runs, running.Output.Run(running.Prompt, 0))
	}
	return memory.Policy{Capacity: 20000, Slots: r.Slots, SafetyFactor: SafetyFactor}.Fits(runs, r.run())
}

func (q *referenceQueue) grant(r ReserveRequest) {
	q.runs[r.Attempt] = r
	q.granted = append(q.granted, r.Attempt)
}

func (q *referenceQueue) arrive(r ReserveRequest) {
	if len(q.waiting) == 0 && q.fits(r) {
		q.grant(r)
		return
	}
	q.waiting = append(q.waiting, r)
	slices.SortStableFunc(q.waiting, func(a, b ReserveRequest) int { return cmp.Compare(a.Urgency, b.Urgency) })
}

func (q *referenceQueue) admit() {
	for len(q.waiting) > 0 && q.fits(q.waiting[0]) {
		q.grant(q.waiting[0])
		q.waiting = q.waiting[1:]
	}
}

// TestOrderWithoutPriorities compares a keeper with a queue by urgency alone, for requests to a
// service whose requests differ by neither priority nor workspace.
func TestOrderWithoutPriorities(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		k := newOrderKeeper(outer)
		q := &referenceQueue{runs: map[ident.AttemptID]ReserveRequest{}}
		var granted []ident.AttemptID
		seen := map[ident.AttemptID]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(q.runs) > 0 && rapid.Bool().Draw(t, "ends") {
				ended := q.granted[rapid.IntRange(0, len(q.granted)-1).Draw(t, "which")]
				delete(q.runs, ended)
				k.dropReservation(ended)
			} else {
				r := newRequest(fmt.Sprint(i), admit.Timing(rapid.IntRange(0, 3).Draw(t, "urgency")), time.Second)
				r.Prompt = ident.TokenCount(rapid.IntRange(1, 9000).Draw(t, "prompt"))
				q.arrive(r)
				arrive(k, r)
			}
			q.admit()
			k.admitLocked()
			for attempt := range k.reservations {
				if !seen[attempt] {
					seen[attempt] = true
					granted = append(granted, attempt)
				}
			}
		}
		assert.DeepEqual(t, slices.Sorted(slices.Values(granted)), slices.Sorted(slices.Values(q.granted)))
		for i, w := range k.waiting {
			assert.Equal(t, w.request.Attempt, q.waiting[i].Attempt)
		}
	})
}

func newOrderKeeper(t testing.TB) *Keeper {
	t.Helper()
	k := newTestKeeper(t, &fakeEngine{})
	k.report = EngineReport{Capacity: 20000, Stage: pool.Decode, StartMillis: 1}
	return k
}

// arrive does what Reserve does with a request that may wait.
func arrive(k *Keeper, r ReserveRequest) {
	k.mean.add(r)
	k.recordAsk(r)
	if k.isFirst(r) && k.fits(r) && !k.yields(r) {
		k.grant(r)
		return
	}
	k.waiting = append(k.waiting, &waiter{request: r, granted: make(chan struct{})})
	k.sortWaiting()
}

// TestMessageWithoutPriorities has no new field in the messages of such a service.
func TestMessageWithoutPriorities(t *testing.T) {
	reserve, err := json.Marshal(ReserveRequest{})
	assert.NilError(t, err)
	prefill, err := json.Marshal(PrefillRequest{})
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(reserve), "order") && !strings.Contains(string(prefill), "order"), "%s %s", reserve, prefill)
	assert.Assert(t, !strings.Contains(string(prefill), "urgency"), "%s", prefill)
}

// ordered returns a request with an order.
func ordered(name string, urgency admit.Timing, priority int, workspace ident.WorkspaceName) ReserveRequest {
	r := newRequest(name, urgency, 3*time.Second)
	r.Order = &admit.Order{Priority: priority, Workspace: workspace}
	return r
}

// TestOrderAtFullEngine has requests wait for the memory of one that ends.
func TestOrderAtFullEngine(t *testing.T) {
	scenarios := []struct {
		testName string
		// first arrives before second.
		first, second ReserveRequest
		served        ident.AttemptID
	}{
		{testName: "the more urgent precedes", first: ordered("a", admit.InTime, 2, ""), second: ordered("b", admit.InTime, 0, ""), served: "b"},
		{testName: "a stream that has begun precedes the urgent", first: ordered("a", admit.InTime, 0, ""), second: ordered("b", admit.Begun, 2, ""), served: "b"},
		{testName: "one in time precedes a late one", first: ordered("a", admit.Late, 0, ""), second: ordered("b", admit.InTime, 0, ""), served: "b"},
		{testName: "a workspace that used more than its share comes later", first: ordered("a", admit.InTime, 0, "large"), second: ordered("b", admit.InTime, 0, "small"), served: "b"},
		{testName: "equal ones in order of arrival", first: ordered("a", admit.InTime, 0, "small"), second: ordered("b", admit.InTime, 0, "other"), served: "a"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newOrderKeeper(t)
				for i := range 3 {
					arrive(k, ordered(fmt.Sprint(i), admit.InTime, 0, "large"))
				}
				k.book.Ask(time.Now(), admit.Order{Workspace: "small"}, admit.InTime)
				time.Sleep(10 * time.Second)
				arrive(k, s.first)
				arrive(k, s.second)
				assert.Equal(t, len(k.waiting), 2)
				k.dropReservation("0")
				k.admitLocked()
				assert.Assert(t, k.reservations[s.served] != nil, "%v waits", s.served)
				assert.Equal(t, len(k.waiting), 1)
			})
		})
	}
}

// TestLateYieldsToExpected is a burst of requests in time: a late one gets no memory that the
// next of them needs, and gets it when the burst has ended.
func TestLateYieldsToExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newOrderKeeper(t)
		for i := range 20 {
			k.recordAsk(ordered(fmt.Sprint(i), admit.InTime, 0, ""))
			time.Sleep(50 * time.Millisecond)
		}
		arrive(k, ordered("first", admit.InTime, 0, ""))
		arrive(k, ordered("second", admit.InTime, 0, ""))
		arrive(k, ordered("late", admit.Late, 0, ""))
		assert.Assert(t, k.reservations["late"] == nil, "the last memory is kept for requests in time")
		arrive(k, ordered("third", admit.InTime, 0, ""))
		assert.Assert(t, k.reservations["third"] != nil, "a request in time precedes the late one that waits")
		k.dropReservation("third")
		time.Sleep(20 * time.Second)
		k.admitLocked()
		assert.Assert(t, k.reservations["late"] != nil)
	})
}
