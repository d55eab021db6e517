package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/cost"
	"crocusstep/ident"
)

var costZones = []ident.ZoneName{"a1", "a2", "b1"}

var costTopology = Topology{Zone: "a1", Regions: map[ident.ZoneName]ident.RegionName{"a1": "a", "a2": "a", "b1": "b"}}

// drawMembers draws engines of which all keepers have just reported.
func drawMembers(t *rapid.T, now time.Time) []Member {
	list := make([]Member, rapid.IntRange(2, 12).Draw(t, "members"))
	for i := range list {
		list[i] = Member{Endpoint: Endpoint{Name: ident.EndpointName(fmt.Sprint(i)), Zone: rapid.SampledFrom(costZones).Draw(t, "zone")}}
		list[i].Load = Load{
			Headroom:        ident.TokenCount(rapid.IntRange(-20_000, 60_000).Draw(t, "free")),
			PrefillBacklog:  time.Duration(rapid.IntRange(0, 500).Draw(t, "backlog")) * time.Millisecond,
			PrefillSlowdown: 1,
			ReportedAt:      now,
		}
		list[i].Suspended = rapid.IntRange(0, 9).Draw(t, "suspended") == 0
	}
	return list
}

func namesOf(list []Member) (names []ident.EndpointName) {
	for _, m := range list {
		names = append(names, m.Name)
	}
	return names
}

// TestEqualEnginesRankAsToday gives all engines the nominal speed and new reports: the choice is
// that of the ranks without learned costs.
func TestEqualEnginesRankAsToday(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		members := drawMembers(t, now)
		speeds := cost.NewSpeeds()
		for _, m := range members {
			speeds.Learn(m.Name, cost.Process{}, cost.Speed{Slowdown: 1, Step: time.Millisecond}, now)
		}
		c := RequestCost{Speeds: speeds.View(now), Prompt: typicalPrompt, Output: 3500, Capacity: 60_000, Busy: rapid.Float64Range(0, 1).Draw(t, "busy")}
		today := namesOf(costTopology.RankPrefill(append([]Member{}, members...), "a2", now))
		assert.DeepEqual(t, namesOf(costTopology.RankPrefillByCost(append([]Member{}, members...), "a2", now, c)), today)
		today = namesOf(costTopology.RankDecode(append([]Member{}, members...), now))
		assert.DeepEqual(t, namesOf(costTopology.RankDecodeByCost(append([]Member{}, members...), now, c, 6)), today)
	})
}

func TestRankByCost(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	member := func(name ident.EndpointName, change func(*Member)) Member {
		m := Member{Endpoint: Endpoint{Name: name, Zone: "a1"}, Load: Load{Headroom: 40_000, ReportedAt: now}}
		change(&m)
		return m
	}
	backlog := func(d time.Duration) func(*Member) { return func(m *Member) { m.Load.PrefillBacklog = d } }
	free := func(tokens ident.TokenCount) func(*Member) { return func(m *Member) { m.Load.Headroom = tokens } }
	speeds := cost.NewSpeeds()
	speeds.Learn("slow", cost.Process{}, cost.Speed{Slowdown: 1.8, Step: 2 * time.Millisecond}, now)
	speeds.Learn("fast", cost.Process{}, cost.Speed{Slowdown: 0.8, Step: time.Millisecond}, now)
	speeds.Learn("usual", cost.Process{}, cost.Speed{Slowdown: 0.8, Step: time.Millisecond}, now)
	scenarios := []struct {
		testName string
		prefill  bool
		prompt   ident.TokenCount
		members  []Member
		first    ident.EndpointName
	}{
		{
			testName: "a fast engine with a short backlog prefills sooner than an idle slow one", prefill: true, prompt: 5000,
			members: []Member{member("slow", backlog(0)), member("fast", backlog(60*time.Millisecond))}, first: "fast",
		},
		{
			testName: "a short prompt goes to the idle slow engine", prefill: true, prompt: 500,
			members: []Member{member("slow", backlog(0)), member("fast", backlog(60*time.Millisecond))}, first: "slow",
		},
		{
			testName: "a replaced process has the usual speed", prefill: true, prompt: 5000,
			members: []Member{member("fast", backlog(20*time.Millisecond)), member("slow", func(m *Member) { m.StartMillis = 7 })}, first: "slow",
		},
		{
			testName: "this relay's own prompts count where no keeper has reported", prefill: true, prompt: 5000,
			members: []Member{
				member("fast", func(m *Member) { m.Load, m.PromptTokens = Load{}, 10_000 }),
				member("usual", func(m *Member) { m.Load = Load{} }),
			}, first: "usual",
		},
		{
			testName: "output is generated at a fast engine, though a slow one has more memory free", prompt: 5000,
			members: []Member{member("slow", free(55_000)), member("fast", free(20_000))}, first: "fast",
		},
		{
			testName: "a full fast engine is worse than an empty slow one", prompt: 5000,
			members: []Member{member("slow", free(60_000)), member("fast", free(-1000))}, first: "slow",
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := RequestCost{Speeds: speeds.View(now), Prompt: s.prompt, Output: 3500, Capacity: 60_000}
			ranked := costTopology.RankDecodeByCost(append([]Member{}, s.members...), now, c, 6)
			if s.prefill {
				ranked = costTopology.RankPrefillByCost(append([]Member{}, s.members...), "a1", now, c)
			}
			assert.Equal(t, ranked[0].Name, s.first)
		})
	}
}

// TestSlowEnginesAreExplored fills a fleet whose fast engines come first: the last tries go to
// engines by their free memory alone.
func TestSlowEnginesAreExplored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	speeds := cost.NewSpeeds()
	var members []Member
	for i := range 12 {
		m := Member{Endpoint: Endpoint{Name: ident.EndpointName(fmt.Sprint(i))}, Load: Load{Headroom: 10_000, ReportedAt: now}}
		step := time.Millisecond
		if i < 2 {
			step, m.Load.Headroom = 4*time.Millisecond, 50_000
		}
		speeds.Learn(m.Name, cost.Process{}, cost.Speed{Step: step}, now)
		members = append(members, m)
	}
	c := RequestCost{Speeds: speeds.View(now), Prompt: 5000, Output: 3500, Capacity: 60_000}
	ranked := costTopology.RankDecodeByCost(members, now, c, 6)
	assert.DeepEqual(t, namesOf(ranked[4:6]), []ident.EndpointName{"0", "1"})
}
