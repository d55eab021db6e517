// Package docset is the set of service documents in force at one process, kept
// up to date by a watch on the platform.
package docset

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/spec"
	"crocusstep/store"
)

// Kind is the kind of the platform's objects that hold service documents.
const Kind store.Kind = "service"

const (
	// watchWait is how long a watch waits, and so how often a node confirms
	// that its documents are current: one call in this time.
	watchWait = 5 * time.Second
	// retryWait is the longest pause after a failed call; the pause is drawn at
	// random so that nodes do not come back together after an outage.
	retryWait = 2 * time.Second
)

// Entry is one document in force.
type Entry struct {
	Document spec.Document
	Version  store.Version
}

// Set holds the documents in force. It is safe for concurrent use.
type Set struct {
	*common.Common
	store store.Store

	mutex sync.RWMutex
	// documents never goes back to an older version of a service.
	documents map[ident.ServiceName]Entry
	// version is that of the newest event applied.
	version store.Version
	// loaded is true once a whole listing was read.
	loaded bool
	// confirmed is when the platform last said that version is current.
	confirmed time.Time
	ready     chan struct{}
}

// NewSet returns an empty set; Run fills it.
func NewSet(c *common.Common, s store.Store) *Set {
	return &Set{
		Common:    c,
		store:     s,
		documents: map[ident.ServiceName]Entry{},
		ready:     make(chan struct{}),
	}
}

// Find returns the document in force for a service.
func (s *Set) Find(service ident.ServiceName) (entry Entry, found bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	entry, found = s.documents[service]
	return entry, found
}

// All returns every document in force, by name.
func (s *Set) All() []Entry {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	all := make([]Entry, 0, len(s.documents))
	for _, entry := range s.documents {
		all = append(all, entry)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Document.Service < all[j].Document.Service })
	return all
}

// Ready is closed once the documents were read for the first time.
func (s *Set) Ready() <-chan struct{} { return s.ready }

// Loaded reports whether the documents were read at all.
func (s *Set) Loaded() bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.loaded
}

// Confirmed returns the newest version applied and when the platform last
// confirmed that it is current.
func (s *Set) Confirmed() (store.Version, time.Time) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.version, s.confirmed
}

// Run keeps the set up to date until the context ends.
func (s *Set) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil && ctx.Err() == nil {
			s.Log.Warn("service documents cannot be followed", "error", err)
			pause(ctx, rand.N(retryWait))
		}
	}
}

func (s *Set) follow(ctx context.Context) error {
	if !s.Loaded() {
		if err := s.load(ctx); err != nil {
			return err
		}
	}
	version, _ := s.Confirmed()
	batch, err := s.store.Watch(ctx, Kind, version, watchWait)
	if errors.Is(err, store.ErrGap) {
		return s.load(ctx)
	}
	if err != nil {
		return err
	}
	s.apply(batch)
	return nil
}

func (s *Set) load(ctx context.Context) error {
	listing, err := s.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// A listing that is older than what was applied would take changes back.
	if listing.Version < s.version {
		return store.ErrUnavailable
	}
	documents := map[ident.ServiceName]Entry{}
	for _, object := range listing.Objects {
		s.insert(documents, object)
	}
	s.documents = documents
	s.version = listing.Version
	s.confirmed = time.Now()
	if !s.loaded {
		s.loaded = true
		close(s.ready)
	}
	return nil
}

func (s *Set) apply(batch store.Batch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, object := range batch.Events {
		if object.Version <= s.version {
			continue
		}
		if object.Deleted {
			delete(s.documents, ident.ServiceName(object.Name))
			continue
		}
		s.insert(s.documents, object)
	}
	s.version = max(s.version, batch.Version)
	s.confirmed = time.Now()
}

// insert keeps the older document of a service if the new one does not parse:
// it was checked before it was stored, so this node is too old to read it.
func (s *Set) insert(documents map[ident.ServiceName]Entry, object store.Object) {
	name := ident.ServiceName(object.Name)
	document, err := spec.Parse(object.Name, object.Value)
	if err != nil {
		s.Log.Error("a stored service document cannot be read", "service", object.Name, "error", err)
		if old, ok := s.documents[name]; ok {
			documents[name] = old
		}
		return
	}
	documents[name] = Entry{Document: document, Version: object.Version}
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
