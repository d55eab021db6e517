// Package route holds the routing decisions as plain functions of what an
// entry knows: which endpoints, in which order, in which region.
package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"crocusstep/ident"
	"crocusstep/roster"
)

// unknownPrefillPerToken is the cost taken for an endpoint that has not yet
// been seen at work.
const unknownPrefillPerToken = 100 * time.Microsecond

// Decode orders decode endpoints for a reservation, best first. Endpoints that
// look equally good are shuffled, so that entries with the same view at the
// same instant do not all choose the same one.
func Decode(members []roster.Member, random *rand.Rand) []roster.Member {
	return ranked(members, random, func(m roster.Member) float64 {
		if !m.LoadKnown {
			return float64(m.Outstanding)
		}
		return float64(m.Load.Waiting-m.Load.Free) + unseen(m)
	})
}

// unseen is a small penalty for own orders that the last report cannot contain.
func unseen(m roster.Member) float64 { return 0.5 * float64(m.Outstanding) }

// Prefill orders prefill endpoints by the time at which each would have read
// the prompt. cached says how many of its tokens an endpoint likely holds.
func Prefill(members []roster.Member, tokens ident.TokenCount, cached func(ident.EndpointName) ident.TokenCount, random *rand.Rand) []roster.Member {
	return ranked(members, random, func(m roster.Member) float64 {
		return float64(PrefillTime(m, tokens-cached(m.Instance.Endpoint)))
	})
}

// PrefillTime estimates how long an endpoint takes until it has read so many
// more tokens, what waits there included.
func PrefillTime(m roster.Member, tokens ident.TokenCount) time.Duration {
	perToken := m.Load.PrefillPerToken
	if perToken == 0 {
		perToken = unknownPrefillPerToken
	}
	waiting := max(m.Load.Backlog, m.OutstandingTokens)
	return time.Duration(waiting+tokens) * perToken
}

// Lookup orders the endpoints of a plain service by their running lookups.
func Lookup(members []roster.Member, random *rand.Rand) []roster.Member {
	return ranked(members, random, func(m roster.Member) float64 {
		return float64(max(m.Load.Lookups, m.Outstanding))
	})
}

func ranked(members []roster.Member, random *rand.Rand, score func(roster.Member) float64) []roster.Member {
	order := append([]roster.Member(nil), members...)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	scores := make(map[ident.EndpointName]float64, len(order))
	for _, m := range order {
		scores[m.Instance.Endpoint] = score(m)
	}
	sort.SliceStable(order, func(i, j int) bool {
		if order[i].Suspended != order[j].Suspended {
			return order[j].Suspended
		}
		return scores[order[i].Instance.Endpoint] < scores[order[j].Instance.Endpoint]
	})
	return order
}
