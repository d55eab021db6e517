// Package docset keeps the active service documents of an entry up to date by a
// watch on the platform, and lets operators change them. See
// docs/design/documents.md.
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
	// ackKind is the kind of the objects that hold each entry's acknowledgements.
	ackKind store.Kind = "service-ack"
)

const (
	// watchTimeout is the timeout of one watch, and so the interval between calls
	// while nothing changes.
	watchTimeout = 5 * time.Second
	// pendingWatchTimeout replaces watchTimeout while a proposal is pending. Two
	// watches take well below MaxStaleness.
	pendingWatchTimeout = 2 * time.Second
	// retryDelay is four times the longest random delay after a failed write. The
	// delay keeps entries from retrying at the same time after an outage.
	retryDelay = 2 * time.Second
	// ackJitter is the longest random delay before an acknowledgement, so that 370
	// entries stay well below the platform's limit of writes per second.
	ackJitter = 2 * time.Second
)

// Set holds the active documents. It is safe for concurrent use.
type Set struct {
	*common.Common
	store store.Store
	// instance names the acknowledgement object of this entry.
	instance ident.InstanceName

	mutex sync.RWMutex
	view  *View
	// ackVersion is the version of this entry's acknowledgement object, zero if
	// unknown.
	ackVersion store.Version
	// ackInProgress is true while a goroutine writes acknowledgements.
	ackInProgress bool
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

// All returns every active document, sorted by service.
func (s *Set) All() []ActiveDocument {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.view.All()
}

// Loaded reports whether the documents have been read at least once.
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
func (s *Set) ApplySnapshot(listing store.Listing, requestedAt time.Time) {
	s.mutex.Lock()
	errs := s.view.ApplySnapshot(listing, requestedAt)
	s.mutex.Unlock()
	s.logErrors(errs)
}

// ApplyEvents implements store.Reader.
func (s *Set) ApplyEvents(batch store.Batch, requestedAt time.Time) {
	s.mutex.Lock()
	errs := s.view.ApplyEvents(batch, requestedAt)
	s.mutex.Unlock()
	s.logErrors(errs)
}

// WatchTimeout implements store.Reader. Each watch confirms the documents. The
// timeout is shorter while a proposal is pending, since MaxStaleness applies then.
func (s *Set) WatchTimeout(ctx context.Context) time.Duration {
	s.startAck(ctx)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if len(s.view.Pending()) > 0 {
		return pendingWatchTimeout
	}
	return watchTimeout
}

func (s *Set) logErrors(errs []error) {
	for _, err := range errs {
		s.Log.Error("cannot parse a stored service document; not serving the service", "error", err)
	}
}

// startAck acknowledges proposals in a goroutine, so that the watch continues.
func (s *Set) startAck(ctx context.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ackInProgress || !s.view.Unacknowledged() {
		return
	}
	s.ackInProgress = true
	go func() {
		common.Sleep(ctx, rand.N(ackJitter))
		s.acknowledge(ctx)
		s.mutex.Lock()
		s.ackInProgress = false
		s.mutex.Unlock()
	}()
}

// acknowledge acknowledges all pending proposals with one write. The view records
// that before the write, which may take effect even if its response is lost.
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
		// The object may have been written before a restart, or by a write whose
		// response was lost. No other process writes it.
		s.Log.Warn("cannot write an acknowledgement; retrying", "error", err)
		version = s.readAckVersion(ctx)
		common.Sleep(ctx, rand.N(retryDelay/4))
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
