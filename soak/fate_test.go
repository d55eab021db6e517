package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJudge guards against requests that end with neither an answer nor a refusal and are excused by
// a fault that did not touch them.
func TestJudge(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }
	seen := []sighting{{at: at(11), endpoint: "engine-1"}}
	scenarios := []struct {
		testName string
		ending   ending
		evidence evidence
		outages  []outage
		lost     bool
		excuse   string
	}{
		{testName: "answered", ending: answered},
		{testName: "refused", ending: refused},
		{testName: "not sent", ending: notSent},
		{testName: "cut", ending: cutOff, evidence: evidence{logged: true, sightings: seen}, lost: true},
		{testName: "closed and unread", ending: closedUnread, lost: true, excuse: crossedClose},
		{testName: "closed, unread and logged", ending: closedUnread, evidence: evidence{logged: true}, lost: true},
		{testName: "closed and read", ending: closedUnanswered, lost: true},
		{testName: "closed and logged", ending: closedUnanswered, evidence: evidence{logged: true}, lost: true},
		{testName: "closed and seen", ending: closedUnanswered, evidence: evidence{sightings: seen}, lost: true},
		{testName: "left and unread", ending: outOfPatience, lost: true},
		{testName: "kill of its process", ending: cutOff, outages: []outage{{"relay-1", "kill", at(12), at(13)}}, lost: true, excuse: "kill of relay-1"},
		{testName: "kill of its process before", ending: cutOff, outages: []outage{{"relay-1", "kill", at(1), at(9)}}, lost: true},
		{testName: "kill of its process afterwards", ending: cutOff, outages: []outage{{"relay-1", "kill", at(16), at(17)}}, lost: true},
		{testName: "kill of another process", ending: cutOff, outages: []outage{{"relay-2", "kill", at(12), at(13)}}, lost: true},
		{testName: "reset of its endpoint", ending: cutOff, evidence: evidence{sightings: seen}, outages: []outage{{"engine-1", "reset", at(12), at(12)}}, lost: true, excuse: "reset of engine-1"},
		{testName: "reset of another endpoint", ending: cutOff, evidence: evidence{sightings: seen}, outages: []outage{{"engine-2", "reset", at(12), at(12)}}, lost: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := fate{request: "a-1", process: "relay-1", sentAt: at(10), endedAt: at(15), ending: s.ending}
			v, lost := judge(f, s.evidence, s.outages)
			assert.Equal(t, lost, s.lost)
			assert.Equal(t, v.excuse, s.excuse)
		})
	}
}
