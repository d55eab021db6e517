package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"crocusstep/ident"
	"crocusstep/pool"
)

// keepersFor returns the addresses of the engines whose keepers are responsible for a key, by
// rendezvous hashing. Relays with the same endpoints choose the same ones.
func (r *Relay) keepersFor(key string, count int) (addresses []ident.Address) {
	type candidate struct {
		address ident.Address
		weight  uint64
	}
	var candidates []candidate
	endpoints, _ := r.config.Pool.Snapshot()
	for _, e := range endpoints {
		if e.Stage == pool.Combined {
			continue
		}
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(string(e.Address) + " " + key))
		candidates = append(candidates, candidate{e.Address, sum.Sum64()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	for _, c := range candidates[:min(count, len(candidates))] {
		addresses = append(addresses, c.address)
	}
	return addresses
}
