package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// history feeds a tracker with crashes of requests that are all different.
type history struct {
	*Tracker
	crashes int
}

func newHistory() *history {
	h := &history{Tracker: NewTracker()}
	h.probeDelay = 0
	return h
}

func (h *history) crash(after time.Duration, endpoint string, parts ...PartID) {
	h.crashes++
	name := fmt.Sprintf("r%d", h.crashes)
	h.RecordCrash(Report{Fingerprint: Fingerprint(name), Attempt: name, Endpoint: endpoint, Parts: parts}, start.Add(after))
}

func TestPartIsBlocked(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(h *history)
		prompt   []PartID
		blocked  bool
	}{
		{
			testName: "three crashes of prompts with the part",
			run: func(h *history) {
				h.crash(0, "a", "shared", "dead")
				h.crash(time.Second, "b", "shared", "dead")
				h.crash(2*time.Second, "c", "shared", "dead")
			},
			prompt: []PartID{"shared", "dead"}, blocked: true,
		},
		{
			testName: "prompts that share only another part",
			run: func(h *history) {
				h.crash(0, "a", "shared", "dead")
				h.crash(time.Second, "b", "shared", "dead")
				h.crash(2*time.Second, "c", "shared", "dead")
			},
			prompt: []PartID{"shared", "other"},
		},
		{
			testName: "the part after different first parts",
			run: func(h *history) {
				h.crash(0, "a", "first", "dead")
				h.crash(time.Second, "b", "second", "dead")
				h.crash(2*time.Second, "c", "second", "dead")
			},
			prompt: []PartID{"third", "dead"}, blocked: true,
		},
		{
			testName: "endpoints that fail together",
			run: func(h *history) {
				for i, endpoint := range []string{"a", "b", "c", "d"} {
					h.crash(time.Duration(i)*20*time.Millisecond, endpoint, "popular")
				}
			},
			prompt: []PartID{"popular"},
		},
		{
			testName: "one endpoint that breaks off by itself",
			run: func(h *history) {
				for i := range 5 {
					h.crash(time.Duration(i)*time.Second, "a", "rare")
				}
			},
			prompt: []PartID{"rare"},
		},
		{
			testName: "an output was begun between the crashes",
			run: func(h *history) {
				h.crash(0, "a", "popular")
				h.crash(time.Second, "b", "popular")
				h.RecordSound([]PartID{"popular"}, start.Add(1500*time.Millisecond))
				h.crash(2*time.Second, "c", "popular")
			},
			prompt: []PartID{"popular"},
		},
		{
			testName: "another process knows of a begun output",
			run: func(h *history) {
				h.crash(0, "a", "popular")
				h.crash(time.Second, "b", "popular")
				h.crash(2*time.Second, "c", "popular")
				h.ApplySounds([]Sound{{Part: "popular", Age: 500 * time.Millisecond}}, start.Add(3*time.Second))
			},
			prompt: []PartID{"popular"},
		},
		{
			testName: "prompts beside the one that crashes the endpoints",
			run: func(h *history) {
				for i, endpoint := range []string{"a", "b", "c", "d"} {
					at := time.Duration(i) * time.Second
					h.crash(at, endpoint, "popular", "dead")
					h.crash(at+30*time.Millisecond, endpoint, "popular")
				}
			},
			prompt: []PartID{"popular"},
		},
		{
			testName: "the prompt beside which others were",
			run: func(h *history) {
				for i, endpoint := range []string{"a", "b", "c", "d"} {
					at := time.Duration(i) * time.Second
					h.crash(at, endpoint, "popular", "dead")
					h.crash(at+30*time.Millisecond, endpoint, "popular")
				}
			},
			prompt: []PartID{"popular", "dead"}, blocked: true,
		},
		{
			testName: "a part of many prompts that is sound at times, after crashes of which one has another cause",
			run: func(h *history) {
				h.crash(0, "z", "popular")
				h.RecordSound([]PartID{"popular"}, start.Add(500*time.Millisecond))
				for i, endpoint := range []string{"a", "b", "c", "d"} {
					at := time.Duration(i+1) * time.Second
					h.crash(at, endpoint, "popular", "dead")
					h.crash(at+30*time.Millisecond, endpoint, "popular")
				}
				h.crash(6*time.Second, "y", "popular")
			},
			prompt: []PartID{"popular"},
		},
		{testName: "a prompt without shared parts", run: func(h *history) { h.crash(0, "a") }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			h := newHistory()
			s.run(h)
			assert.Equal(t, h.Blocked("f", s.prompt, start.Add(7*time.Second)), s.blocked)
		})
	}
}

// TestBlockedPartIsProbed tries prompts with a blocked part again after a quarantine, one at
// a time, until an output is begun.
func TestBlockedPartIsProbed(t *testing.T) {
	h, dead := newHistory(), []PartID{"dead"}
	for i, endpoint := range []string{"a", "b", "c"} {
		h.crash(time.Duration(i)*time.Second, endpoint, "dead")
	}
	last := start.Add(2 * time.Second)
	assert.Assert(t, !h.TryProbe("f", dead, last.Add(quarantine-time.Second)))
	assert.Assert(t, h.TryProbe("f", dead, last.Add(quarantine)))
	assert.Assert(t, !h.TryProbe("f", dead, last.Add(quarantine+time.Second)), "one prompt at a time")
	h.crash(quarantine+3*time.Second, "d", "dead")
	assert.Assert(t, h.Blocked("f", dead, last.Add(quarantine+time.Second)))
	assert.Assert(t, !h.TryProbe("f", dead, last.Add(quarantine+probeInterval)), "one crash blocks it again")
	assert.Assert(t, h.TryProbe("f", dead, last.Add(3*quarantine)))
	h.RecordSound(dead, last.Add(3*quarantine+time.Second))
	assert.Assert(t, !h.Blocked("f", dead, last.Add(3*quarantine+time.Second)))
}

// TestTrackerKeepsPartCrashes limits the memory and keeps the crashes that count against
// parts, whatever else crashes.
func TestTrackerKeepsPartCrashes(t *testing.T) {
	h := newHistory()
	for i, endpoint := range []string{"a", "b", "c"} {
		h.crash(time.Duration(i)*time.Second, endpoint, "dead")
	}
	for i := range 2 * maxStoredCrashes {
		h.crash(4*time.Second, fmt.Sprintf("e%d", i))
	}
	assert.Assert(t, h.Size() <= maxStoredCrashes)
	assert.Assert(t, h.Blocked("f", []PartID{"dead"}, start.Add(5*time.Second)))
}
