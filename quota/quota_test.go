package quota

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBucket(t *testing.T) {
	limit := bounds.NewLimit(29_000, 29_000)
	full := func() *bucket {
		b := newBucket(limit.terms(false), start, start)
		b.update(start.Add(time.Minute))
		return b
	}
	now := start.Add(time.Minute)
	scenarios := []struct {
		testName string
		run      func(t *testing.T, b *bucket)
	}{
		{
			testName: "the last request may overdraw, then none fits until the deficit is made up",
			run: func(t *testing.T, b *bucket) {
				_, wait := b.take(now, 1e5, 0)
				assert.Equal(t, wait, time.Duration(0))
				_, wait = b.take(now, 1, 0)
				assert.Assert(t, wait > 0)
				_, wait = b.take(now.Add(wait), 15_000, 0)
				assert.Equal(t, wait, time.Duration(0))
			},
		},
		{
			testName: "what is given back cannot be taken beyond the window's limit",
			run: func(t *testing.T, b *bucket) {
				taken := Units(0)
				for at := now; at.Before(now.Add(limit.Window)); at = at.Add(50 * time.Millisecond) {
					// A stream of charges that are given back after the bucket has been filled again.
					b.giveBack(at, 1e5, 40*time.Second)
					b.level = b.terms.capacity
					if got, _ := b.take(at, 5270, 0); got > 0 {
						taken += got
					}
				}
				assert.Assert(t, taken <= b.terms.windowMax, "%.0f taken of %.0f", taken, b.terms.windowMax)
			},
		},
		{
			testName: "what is given back can be taken again",
			run: func(t *testing.T, b *bucket) {
				b.take(now, 80_000, 0)
				b.giveBack(now.Add(time.Second), 80_000, time.Second)
				assert.Equal(t, b.level, b.terms.capacity)
				_, wait := b.take(now.Add(time.Second), 80_000, 0)
				assert.Equal(t, wait, time.Duration(0))
			},
		},
		{
			testName: "a lower limit applies at once",
			run: func(t *testing.T, b *bucket) {
				lower := Bounds{Window: bounds.Window}.NewLimit(1000, 1000).terms(false)
				b.setTerms(lower, now)
				assert.Equal(t, b.level, lower.capacity)
			},
		},
		{
			testName: "extra units do not overdraw",
			run: func(t *testing.T, b *bucket) {
				taken, _ := b.take(now, b.level-10, 500)
				assert.Equal(t, taken, b.terms.capacity)
			},
		},
		{
			testName: "a request larger than the window's limit never fits",
			run: func(t *testing.T, b *bucket) {
				_, wait := b.take(now, b.terms.windowMax+1, 0)
				assert.Assert(t, wait > 0)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { s.run(t, full()) })
	}
}

func TestRestart(t *testing.T) {
	limit := bounds.NewLimit(29_000, 29_000)
	ask := func(viewAge time.Duration, changed bool) Request {
		return Request{Limit: limit, Version: 1, Need: 5270, ViewAge: viewAge, Changed: changed}
	}
	now := start.Add(time.Minute)
	scenarios := []struct {
		testName string
		uptime   time.Duration
		request  Request
		granted  bool
	}{
		{testName: "a granter that all have known for long", uptime: time.Minute, request: ask(time.Minute, false), granted: true},
		{testName: "a granter that has just replaced another one", uptime: time.Minute, request: ask(time.Second, true)},
		{testName: "a granter that replaced another one long ago", uptime: time.Minute, request: ask(20*time.Second, true), granted: true},
		{testName: "a process that has just started", uptime: 10 * time.Millisecond, request: ask(time.Minute, false)},
		{testName: "a process that started a second ago", uptime: time.Second, request: ask(time.Minute, false), granted: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			response := NewGrants[string](now.Add(-s.uptime)).Take(now, "workspace", s.request)
			assert.Equal(t, response.Granted > 0, s.granted, "%+v", response)
		})
	}
}

func TestVersions(t *testing.T) {
	g := NewGrants[string](start)
	now := start.Add(time.Minute)
	high, low := bounds.NewLimit(100_000, 100_000), Bounds{Window: 8 * time.Second}.NewLimit(1000, 0)
	take := func(limit Limit, version int64) Response {
		return g.Take(now, "workspace", Request{Limit: limit, Version: version, Need: 5270, ViewAge: time.Minute})
	}
	assert.Assert(t, take(high, 1).Granted > 0)
	take(low, 2)
	assert.Assert(t, take(high, 1).Granted == 0, "an older version does not raise the limit again")
}

// TestInvalidRequests guards the granter against values that no relay sends.
func TestInvalidRequests(t *testing.T) {
	valid := bounds.NewLimit(1000, 1000)
	g := NewGrants[string](start)
	for _, r := range []Request{
		{Limit: valid, Need: -1},
		{Limit: valid, Need: Units(math.NaN())},
		{Limit: valid, Need: 1, Extra: Units(math.NaN())},
		{Limit: valid, Need: 1, ViewAge: -1},
		{Need: 1},
		{Limit: Limit{PerSecond: Units(math.NaN()), Window: time.Second}, Need: 1},
	} {
		response := g.Take(start.Add(time.Minute), "workspace", r)
		assert.Assert(t, response.Granted == 0 && response.Wait > 0, "%+v: %+v", r, response)
	}
	g.GiveBack(start, "unknown", 1, 0, false)
}

func TestAccount(t *testing.T) {
	limit := bounds.NewLimit(29_000, 29_000)
	a := NewAccount()
	charge, need, extra := a.TryCharge(start, limit, 31, 200)
	assert.Assert(t, charge.Total == 0 && need == 200 && extra > 0, "an account starts with nothing")
	assert.Assert(t, extra <= limit.maxLease(31))
	a.ApplyGrant(start, 200, Response{Granted: 200 + extra}, false)
	charge, need, _ = a.TryCharge(start.Add(time.Second), limit, 31, 200)
	assert.Assert(t, need == 0 && charge.Granted > 0, "the lease serves the next request")
	a.ApplyGrant(start, 200, Response{Granted: 200 + extra}, false)
	_, need, _ = a.TryCharge(start.Add(LeaseTTL), limit, 31, 200)
	assert.Equal(t, need, Units(200), "the lease has expired")
}
