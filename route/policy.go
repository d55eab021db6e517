// Package route holds the routing decisions as plain functions of what an
// entry knows: which endpoints, in which order, in which region.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"crocusstep/ident"
	"crocusstep/roster"
)

// SampleSize is how many members of a pool a decision looks at. Of eight drawn at
// random the best is nearly as good as the best of all, at a cost that does not
// grow with the pool.
const SampleSize = 8

// unknownPrefillPerToken is the cost taken for an endpoint that has not yet
// been seen at work.
const unknownPrefillPerToken = 100 * time.Microsecond

// PrefillWork is the prompt of one request.
type PrefillWork struct {
	Tokens ident.TokenCount
	// CachedTokens estimates how many of the tokens an endpoint holds already.
	CachedTokens map[ident.EndpointName]ident.TokenCount
}

// Policy orders endpoints, best first. Members come drawn at random, so the
// order of equally good ones needs no further chance.
type Policy interface {
	// RankPrefill orders prefill endpoints for a prompt.
	RankPrefill(members []roster.Member, work PrefillWork) []roster.Member
	// RankDecode orders decode endpoints for a reservation.
	RankDecode(members []roster.Member) []roster.Member
	// RejectsLate reports whether requests that cannot meet their targets are
	// refused rather than served late.
	RejectsLate() bool
}

// LoadAware is the policy of the product: it uses the agents' own reports, what
// this entry has sent since, and what the prompt's prefix cache saves.
type LoadAware struct{}

// RankPrefill implements Policy: by the time at which each will have read the prompt.
func (LoadAware) RankPrefill(members []roster.Member, work PrefillWork) []roster.Member {
	return ranked(members, func(m roster.Member) float64 {
		return float64(QueuedPrefillTime(m, work.Tokens-work.CachedTokens[m.Instance.Endpoint]))
	})
}

// Decode implements Policy: by free slots, less what the reports cannot contain.
func (LoadAware) RankDecode(members []roster.Member) []roster.Member {
	return ranked(members, func(m roster.Member) float64 {
		if !m.LoadKnown {
			return float64(m.Outstanding) - unknownFree
		}
		return float64(m.Load.Waiting-m.Load.Free) + unseenShare*float64(m.Outstanding)
	})
}

// RejectsLate implements Policy.
func (LoadAware) RejectsLate() bool { return true }

// unknownFree is the free slots taken for an endpoint that has not replied yet:
// enough that it gets work soon, few enough that it does not get all of it.
const unknownFree = 16

// unseenShare is how much an own order counts that the last report may lack.
const unseenShare = 0.5

// LeastLoaded is a baseline: the least loaded by the reports alone.
type LeastLoaded struct{}

// RankPrefill implements Policy.
func (LeastLoaded) RankPrefill(members []roster.Member, _ PrefillWork) []roster.Member {
	return ranked(members, func(m roster.Member) float64 { return float64(m.Load.Backlog) })
}

// Decode implements Policy.
func (LeastLoaded) RankDecode(members []roster.Member) []roster.Member {
	return ranked(members, func(m roster.Member) float64 { return float64(-m.Load.Free) })
}

// RejectsLate implements Policy.
func (LeastLoaded) RejectsLate() bool { return false }

// RoundRobin is a baseline: one after the other. It is not safe for concurrent
// use by itself; entries order under their own lock.
type RoundRobin struct {
	next int
}

// RankPrefill implements Policy.
func (r *RoundRobin) RankPrefill(members []roster.Member, _ PrefillWork) []roster.Member { return r.turn(members) }

// Decode implements Policy.
func (r *RoundRobin) RankDecode(members []roster.Member) []roster.Member { return r.turn(members) }

// RejectsLate implements Policy.
func (*RoundRobin) RejectsLate() bool { return false }

func (r *RoundRobin) turn(members []roster.Member) []roster.Member {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b roster.Member) int {
		if a.Instance.Endpoint < b.Instance.Endpoint {
			return -1
		}
		return 1
	})
	if len(order) == 0 {
		return order
	}
	r.next = (r.next + 1) % len(order)
	return append(order[r.next:], order[:r.next]...)
}

// QueuedPrefillTime estimates how long an endpoint takes until it has read so many
// more tokens, what waits there included.
func QueuedPrefillTime(m roster.Member, tokens ident.TokenCount) time.Duration {
	waiting := max(m.Load.Backlog, m.OutstandingTokens)
	return PrefillTime(m, waiting+tokens)
}

// PrefillTime estimates how long an endpoint reads so many tokens.
func PrefillTime(m roster.Member, tokens ident.TokenCount) time.Duration {
	perToken := m.Load.PrefillPerToken
	if perToken == 0 {
		perToken = unknownPrefillPerToken
	}
	return time.Duration(tokens) * perToken
}

// RankLookup orders the endpoints of a plain service by their running lookups.
func RankLookup(members []roster.Member, random *rand.Rand) []roster.Member {
	order := slices.Clone(members)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return ranked(order, func(m roster.Member) float64 {
		return float64(max(m.Load.Lookups, m.Outstanding))
	})
}

// ranked orders by score, with suspended members last.
func ranked(members []roster.Member, score func(roster.Member) float64) []roster.Member {
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
	order := make([]roster.Member, len(list))
	for i, s := range list {
		order[i] = s.member
	}
	return order
}
