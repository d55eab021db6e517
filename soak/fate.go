package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// ending is how a request ended for its caller.
type ending string

const (
	answered ending = "answered"
	refused  ending = "refused"
	// notSent means that no connection was accepted, so the request never left its caller.
	notSent ending = "not sent"
	// closedUnanswered means that the connection ended before a response.
	closedUnanswered ending = "closed without a response"
	// closedUnread means the same, and that the bytes of the request were not read.
	closedUnread ending = "closed without having been read"
	// cutOff means that a response began and didn't end.
	cutOff ending = "cut in its response"
	// outOfPatience means that the caller left, as it had waited longer than it stated.
	outOfPatience ending = "left by its caller"
)

// fate is what became of one request at one relay or entry.
type fate struct {
	request string
	kind    string
	// process is the name of the relay or entry.
	process         string
	sentAt, endedAt time.Time
	ending          ending
	// status and detail are what the caller received.
	status int
	detail string
}

// sighting is the arrival of a request at an endpoint.
type sighting struct {
	at time.Time
	// endpoint is the name under which faults of the endpoint are recorded.
	endpoint string
}

// evidence is what was recorded of a request outside of its caller.
type evidence struct {
	// logged is set if a log line of a relay or entry shows that it has read the request.
	logged bool
	// sightings are the request's arrivals at endpoints.
	sightings []sighting
}

// outage is a fault that excuses requests at a process or endpoint which end without an answer:
// a kill, a freeze, a reset or a silence. Stops, reloads and changes of the configuration excuse
// nothing, nor do faults of the store.
type outage struct {
	target, kind string
	from, until  time.Time
}

func (o outage) overlaps(from, until time.Time) bool {
	return !o.from.After(until) && !o.until.Before(from)
}

// verdict is the judgement of a request that ended with neither an answer nor a refusal.
type verdict struct {
	fate
	evidence
	// excuse names what excuses the end; it is empty for a broken promise.
	excuse string
}

// crossedClose is the excuse of a request that nobody has read.
const crossedClose = "crossed the close of its connection, unread"

// judge returns whether a request ended with neither an answer nor a refusal, and its excuse.
func judge(f fate, e evidence, outages []outage) (verdict, bool) {
	v := verdict{fate: f, evidence: e}
	if f.ending == answered || f.ending == refused || f.ending == notSent {
		return v, false
	}
	targets := []string{f.process}
	for _, s := range e.sightings {
		targets = append(targets, s.endpoint)
	}
	for _, o := range outages {
		if slices.Contains(targets, o.target) && o.overlaps(f.sentAt, f.endedAt) {
			v.excuse = o.kind + " of " + o.target
			return v, true
		}
	}
	if f.ending == closedUnread && !e.logged && len(e.sightings) == 0 {
		v.excuse = crossedClose
	}
	return v, true
}

// String describes the verdict for a trace.
func (v verdict) String() string {
	var seen []string
	for _, s := range v.sightings {
		seen = append(seen, s.endpoint+" at "+clock(s.at))
	}
	return fmt.Sprintf("%s %s at %s: %s (status %d %s), sent %s, ended %s, logged %t, seen by [%s]",
		v.kind, v.request, v.process, v.ending, v.status, strings.ReplaceAll(v.detail, "\n", "; "), clock(v.sentAt), clock(v.endedAt), v.logged, strings.Join(seen, ", "))
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// beginOutage records an outage from now on; the function that it returns ends it.
func (f *fleet) beginOutage(target, kind string) (end func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index := len(f.outages)
	from := time.Now()
	// Until its end is known, an outage lasts.
	f.outages = append(f.outages, outage{target: target, kind: kind, from: from, until: from.Add(time.Hour)})
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.outages[index].until = time.Now()
	}
}

// judgeAll reports each request that ended with neither an answer nor a refusal, and counts them by
// excuse.
func (f *fleet) judgeAll(fates []fate, evidenceOf func(fate) evidence) {
	f.mutex.Lock()
	outages := slices.Clone(f.outages)
	f.mutex.Unlock()
	counts := map[string]int{}
	for _, one := range fates {
		counts["all "+string(one.ending)]++
		if one.ending == answered || one.ending == refused || one.ending == notSent {
			continue
		}
		v, _ := judge(one, evidenceOf(one), outages)
		switch {
		case v.excuse != "":
			_, _ = fmt.Fprintf(f.out, "excused by %s: %s\n", v.excuse, v)
			counts["excused, "+strings.SplitN(v.excuse, " of ", 2)[0]]++
		case v.ending == outOfPatience && !f.timing:
			// Without checks that depend on timing, a slow machine is no fault.
			_, _ = fmt.Fprintf(f.out, "not counted without timing: %s\n", v)
			counts["not counted"]++
		default:
			f.reportViolation("neither answered nor refused: seed %d, %s", f.seed, v)
			counts["not excused"]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(f.out, "  %s: %d\n", name, counts[name])
	}
}
