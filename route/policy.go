// Package route ranks endpoints and regions for a request, based on the state
// that one entry knows.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"crocusstep/ident"
	"crocusstep/roster"
)

// SampleSize is how many members of a pool a decision compares. The best of
// eight random members is nearly as good as the best of all, at a cost that
// doesn't grow with the pool.
const SampleSize = 8

// assumedPrefillPerToken is the prefill time per token assumed for an endpoint
// that has not reported one yet.
const assumedPrefillPerToken = 100 * time.Microsecond

// PrefillWork is the prefill that a request needs.
type PrefillWork struct {
	Tokens ident.TokenCount
	// CachedTokens estimates how many of the tokens each endpoint has cached.
	CachedTokens map[ident.EndpointName]ident.TokenCount
}

// Policy ranks endpoints, best first. Members are passed in random order, so
// ties need no further randomness.
type Policy interface {
	// RankPrefill ranks prefill endpoints for a prompt.
	RankPrefill(members []roster.Member, work PrefillWork) []roster.Member
	// RankDecode ranks decode endpoints for a slot reservation.
	RankDecode(members []roster.Member) []roster.Member
	// RejectsLate reports whether requests that can't meet their targets are
	// refused rather than served late.
	RejectsLate() bool
}

// LoadAware is the default policy: it uses the agents' load reports, the
// requests that this entry has sent since, and the estimated prefix cache hits.
type LoadAware struct{}

// RankPrefill implements Policy: by estimated completion time of the prefill.
func (LoadAware) RankPrefill(members []roster.Member, work PrefillWork) []roster.Member {
	return sortByScore(members, func(m roster.Member) float64 {
		return float64(QueuedPrefillTime(m, work.Tokens-work.CachedTokens[m.Instance.Endpoint]))
	})
}

// RankDecode implements Policy: by free slots, less the outstanding requests
// that the last report may not include.
func (LoadAware) RankDecode(members []roster.Member) []roster.Member {
	return sortByScore(members, func(m roster.Member) float64 {
		if !m.LoadKnown {
			return float64(m.Outstanding) - assumedFreeSlots
		}
		return float64(m.Load.Waiting-m.Load.FreeSlots) + outstandingWeight*float64(m.Outstanding)
	})
}

// RejectsLate implements Policy.
func (LoadAware) RejectsLate() bool { return true }

// assumedFreeSlots is the number of free slots assumed for an endpoint that has
// not reported its load yet: enough that it soon gets requests, but not all of
// them.
const assumedFreeSlots = 16

// outstandingWeight is the weight of an outstanding request, which the last
// load report may or may not include.
const outstandingWeight = 0.5

// LeastLoaded is a baseline that ranks by reported load alone.
type LeastLoaded struct{}

// RankPrefill implements Policy.
func (LeastLoaded) RankPrefill(members []roster.Member, _ PrefillWork) []roster.Member {
	return sortByScore(members, func(m roster.Member) float64 { return float64(m.Load.BacklogTokens) })
}

// RankDecode implements Policy.
func (LeastLoaded) RankDecode(members []roster.Member) []roster.Member {
	return sortByScore(members, func(m roster.Member) float64 { return float64(-m.Load.FreeSlots) })
}

// RejectsLate implements Policy.
func (LeastLoaded) RejectsLate() bool { return false }

// RoundRobin is a baseline. It is not safe for concurrent use; entries call it
// under their own lock.
type RoundRobin struct {
	next int
}

// RankPrefill implements Policy.
func (r *RoundRobin) RankPrefill(members []roster.Member, _ PrefillWork) []roster.Member {
	return r.rotate(members)
}

// RankDecode implements Policy.
func (r *RoundRobin) RankDecode(members []roster.Member) []roster.Member { return r.rotate(members) }

// RejectsLate implements Policy.
func (*RoundRobin) RejectsLate() bool { return false }

func (r *RoundRobin) rotate(members []roster.Member) []roster.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b roster.Member) int {
		if a.Instance.Endpoint < b.Instance.Endpoint {
			return -1
		}
		return 1
	})
	if len(sorted) == 0 {
		return sorted
	}
	r.next = (r.next + 1) % len(sorted)
	return append(sorted[r.next:], sorted[:r.next]...)
}

// QueuedPrefillTime estimates how long an endpoint takes to prefill this many
// more tokens, including those already queued at the endpoint.
func QueuedPrefillTime(m roster.Member, tokens ident.TokenCount) time.Duration {
	waiting := max(m.Load.BacklogTokens, m.OutstandingTokens)
	return PrefillTime(m, waiting+tokens)
}

// PrefillTime estimates how long an endpoint takes to prefill this many tokens,
// without queueing.
func PrefillTime(m roster.Member, tokens ident.TokenCount) time.Duration {
	perToken := m.Load.PrefillPerToken
	if perToken == 0 {
		perToken = assumedPrefillPerToken
	}
	return time.Duration(tokens) * perToken
}

// RankLookup ranks the endpoints of a plain service by their running lookups,
// in random order among equals.
func RankLookup(members []roster.Member, random *rand.Rand) []roster.Member {
	shuffled := slices.Clone(members)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return sortByScore(shuffled, func(m roster.Member) float64 {
		return float64(max(m.Load.Lookups, m.Outstanding))
	})
}

// sortByScore sorts by ascending score, with suspended members last.
func sortByScore(members []roster.Member, score func(roster.Member) float64) []roster.Member {
	type scored struct {
		member roster.Member
		score  float64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{member: m, score: score(m)}
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		switch {
		case a.member.Suspended != b.member.Suspended && b.member.Suspended, a.member.Suspended == b.member.Suspended && a.score < b.score:
			return -1
		case a.member.Suspended == b.member.Suspended && a.score == b.score:
			return 0
		}
		return 1
	})
	sorted := make([]roster.Member, len(list))
	for i, s := range list {
		sorted[i] = s.member
	}
	return sorted
}
