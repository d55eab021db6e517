package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/spec"
	"crocusstep/store"
	"crocusstep/wire"
)

func newMember(name string, load wire.Load) roster.Member {
	return roster.Member{Instance: store.Instance{Endpoint: ident.EndpointName(name)}, Load: load, LoadKnown: true}
}

func memberNames(members []roster.Member) []string {
	var names []string
	for _, m := range members {
		names = append(names, string(m.Instance.Endpoint))
	}
	return names
}

func TestLoadAware(t *testing.T) {
	scenarios := []struct {
		testName string
		rank     func() []roster.Member
		expected []string
	}{
		{
			testName: "decode prefers free slots",
			rank: func() []roster.Member {
				return LoadAware{}.RankDecode([]roster.Member{newMember("full", wire.Load{FreeSlots: 0, Waiting: 3}), newMember("free", wire.Load{FreeSlots: 9})})
			},
			expected: []string{"free", "full"},
		},
		{
			testName: "decode counts outstanding requests that the report may lack",
			rank: func() []roster.Member {
				sent := newMember("sent", wire.Load{FreeSlots: 9})
				sent.Outstanding = 8
				return LoadAware{}.RankDecode([]roster.Member{sent, newMember("other", wire.Load{FreeSlots: 8})})
			},
			expected: []string{"other", "sent"},
		},
		{
			testName: "a new endpoint gets requests, but ranks after idle ones",
			rank: func() []roster.Member {
				joined := newMember("joined", wire.Load{})
				joined.LoadKnown = false
				return LoadAware{}.RankDecode([]roster.Member{joined, newMember("busy", wire.Load{FreeSlots: 2}), newMember("idle", wire.Load{FreeSlots: 20})})
			},
			expected: []string{"idle", "joined", "busy"},
		},
		{
			testName: "suspended members come last",
			rank: func() []roster.Member {
				bad := newMember("bad", wire.Load{FreeSlots: 20})
				bad.Suspended = true
				return LoadAware{}.RankDecode([]roster.Member{bad, newMember("good", wire.Load{FreeSlots: 1})})
			},
			expected: []string{"good", "bad"},
		},
		{
			testName: "prefill prefers a cached prefix to an empty backlog",
			rank: func() []roster.Member {
				members := []roster.Member{newMember("idle", wire.Load{PrefillPerToken: 100}), newMember("holds", wire.Load{BacklogTokens: 500, PrefillPerToken: 100})}
				return LoadAware{}.RankPrefill(members, PrefillWork{Tokens: 2000, CachedTokens: map[ident.EndpointName]ident.TokenCount{"holds": 1000}})
			},
			expected: []string{"holds", "idle"},
		},
		{
			testName: "prefill prefers an idle endpoint to a cached prefix behind a long backlog",
			rank: func() []roster.Member {
				members := []roster.Member{newMember("holds", wire.Load{BacklogTokens: 5000, PrefillPerToken: 100}), newMember("idle", wire.Load{PrefillPerToken: 100})}
				return LoadAware{}.RankPrefill(members, PrefillWork{Tokens: 2000, CachedTokens: map[ident.EndpointName]ident.TokenCount{"holds": 1000}})
			},
			expected: []string{"idle", "holds"},
		},
		{
			testName: "prefill prefers a faster endpoint",
			rank: func() []roster.Member {
				members := []roster.Member{newMember("slow", wire.Load{PrefillPerToken: 400}), newMember("fast", wire.Load{BacklogTokens: 1000, PrefillPerToken: 100})}
				return LoadAware{}.RankPrefill(members, PrefillWork{Tokens: 1000})
			},
			expected: []string{"fast", "slow"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { assert.DeepEqual(t, memberNames(s.rank()), s.expected) })
	}
}

func TestRankRegions(t *testing.T) {
	scenarios := []struct {
		testName  string
		local     ident.RegionName
		document  spec.Document
		available []ident.RegionName
		expected  []ident.RegionName
	}{
		{"local region first, then home", "b", spec.Document{Regions: spec.Regions{Home: "a"}}, []ident.RegionName{"a", "b", "c"}, []ident.RegionName{"b", "a"}},
		{"other regions if the document allows crossing", "b", spec.Document{Regions: spec.Regions{Home: "a", MayCross: true}}, []ident.RegionName{"a", "c"}, []ident.RegionName{"a", "c"}},
		{"no members", "b", spec.Document{}, nil, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.DeepEqual(t, RankRegions(s.local, &s.document, s.available), s.expected)
		})
	}
}

func TestRendezvousMovesOnlyTheRemovedMembersKeys(t *testing.T) {
	var members []roster.Member
	for i := range 10 {
		members = append(members, newMember(fmt.Sprint("e", i), wire.Load{}))
	}
	counts := map[string]int{}
	for i := range 2000 {
		key := fmt.Sprint("shard", i)
		first := Rendezvous(members, key)[0].Instance.Endpoint
		counts[string(first)]++
		without := Rendezvous(members[1:], key)[0].Instance.Endpoint
		assert.Assert(t, first == "e0" || first == without)
	}
	for name, count := range counts {
		assert.Assert(t, count > 120 && count < 280, "%s owns %d of 2000", name, count)
	}
}

func TestAffinity(t *testing.T) {
	a := NewAffinity()
	prompt := ""
	for i := range 100 {
		prompt += fmt.Sprint("w", i, " ")
	}
	a.Record(prompt, "p1")
	assert.Equal(t, a.CachedTokens(prompt)["p1"], ident.TokenCount(96))
	assert.Equal(t, len(a.CachedTokens("something else entirely")), 0)
}

// newPool returns a roster of endpoints that have reported their load.
func newPool(tb testing.TB, size int) *roster.Roster {
	tb.Helper()
	c, err := common.NewDiscard()
	assert.NilError(tb, err)
	r := roster.NewRoster(c, nil)
	var instances []store.Instance
	for i := range size {
		name := fmt.Sprint("endpoint-", i)
		instances = append(instances, store.Instance{
			Name: ident.InstanceName(name), Role: store.AgentRole, Endpoint: ident.EndpointName(name),
			Pool: "pool", Region: "region", State: store.Live,
		})
	}
	r.SetInstances(instances)
	for i, instance := range instances {
		r.UpdateLoad(wire.Load{Endpoint: instance.Endpoint, Incarnation: "a", Sequence: 1, FreeSlots: i % 20, PrefillPerToken: 100})
	}
	return r
}

// BenchmarkDecision measures one selection of a prefill and a decode endpoint.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{10, 100, 600, 2400} {
		b.Run(fmt.Sprint(size, " endpoints"), func(b *testing.B) {
			r := newPool(b, size)
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				LoadAware{}.RankPrefill(r.Sample("pool", "region", SampleSize, random), PrefillWork{Tokens: 2000})
				LoadAware{}.RankDecode(r.Sample("pool", "region", SampleSize, random))
			}
		})
	}
}
