package route

import (
	"hash/fnv"
	"sort"

	"crocusstep/ident"
	"crocusstep/roster"
)

// Rendezvous ranks members by rendezvous hashing of the key. Entries with the
// same members compute the same order without communication, and a member that
// leaves only moves its own keys. Suspended members come last.
func Rendezvous(members []roster.Member, key string) []roster.Member {
	sorted := append([]roster.Member(nil), members...)
	weights := make(map[ident.EndpointName]uint64, len(sorted))
	for _, m := range sorted {
		weights[m.Instance.Endpoint] = weight(key, m.Instance.Endpoint)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Suspended != sorted[j].Suspended {
			return sorted[j].Suspended
		}
		return weights[sorted[i].Instance.Endpoint] > weights[sorted[j].Instance.Endpoint]
	})
	return sorted
}

func weight(key string, endpoint ident.EndpointName) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(endpoint))
	return mixBits(sum.Sum64())
}

// mixBits is a hash finalizer; FNV alone gives similar names similar hashes.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
