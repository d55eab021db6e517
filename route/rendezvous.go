package route

import (
	"hash/fnv"
	"sort"

	"crocusstep/ident"
	"crocusstep/roster"
)

// Rendezvous orders members by a hash of the subject and each member's name.
// Entries with the same members agree on the order without talking, and a
// member that leaves moves only its own subjects. Suspended members come last.
func Rendezvous(members []roster.Member, subject string) []roster.Member {
	order := append([]roster.Member(nil), members...)
	weights := make(map[ident.EndpointName]uint64, len(order))
	for _, m := range order {
		weights[m.Instance.Endpoint] = weight(subject, m.Instance.Endpoint)
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].Suspended != order[j].Suspended {
			return order[j].Suspended
		}
		return weights[order[i].Instance.Endpoint] > weights[order[j].Instance.Endpoint]
	})
	return order
}

func weight(subject string, endpoint ident.EndpointName) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(subject))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(endpoint))
	return mix(sum.Sum64())
}

// mix spreads the bits of a hash; FNV alone leaves those of similar names alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
