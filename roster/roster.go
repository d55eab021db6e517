// Package roster tracks the membership and load of the agents for an entry, from
// the records that agents write, the platform's lagging list of instances and the
// agents' responses. See docs/design/membership.md.
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
	// minListInterval is the shortest mean interval at which the platform's list is
	// read.
	minListInterval = 2 * time.Second
	// maxListBytesPerSecond bounds an entry's mean rate of reading the list.
	maxListBytesPerSecond = 1000
	// instanceBytes is the approximate size of one row of the list.
	instanceBytes = 200
	// watchTimeout is the timeout of one watch, and so the interval between calls
	// while nothing changes.
	watchTimeout = 5 * time.Second
	// minSuspension is the suspension after a first failure; it doubles with each
	// further one up to maxSuspension.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 8 * time.Second
	// drainingTTL is how long an agent's report that it is draining is valid. Then
	// it gets requests again, as a new process may have replaced it; an agent that
	// still drains refuses them and reports it again.
	drainingTTL = 2 * time.Second
	// restoreGrace is how long an agent is kept whose record a restored store lacks: agents
	// write theirs again within two seconds of the store's return, and watches deliver it.
	restoreGrace = 4 * time.Second
)

// Roster holds the known agents. It is safe for concurrent use.
type Roster struct {
	*common.Common
	store store.Store

	mutex   sync.Mutex
	members map[ident.EndpointName]*member
	// records are the agents' stored records.
	records map[ident.EndpointName]Record
	// pools holds the members that are not leaving, by pool and region, each list
	// sorted by endpoint.
	pools  map[poolKey][]*member
	loaded bool
	// version is that of the last listing.
	version store.Version
	// lapsed holds since when a restored copy lacks a record, until its agent has written it
	// again or restoreGrace has passed.
	lapsed map[ident.EndpointName]time.Time
}

// NewRoster returns an empty roster; Run fills it.
func NewRoster(c *common.Common, s store.Store) *Roster {
	return &Roster{Common: c, store: s, members: map[ident.EndpointName]*member{}, records: map[ident.EndpointName]Record{}, pools: map[poolKey][]*member{}, lapsed: map[ident.EndpointName]time.Time{}}
}

// Run keeps the roster up to date until the context ends. It watches the agents'
// records for fast updates and periodically reconciles them with the platform's
// list.
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
	known := r.records
	restored := r.loaded && listing.Version.Era() > r.version.Era()
	r.loaded, r.version = true, listing.Version
	r.records = map[ident.EndpointName]Record{}
	for _, object := range listing.Objects {
		r.applyObject(object)
	}
	if restored {
		r.keepLapsed(known)
	}
	r.rebuildMembers()
}

// keepLapsed keeps the known records that a restored copy lacks for a while, since live
// agents write theirs again.
func (r *Roster) keepLapsed(known map[ident.EndpointName]Record) {
	for name, record := range known {
		if _, listed := r.records[name]; !listed {
			r.records[name] = record
			r.lapsed[name] = time.Now()
		}
	}
	time.AfterFunc(restoreGrace, r.removeLapsed)
}

func (r *Roster) removeLapsed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name, since := range r.lapsed {
		if time.Since(since) >= restoreGrace {
			delete(r.records, name)
			delete(r.lapsed, name)
		}
	}
	r.rebuildMembers()
}

// ApplyEvents implements store.Reader.
func (r *Roster) ApplyEvents(batch store.Batch, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, object := range batch.Events {
		r.applyObject(object)
	}
	if len(batch.Events) > 0 {
		r.rebuildMembers()
	}
}

// WatchTimeout implements store.Reader.
func (*Roster) WatchTimeout(context.Context) time.Duration { return watchTimeout }

func (r *Roster) applyObject(object store.Object) {
	name := ident.EndpointName(object.Name)
	delete(r.lapsed, name)
	if object.Deleted {
		delete(r.records, name)
		return
	}
	record, err := ParseRecord(object.Value)
	if err != nil {
		r.Log.Error("cannot parse a member's record", "endpoint", name, "error", err)
		return
	}
	r.records[name] = record
}

// rebuildMembers updates the members and pools to match the records.
func (r *Roster) rebuildMembers() {
	for _, record := range r.records {
		r.upsertMember(record)
	}
	for name := range r.members {
		if _, recorded := r.records[name]; !recorded {
			delete(r.members, name)
		}
	}
	r.rebuildPools()
}

// SetInstances replaces all members, for tests and benchmarks.
func (r *Roster) SetInstances(instances []store.Instance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded = true
	r.records = map[ident.EndpointName]Record{}
	for _, instance := range instances {
		r.records[instance.Endpoint] = Record{Instance: instance}
	}
	r.rebuildMembers()
}

// Loaded reports whether the agents' records have been read at least once.
func (r *Roster) Loaded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded
}
