package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of objects in one page of a list.
const pageItems = 500

// store is a stand-in of the platform's store, for the operator, the workers and the system's reads.
type store struct {
	mutex    sync.Mutex
	revision int64
	kinds    map[string]map[string]storedObject
	history  []storedChange
	// changed is closed and replaced at each change.
	changed chan struct{}
	// era counts the returns from a copy.
	era int64
	// away is set while the store rejects all calls. Cut is closed and replaced when it goes away, which
	// cuts off the watches that wait.
	away bool
	cut  chan struct{}
}

type storedObject struct {
	Metadata objectMetadata `json:"metadata"`
	Spec     any            `json:"spec"`
}

type objectMetadata struct {
	Name           string `json:"name"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision"`
}

type storedChange struct {
	kind     string
	revision int64
	Object   storedObject `json:"object"`
	Deleted  bool         `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, kinds: map[string]map[string]storedObject{}, changed: make(chan struct{}), cut: make(chan struct{})}
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]storedObject{}
	}
	o := storedObject{Metadata: objectMetadata{Name: name, Revision: s.revision, CreateRevision: s.revision}, Spec: spec}
	if earlier, found := s.kinds[kind][name]; found {
		o.Metadata.CreateRevision = earlier.Metadata.CreateRevision
	}
	s.kinds[kind][name] = o
	s.record(storedChange{kind: kind, Object: o})
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, found := s.kinds[kind][name]
	if !found {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.record(storedChange{kind: kind, Object: o, Deleted: true})
}

// record must be called with the lock held.
func (s *store) record(c storedChange) {
	c.revision = s.revision
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler. Only the calls that relays make are served: lists and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	away, era := s.away, s.era
	s.mutex.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, isList := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !isList || strings.Contains(kind, "/") || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	query := r.URL.Query()
	if since, err := strconv.ParseInt(query.Get("watch"), 10, 64); err == nil {
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, kind, since, time.Duration(wait)*time.Millisecond)
		return
	}
	s.mutex.Lock()
	items, more := []storedObject{}, false
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if name <= query.Get("after") {
			continue
		}
		if more = len(items) == pageItems; more {
			break
		}
		items = append(items, s.kinds[kind][name])
	}
	answer := map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision}
	s.mutex.Unlock()
	sendJSON(w, answer)
}

// leave makes the store reject all calls.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	close(s.cut)
	s.cut = make(chan struct{})
}

// comeBack ends that.
func (s *store) comeBack() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = false
}

// storeCopy is the content of a store at some revision.
type storeCopy struct {
	revision int64
	kinds    map[string]map[string]storedObject
}

// copyNow returns the present content.
func (s *store) copyNow() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := storeCopy{revision: s.revision, kinds: map[string]map[string]storedObject{}}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// restore replaces the content by a copy: later changes are lost, and their revisions are given out again.
func (s *store) restore(c storeCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.kinds = c.revision, c.kinds
	s.history = slices.DeleteFunc(s.history, func(e storedChange) bool { return e.revision > c.revision })
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, since int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mutex.Lock()
		events := []storedChange{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > since {
				events = append(events, c)
			}
		}
		revision, changed, cut, era := s.revision, s.changed, s.cut, s.era
		s.mutex.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if since > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			sendJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func sendJSON(w http.ResponseWriter, value any) {
	// The values are plain maps and structs, which can be encoded.
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_, _ = w.Write(data)
}
