// Package docset is the set of service documents in force at one process, kept
// up to date by a watch on the platform, and the operators' way to change them.
// See docs/design/documents.md.
package docset

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/store"
)

const (
	// Kind is the kind of the objects that hold service documents.
	Kind store.Kind = "service"
	// ackKind is the kind of the objects that hold each entry's
	// acknowledgements.
	ackKind store.Kind = "service-ack"
)

const (
	// watchWait is how long a watch waits: one call in this time.
	watchWait = 5 * time.Second
	// pendingWait takes its place while a change is on its way. Twice this time
	// is well below ConfirmLimit.
	pendingWait = 2 * time.Second
	// retryWait is the longest pause after a failed call; the pause is drawn at
	// random so that nodes do not come back together after an outage.
	retryWait = 2 * time.Second
	// ackSpread is the time over which nodes spread their acknowledgements, so
	// that 370 of them stay well below the platform's writes per second.
	ackSpread = 2 * time.Second
)

// Set holds the documents in force. It is safe for concurrent use.
type Set struct {
	*common.Common
	store store.Store
	// instance names this node in its acknowledgements.
	instance ident.InstanceName

	mutex sync.RWMutex
	view  *View
	// ackVersion is that of this node's acknowledgement object, zero if unknown.
	ackVersion store.Version
	// acking is true while an acknowledgement is on its way.
	acking bool
}

// NewSet returns an empty set; Run fills it.
func NewSet(c *common.Common, s store.Store, instance ident.InstanceName) *Set {
	return &Set{Common: c, store: s, instance: instance, view: NewView()}
}

// Find returns a service's document and whether it may be served now.
func (s *Set) Find(service ident.ServiceName) (ActiveDocument, Status) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.view.Find(service, time.Now())
}

// All returns every document in force, by name.
func (s *Set) All() []ActiveDocument {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.view.All()
}

// Loaded reports whether the documents were read at all.
func (s *Set) Loaded() bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.view.loaded
}

// Run keeps the set up to date until the context ends.
func (s *Set) Run(ctx context.Context) {
	store.NewWatcher(s.Common, s.store, Kind, s).Run(ctx)
}

// ApplySnapshot implements store.Reader.
func (s *Set) ApplySnapshot(listing store.Listing, asked time.Time) {
	s.mutex.Lock()
	faults := s.view.ApplySnapshot(listing, asked)
	s.mutex.Unlock()
	s.logFaults(faults)
}

// ApplyEvents implements store.Reader.
func (s *Set) ApplyEvents(batch store.Batch, asked time.Time) {
	s.mutex.Lock()
	faults := s.view.ApplyEvents(batch, asked)
	s.mutex.Unlock()
	s.logFaults(faults)
}

// WatchTimeout implements store.Reader. A node confirms its documents with every watch,
// more often while a change is on its way, as ConfirmLimit counts then.
func (s *Set) WatchTimeout(ctx context.Context) time.Duration {
	s.startAck(ctx)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if len(s.view.Pending()) > 0 {
		return pendingWait
	}
	return watchWait
}

func (s *Set) logFaults(faults []error) {
	for _, fault := range faults {
		s.Log.Error("a stored service document cannot be read; the service is not served here", "error", fault)
	}
}

// startAck acknowledges proposals beside the watch, which must go on.
func (s *Set) startAck(ctx context.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.acking || !s.view.Unacknowledged() {
		return
	}
	s.acking = true
	go func() {
		common.Sleep(ctx, rand.N(ackSpread))
		s.acknowledge(ctx)
		s.mutex.Lock()
		s.acking = false
		s.mutex.Unlock()
	}()
}

// acknowledge lets all pending proposals through with one write.
func (s *Set) acknowledge(ctx context.Context) {
	s.mutex.Lock()
	pending := s.view.Pending()
	s.view.Acknowledge(pending)
	version := s.ackVersion
	s.mutex.Unlock()
	value, err := json.Marshal(Acks{Proposals: pending})
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		version, err = s.store.Put(ctx, ackKey(s.instance), value, version)
		if err == nil {
			break
		}
		// The object may be an earlier incarnation's, or a write whose answer
		// was lost; nobody else writes it.
		s.Log.Warn("an acknowledgement was not written", "error", err)
		version = s.readAckVersion(ctx)
		common.Sleep(ctx, rand.N(retryWait/4))
	}
	s.mutex.Lock()
	s.ackVersion = version
	s.mutex.Unlock()
}

func (s *Set) readAckVersion(ctx context.Context) store.Version {
	object, err := s.store.Get(ctx, ackKey(s.instance))
	if err != nil {
		return 0
	}
	return object.Version
}

func ackKey(instance ident.InstanceName) store.Key {
	return store.Key{Kind: ackKind, Name: string(instance)}
}
