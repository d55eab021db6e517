package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

var topology = Topology{Zone: "z1", Regions: map[ident.ZoneName]ident.RegionName{"z1": "r1", "z2": "r1", "z3": "r2"}}

func newMember(name string, zone ident.ZoneName) Member {
	return Member{Endpoint: Endpoint{Name: ident.EndpointName(name), Zone: zone, Slots: 6}}
}

func TestRankPlain(t *testing.T) {
	busy, failing, slow, suspended, lapsed := newMember("busy", "z1"), newMember("failing", "z1"), newMember("slow", "z1"), newMember("suspended", "z1"), newMember("lapsed", "z1")
	busy.Outstanding = 12
	failing.FailureRate = 0.5
	slow.MeanLatency = 400 * time.Millisecond
	suspended.Suspended = true
	lapsed.Lapsed = true
	scenarios := []struct {
		testName string
		list     []Member
		first    string
	}{
		{testName: "the local zone ranks first", list: []Member{newMember("far", "z3"), newMember("next", "z2"), newMember("here", "z1")}, first: "here"},
		{testName: "a burst spills over to the next zone", list: []Member{busy, newMember("next", "z2")}, first: "next"},
		{testName: "an endpoint that fails half of its requests ranks behind another region", list: []Member{failing, newMember("far", "z3")}, first: "far"},
		{testName: "a slow endpoint ranks behind another region", list: []Member{slow, newMember("far", "z3")}, first: "far"},
		{testName: "a suspended endpoint ranks last", list: []Member{suspended, lapsed}, first: "lapsed"},
		{testName: "suspended endpoints are still returned", list: []Member{suspended}, first: "suspended"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, string(topology.RankPlain(s.list)[0].Name), s.first)
		})
	}
}

func TestRankPrefillByBacklog(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	fresh, aged := newMember("fresh", "z1"), newMember("aged", "z2")
	fresh.Load = Load{PrefillBacklog: 200 * time.Millisecond, ReportedAt: now}
	aged.Load = Load{PrefillBacklog: 300 * time.Millisecond, ReportedAt: now.Add(-280 * time.Millisecond)}
	assert.Equal(t, string(topology.RankPrefill([]Member{fresh, aged}, "z2", now)[0].Name), "aged", "a backlog shrinks as time passes")
}

// TestRankPrefillBySlowdown ranks engines of different prefill speeds.
func TestRankPrefillBySlowdown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	slow, fast := newMember("slow", "z1"), newMember("fast", "z1")
	slow.Load, fast.Load = Load{PrefillSlowdown: 1.7, ReportedAt: now}, Load{PrefillSlowdown: 1, PrefillBacklog: 50 * time.Millisecond, ReportedAt: now}
	assert.Equal(t, string(topology.RankPrefill([]Member{slow, fast}, "z1", now)[0].Name), "fast")
	fast.Load.PrefillBacklog = 100 * time.Millisecond
	assert.Equal(t, string(topology.RankPrefill([]Member{slow, fast}, "z1", now)[0].Name), "slow", "a burst uses both")
}

// TestRankPrefillByDistance checks that KV transfers stay off the links between zones
// and regions, unless a burst fills the engine near the decode endpoint.
func TestRankPrefillByDistance(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	scenarios := []struct {
		testName   string
		backlog    time.Duration
		decodeZone ident.ZoneName
		first      string
	}{
		{testName: "the decode zone ranks before the local zone", decodeZone: "z3", first: "far"},
		{testName: "the region of the decode zone ranks before another", decodeZone: "z2", first: "near"},
		{testName: "a short backlog in the decode zone is accepted", decodeZone: "z3", backlog: 30 * time.Millisecond, first: "far"},
		{testName: "a backlog of a whole prompt is not", decodeZone: "z3", backlog: 100 * time.Millisecond, first: "near"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			near, far := newMember("near", "z1"), newMember("far", "z3")
			near.Load, far.Load = Load{ReportedAt: now}, Load{PrefillBacklog: s.backlog, ReportedAt: now}
			assert.Equal(t, string(topology.RankPrefill([]Member{near, far}, s.decodeZone, now)[0].Name), s.first)
		})
	}
}

func TestRankDecodeByHeadroom(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	full, free, stale := newMember("full", "z1"), newMember("free", "z1"), newMember("stale", "z1")
	full.Load = Load{Headroom: 1000, ReportedAt: now}
	free.Load = Load{Headroom: 60000, ReportedAt: now}
	stale.Load = Load{Headroom: 90000, ReportedAt: now.Add(-time.Minute)}
	order := topology.RankDecode([]Member{full, stale, free}, now)
	assert.Equal(t, string(order[0].Name), "free")
	assert.Equal(t, string(order[2].Name), "full")
}
