package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

var home = Topology{Zone: "z1", Regions: map[ident.ZoneName]ident.RegionName{"z1": "r1", "z2": "r1", "z3": "r2"}}

func memberIn(name string, zone ident.ZoneName) Member {
	return Member{Endpoint: Endpoint{Name: ident.EndpointName(name), Zone: zone, Slots: 6}}
}

func TestPlain(t *testing.T) {
	busy, grey, slow, broken, lapsed := memberIn("busy", "z1"), memberIn("grey", "z1"), memberIn("slow", "z1"), memberIn("broken", "z1"), memberIn("lapsed", "z1")
	busy.Outstanding = 12
	grey.FailureRate = 0.5
	slow.MeanLatency = 400 * time.Millisecond
	broken.Suspended = true
	lapsed.Lapsed = true
	scenarios := []struct {
		testName string
		list     []Member
		first    string
	}{
		{testName: "the own zone goes first", list: []Member{memberIn("far", "z3"), memberIn("next", "z2"), memberIn("here", "z1")}, first: "here"},
		{testName: "a burst spreads to the next zone", list: []Member{busy, memberIn("next", "z2")}, first: "next"},
		{testName: "one that fails half of its requests goes behind another region", list: []Member{grey, memberIn("far", "z3")}, first: "far"},
		{testName: "one that has become slow goes behind", list: []Member{slow, memberIn("far", "z3")}, first: "far"},
		{testName: "a suspended one is the last resort", list: []Member{broken, lapsed}, first: "lapsed"},
		{testName: "a pool of suspended ones is not empty", list: []Member{broken}, first: "broken"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, string(home.RankPlain(s.list)[0].Name), s.first)
		})
	}
}

func TestPrefillsByBacklog(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ahead, read := memberIn("ahead", "z1"), memberIn("read", "z2")
	ahead.Load = Load{PrefillBacklog: 200 * time.Millisecond, ReportedAt: now}
	read.Load = Load{PrefillBacklog: 300 * time.Millisecond, ReportedAt: now.Add(-280 * time.Millisecond)}
	assert.Equal(t, string(home.RankPrefill([]Member{ahead, read}, "z2", now)[0].Name), "read", "a backlog shrinks as time passes")
}

// TestSlowPrefillsWaitForWork has engines that read at different paces.
func TestSlowPrefillsWaitForWork(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	slow, fast := memberIn("slow", "z1"), memberIn("fast", "z1")
	slow.Load, fast.Load = Load{PrefillSlowdown: 1.7, ReportedAt: now}, Load{PrefillSlowdown: 1, PrefillBacklog: 50 * time.Millisecond, ReportedAt: now}
	assert.Equal(t, string(home.RankPrefill([]Member{slow, fast}, "z1", now)[0].Name), "fast")
	fast.Load.PrefillBacklog = 100 * time.Millisecond
	assert.Equal(t, string(home.RankPrefill([]Member{slow, fast}, "z1", now)[0].Name), "slow", "a burst uses both")
}

// TestPrefillsNearTheAnswer keeps the memory of prompts off the links between
// zones and regions, as long as a burst does not fill the engine that is near.
func TestPrefillsNearTheAnswer(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	scenarios := []struct {
		testName string
		backlog  time.Duration
		answered ident.ZoneName
		first    string
	}{
		{testName: "the zone of the answer goes before the caller's own", answered: "z3", first: "far"},
		{testName: "its region goes before another", answered: "z2", first: "near"},
		{testName: "a short backlog there is waited for", answered: "z3", backlog: 30 * time.Millisecond, first: "far"},
		{testName: "one of a whole prompt is not", answered: "z3", backlog: 100 * time.Millisecond, first: "near"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			near, far := memberIn("near", "z1"), memberIn("far", "z3")
			near.Load, far.Load = Load{ReportedAt: now}, Load{PrefillBacklog: s.backlog, ReportedAt: now}
			assert.Equal(t, string(home.RankPrefill([]Member{near, far}, s.answered, now)[0].Name), s.first)
		})
	}
}

func TestDecodesByMemory(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	full, free, stale := memberIn("full", "z1"), memberIn("free", "z1"), memberIn("stale", "z1")
	full.Load = Load{Headroom: 1000, ReportedAt: now}
	free.Load = Load{Headroom: 60000, ReportedAt: now}
	stale.Load = Load{Headroom: 90000, ReportedAt: now.Add(-time.Minute)}
	order := home.RankDecode([]Member{full, stale, free}, now)
	assert.Equal(t, string(order[0].Name), "free")
	assert.Equal(t, string(order[2].Name), "full")
}
