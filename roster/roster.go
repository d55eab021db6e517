// Package roster is an entry's view of the agents: who is there, by the records
// that agents keep and the platform's lagging list, and how loaded they are, by
// their own replies. See docs/design/membership.md.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/store"
	"crocusstep/wire"
)

const (
	// listInterval is the least time between two readings of the platform's list.
	listInterval = 2 * time.Second
	// listBytesPerSecond bounds what a node reads of the list on average.
	listBytesPerSecond = 1000
	// instanceSize is about the bytes of one row of the list.
	instanceSize = 200
	// watchWait is how long a watch waits: one call in this time.
	watchWait = 5 * time.Second
	// suspendFor is the first pause after a failure; it doubles up to suspendMost.
	suspendFor  = 500 * time.Millisecond
	suspendMost = 8 * time.Second
	// drainingFor is how long an agent's word that it is draining counts before
	// it is asked again, as a new process may be up in its place. Asking is safe:
	// an agent that drains refuses, and says so again.
	drainingFor = 2 * time.Second
)

// Member is one agent with what is known of it. It is a copy and never changes.
type Member struct {
	Instance store.Instance
	Load     wire.Load
	// LoadKnown is false until the agent replied for the first time.
	LoadKnown bool
	// Outstanding is this entry's own orders there that have not ended.
	Outstanding int
	// OutstandingTokens is the prompt tokens among them that are not yet read.
	OutstandingTokens ident.TokenCount
	// Suspended is true for a while after failures; such members come last.
	Suspended bool
}

type member struct {
	instance    store.Instance
	registered  time.Time
	load        wire.Load
	known       bool
	outstanding int
	tokens      ident.TokenCount
	failures    int
	// suspended ends the pause after a failure.
	suspended time.Time
	// draining ends the time for which the agent's own word counts.
	draining time.Time
}

// Roster holds the agents. It is safe for concurrent use.
type Roster struct {
	*common.Common
	store store.Store

	mutex   sync.Mutex
	members map[ident.EndpointName]*member
	// records is what the agents and the platform say of them.
	records map[ident.EndpointName]Record
	// pools holds the members of each pool and region by name.
	pools  map[pool][]*member
	loaded bool
}

// pool is the part of a pool that lies in one region.
type pool struct {
	name   ident.PoolName
	region ident.RegionName
}

// NewRoster returns an empty roster; Run fills it.
func NewRoster(c *common.Common, s store.Store) *Roster {
	return &Roster{Common: c, store: s, members: map[ident.EndpointName]*member{}, records: map[ident.EndpointName]Record{}, pools: map[pool][]*member{}}
}

// Run keeps the roster up to date until the context ends: by a watch of the
// agents' records, which is fast, and now and then by the platform's list.
func (r *Roster) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { store.NewFollower(r.Common, r.store, Kind, r).Run(ctx) })
	tasks.Go(func() { r.reconcileLoop(ctx) })
	tasks.Wait()
}

// Load implements store.Reader.
func (r *Roster) Load(listing store.Listing, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded = true
	r.records = map[ident.EndpointName]Record{}
	for _, object := range listing.Objects {
		r.take(object)
	}
	r.placeAll()
}

// Apply implements store.Reader.
func (r *Roster) Apply(batch store.Batch, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, object := range batch.Events {
		r.take(object)
	}
	if len(batch.Events) > 0 {
		r.placeAll()
	}
}

// Wait implements store.Reader.
func (*Roster) Wait(context.Context) time.Duration { return watchWait }

func (r *Roster) take(object store.Object) {
	name := ident.EndpointName(object.Name)
	if object.Deleted {
		delete(r.records, name)
		return
	}
	record, err := ParseRecord(object.Value)
	if err != nil {
		r.Log.Error("a member's record cannot be read", "endpoint", name, "error", err)
		return
	}
	r.records[name] = record
}

// placeAll makes the members match the records.
func (r *Roster) placeAll() {
	for _, record := range r.records {
		r.place(record)
	}
	for name := range r.members {
		if _, recorded := r.records[name]; !recorded {
			delete(r.members, name)
		}
	}
	r.sortPools()
}

// Replace takes over records from elsewhere, for tests and benchmarks.
func (r *Roster) Replace(instances []store.Instance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded = true
	r.records = map[ident.EndpointName]Record{}
	for _, instance := range instances {
		r.records[instance.Endpoint] = Record{Instance: instance}
	}
	r.placeAll()
}

// reconcileLoop reads the platform's list at a pace that keeps within the bytes
// a node may spend. However large the fleet is, some entry reads it often, and
// what one finds it writes to the records, which all others watch.
func (r *Roster) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		size := r.reconcile(ctx)
		pace := max(listInterval, time.Duration(size)*time.Second/listBytesPerSecond)
		common.Pause(ctx, pace/2+rand.N(pace))
	}
}

// reconcile applies the platform's list to the records and returns its size.
func (r *Roster) reconcile(ctx context.Context) ident.ByteCount {
	instances, err := r.store.Instances(ctx)
	if err != nil {
		// An outage of the platform says nothing about the agents.
		r.Log.Warn("the list of instances was not read", "error", err)
		return 0
	}
	r.mutex.Lock()
	changes := Reconcile(r.records, instances, time.Now())
	r.mutex.Unlock()
	for _, change := range changes {
		if err := r.write(ctx, change); err != nil {
			r.Log.Warn("a member's record was not changed", "endpoint", change.Name, "error", err)
		}
	}
	return ident.ByteCount(len(instances)) * instanceSize
}

func (r *Roster) write(ctx context.Context, change Change) error {
	key := store.Key{Kind: Kind, Name: string(change.Name)}
	object, err := r.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if change.Gone {
		return r.store.Delete(ctx, key, object.Version)
	}
	record, err := ParseRecord(object.Value)
	if err != nil {
		return err
	}
	record.Instance.State = store.Leaving
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = r.store.Put(ctx, key, value, object.Version)
	return err
}

// sortPools makes the pools anew, so that a decision need not look at members
// that are no candidates.
func (r *Roster) sortPools() {
	r.pools = map[pool][]*member{}
	for _, m := range r.members {
		if m.instance.State != store.Leaving {
			key := pool{name: m.instance.Pool, region: m.instance.Region}
			r.pools[key] = append(r.pools[key], m)
		}
	}
	for _, members := range r.pools {
		sort.Slice(members, func(i, j int) bool { return members[i].instance.Endpoint < members[j].instance.Endpoint })
	}
}

// place adds or updates a member. A record that was written anew means a new
// process, so what was known of the old one is dropped.
func (r *Roster) place(record Record) {
	instance := record.Instance
	m, ok := r.members[instance.Endpoint]
	if !ok || m.instance.Address != instance.Address || !m.registered.Equal(record.Registered) {
		m = &member{registered: record.Registered}
		r.members[instance.Endpoint] = m
	}
	m.instance = instance
}

// Loaded reports whether the agents' records were read at all.
func (r *Roster) Loaded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded
}

// Regions returns the regions in which a pool has members, by name.
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

// Pool returns the members of a pool in a region that may get new work, by
// name. Suspended ones are among them: they are chosen last, so that a wrong
// suspicion cannot empty a pool.
func (r *Roster) Pool(name ident.PoolName, region ident.RegionName) []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var members []Member
	for _, m := range r.pools[pool{name: name, region: region}] {
		if !now.Before(m.draining) {
			members = append(members, m.snapshot(now))
		}
	}
	return members
}

// Sample returns at most count members of a pool in a region, drawn at random,
// so that a decision costs the same however large the pool is, and entries that
// decide at the same instant do not all choose the same member.
func (r *Roster) Sample(name ident.PoolName, region ident.RegionName, count int, random *rand.Rand) []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	all := r.pools[pool{name: name, region: region}]
	members := make([]Member, 0, min(count, len(all)))
	if len(all) == 0 {
		return members
	}
	// A step that has no common divisor with the length visits every member.
	start, step := random.IntN(len(all)), coprimeStep(len(all), random)
	for i := 0; i < len(all) && len(members) < count; i++ {
		m := all[(start+i*step)%len(all)]
		if !now.Before(m.draining) {
			members = append(members, m.snapshot(now))
		}
	}
	return members
}

// Member returns one endpoint if it may get new work.
func (r *Roster) Member(endpoint ident.EndpointName) (Member, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	now := time.Now()
	if !ok || m.instance.State == store.Leaving || now.Before(m.draining) {
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
		if divisor(step, length) == 1 {
			return step
		}
	}
}

func divisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (m *member) snapshot(now time.Time) Member {
	return Member{
		Instance:          m.instance,
		Load:              m.load,
		LoadKnown:         m.known,
		Outstanding:       m.outstanding,
		OutstandingTokens: m.tokens,
		Suspended:         now.Before(m.suspended),
	}
}

// Observe takes over an agent's own report, unless a newer one is known.
func (r *Roster) Observe(load wire.Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[load.Endpoint]
	if !ok {
		return
	}
	if m.known && m.load.Incarnation == load.Incarnation && m.load.Sequence >= load.Sequence {
		return
	}
	m.load = load
	m.known = true
	m.draining = time.Time{}
	if load.Draining {
		m.draining = time.Now().Add(drainingFor)
	}
}

// Began counts an order of this entry, until the returned function is called.
func (r *Roster) Began(endpoint ident.EndpointName, tokens ident.TokenCount) (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	if !ok {
		return func() {}
	}
	m.outstanding++
	m.tokens += tokens
	var once sync.Once
	return func() {
		once.Do(func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			m.outstanding--
			m.tokens -= tokens
		})
	}
}

// Failed suspends a member for a while.
func (r *Roster) Failed(endpoint ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	if !ok {
		return
	}
	wait := min(suspendFor<<min(m.failures, 8), suspendMost)
	m.failures++
	m.suspended = time.Now().Add(wait)
}

// Succeeded ends what failures have led to.
func (r *Roster) Succeeded(endpoint ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if m, ok := r.members[endpoint]; ok {
		m.failures = 0
		m.suspended = time.Time{}
	}
}
