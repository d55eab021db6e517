// Package roster is an entry's view of the agents: who is there, by the records
// that agents keep and the platform's lagging list, and how loaded they are, by
// their own replies. See docs/design/membership.md.
package roster

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/store"
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

// NewRoster returns an empty roster; Run fills it.
func NewRoster(c *common.Common, s store.Store) *Roster {
	return &Roster{Common: c, store: s, members: map[ident.EndpointName]*member{}, records: map[ident.EndpointName]Record{}, pools: map[pool][]*member{}}
}

// Run keeps the roster up to date until the context ends: by a watch of the
// agents' records, which is fast, and now and then by the platform's list.
func (r *Roster) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { store.NewWatcher(r.Common, r.store, Kind, r).Run(ctx) })
	tasks.Go(func() { r.reconcileLoop(ctx) })
	tasks.Wait()
}

// ApplySnapshot implements store.Reader.
func (r *Roster) ApplySnapshot(listing store.Listing, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded = true
	r.records = map[ident.EndpointName]Record{}
	for _, object := range listing.Objects {
		r.take(object)
	}
	r.placeAll()
}

// ApplyEvents implements store.Reader.
func (r *Roster) ApplyEvents(batch store.Batch, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, object := range batch.Events {
		r.take(object)
	}
	if len(batch.Events) > 0 {
		r.placeAll()
	}
}

// WatchTimeout implements store.Reader.
func (*Roster) WatchTimeout(context.Context) time.Duration { return watchWait }

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

// SetInstances takes over records from elsewhere, for tests and benchmarks.
func (r *Roster) SetInstances(instances []store.Instance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded = true
	r.records = map[ident.EndpointName]Record{}
	for _, instance := range instances {
		r.records[instance.Endpoint] = Record{Instance: instance}
	}
	r.placeAll()
}

// Loaded reports whether the agents' records were read at all.
func (r *Roster) Loaded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded
}
