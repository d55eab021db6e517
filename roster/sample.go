package roster

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"crocusstep/ident"
	"crocusstep/store"
)

// poolKey identifies the part of a pool in one region.
type poolKey struct {
	name   ident.PoolName
	region ident.RegionName
}

// rebuildPools groups the members that are not leaving, so that a routing decision
// iterates over candidates only.
func (r *Roster) rebuildPools() {
	r.pools = map[poolKey][]*member{}
	for _, m := range r.members {
		if m.instance.State != store.Leaving {
			key := poolKey{name: m.instance.Pool, region: m.instance.Region}
			r.pools[key] = append(r.pools[key], m)
		}
	}
	for _, members := range r.pools {
		sort.Slice(members, func(i, j int) bool { return members[i].instance.Endpoint < members[j].instance.Endpoint })
	}
}

// Regions returns the regions in which a pool has members, sorted.
func (r *Roster) Regions(name ident.PoolName) []ident.RegionName {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var regions []ident.RegionName
	for key := range r.pools {
		if key.name == name {
			regions = append(regions, key.region)
		}
	}
	slices.Sort(regions)
	return regions
}

// Pool returns the members of a pool in a region that may get new requests, sorted
// by endpoint. It includes suspended members, which callers choose last, so that
// false failure detection cannot empty a pool.
func (r *Roster) Pool(name ident.PoolName, region ident.RegionName) []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var members []Member
	for _, m := range r.pools[poolKey{name: name, region: region}] {
		if !now.Before(m.drainingUntil) {
			members = append(members, m.snapshot(now))
		}
	}
	return members
}

// Sample returns a random sample of at most count members of a pool in a region,
// so that the cost of a decision is independent of the pool's size and entries
// that decide at the same instant don't all choose the same member.
func (r *Roster) Sample(name ident.PoolName, region ident.RegionName, count int, random *rand.Rand) []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	all := r.pools[poolKey{name: name, region: region}]
	members := make([]Member, 0, min(count, len(all)))
	if len(all) == 0 {
		return members
	}
	// A step that is coprime to the length visits every member.
	start, step := random.IntN(len(all)), coprimeStep(len(all), random)
	for i := 0; i < len(all) && len(members) < count; i++ {
		m := all[(start+i*step)%len(all)]
		if !now.Before(m.drainingUntil) {
			members = append(members, m.snapshot(now))
		}
	}
	return members
}

// Member returns an endpoint's member if it may get new requests.
func (r *Roster) Member(endpoint ident.EndpointName) (Member, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	now := time.Now()
	if !ok || m.instance.State == store.Leaving || now.Before(m.drainingUntil) {
		return Member{}, false
	}
	return m.snapshot(now), true
}

func coprimeStep(length int, random *rand.Rand) int {
	if length < 3 {
		return 1
	}
	for {
		step := 1 + random.IntN(length-1)
		if gcd(step, length) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
