// Package poison detects poison requests, which crash the endpoints that run
// them: it counts crashes per request over the whole fleet and blocks requests
// with too many. See docs/design/crash.md.
package poison

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// Kind is the kind of the objects that hold suspects.
const Kind store.Kind = "suspect"

const (
	// MaxCrashes is the number of crashes over the whole fleet at which a request
	// is blocked.
	MaxCrashes = 3
	// BlockDuration is how long a block lasts; an operator can lift it earlier.
	BlockDuration = time.Hour
	// writeTimeout bounds the writes of one crash or success, with all retries.
	writeTimeout = 3 * time.Second
	watchTimeout = 5 * time.Second
	// retryDelay is ten times the longest random delay after a failed write.
	retryDelay = 2 * time.Second
)

// Fingerprint identifies a request by its content, independent of its caller and
// request ID.
type Fingerprint string

// FingerprintOf returns the fingerprint of a prompt to a service.
func FingerprintOf(service ident.ServiceName, prompt string) Fingerprint {
	sum := sha256.Sum256([]byte(string(service) + "\x00" + prompt))
	return Fingerprint(hex.EncodeToString(sum[:16]))
}

// Suspect is the stored record of a request that was running at endpoints when
// they crashed.
type Suspect struct {
	Service ident.ServiceName `json:"service"`
	// Crashes are the crashes of endpoints that ran the request, oldest first.
	Crashes []Crash `json:"crashes"`
}

// Crash is one crash of an endpoint.
type Crash struct {
	Endpoint ident.EndpointName `json:"endpoint"`
	At       time.Time          `json:"at"`
	Request  ident.RequestID    `json:"request"`
}

// Blocked reports whether the request must not run at the given time.
func (s Suspect) Blocked(now time.Time) bool {
	return len(s.Crashes) >= MaxCrashes && now.Sub(s.lastCrash()) < BlockDuration
}

func (s Suspect) lastCrash() time.Time {
	if len(s.Crashes) == 0 {
		return time.Time{}
	}
	return s.Crashes[len(s.Crashes)-1].At
}

// Tracker is one entry's copy of the suspects of the whole fleet. It is safe for
// concurrent use.
type Tracker struct {
	*common.Common
	store store.Store

	mutex    sync.RWMutex
	suspects map[Fingerprint]Suspect
	// version is that of the last listing.
	version store.Version
	// unrecorded holds the times of crashes that are not stored yet. Until they
	// are, this entry blocks their requests.
	unrecorded map[Fingerprint]time.Time
}

// NewTracker returns an empty tracker; Run fills it.
func NewTracker(c *common.Common, s store.Store) *Tracker {
	return &Tracker{Common: c, store: s, suspects: map[Fingerprint]Suspect{}, unrecorded: map[Fingerprint]time.Time{}}
}

// Status is whether and how a request may run.
type Status string

const (
	// Clear requests run like any other.
	Clear Status = "clear"
	// Suspected requests run with no other suspect at the same endpoint.
	Suspected Status = "suspected"
	// Blocked requests do not run.
	Blocked Status = "blocked"
)

// Check returns whether and how a request may run now.
func (t *Tracker) Check(fingerprint Fingerprint) Status {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	now := time.Now()
	suspect, known := t.suspects[fingerprint]
	since, pending := t.unrecorded[fingerprint]
	switch {
	case suspect.Blocked(now), pending && now.Sub(since) < BlockDuration:
		return Blocked
	case known:
		return Suspected
	}
	return Clear
}

// RecordCrash stores that an endpoint crashed while it ran the request. The
// request must not be retried anywhere before that succeeds.
func (t *Tracker) RecordCrash(ctx context.Context, service ident.ServiceName, fingerprint Fingerprint, crash Crash) (status Status, err error) {
	defer fault.Annotate(&err, "record a crash of request %s", fingerprint)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	t.setUnrecorded(fingerprint, true)
	for {
		suspect, err := t.tryRecord(ctx, service, fingerprint, crash)
		if err == nil {
			t.setUnrecorded(fingerprint, false)
			t.update(fingerprint, suspect)
			return t.Check(fingerprint), nil
		}
		if ctx.Err() != nil {
			return Blocked, err
		}
		common.Sleep(ctx, rand.N(retryDelay/10))
	}
}

// tryRecord adds a crash unless it is stored already, as after a write whose
// response was lost.
func (t *Tracker) tryRecord(ctx context.Context, service ident.ServiceName, fingerprint Fingerprint, crash Crash) (Suspect, error) {
	key := store.Key{Kind: Kind, Name: string(fingerprint)}
	object, err := t.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Suspect{}, err
	}
	suspect := Suspect{Service: service}
	if err == nil {
		if err := json.Unmarshal(object.Value, &suspect); err != nil {
			return Suspect{}, err
		}
	}
	for _, c := range suspect.Crashes {
		if c.Endpoint == crash.Endpoint && c.Request == crash.Request && c.At.Equal(crash.At) {
			return suspect, nil
		}
	}
	suspect.Crashes = append(suspect.Crashes, crash)
	value, err := json.Marshal(suspect)
	if err != nil {
		return Suspect{}, err
	}
	_, err = t.store.Put(ctx, key, value, object.Version)
	return suspect, err
}

// RecordSuccess clears the crashes of a request that completed.
func (t *Tracker) RecordSuccess(ctx context.Context, fingerprint Fingerprint) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	if err := Delete(ctx, t.store, fingerprint); err != nil {
		t.Log.Warn("cannot clear a suspect", "fingerprint", fingerprint, "error", err)
	}
}

// Delete deletes a suspect and lifts its block, if any.
func Delete(ctx context.Context, s store.Store, fingerprint Fingerprint) (err error) {
	defer fault.Annotate(&err, "delete suspect %s", fingerprint)
	key := store.Key{Kind: Kind, Name: string(fingerprint)}
	object, err := s.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.Delete(ctx, key, object.Version)
}

// ListItem is a suspect with its fingerprint.
type ListItem struct {
	Fingerprint Fingerprint
	Suspect     Suspect
}

// List returns all suspects of the fleet. An error may follow those that can be read.
func List(ctx context.Context, s store.Store) (list []ListItem, err error) {
	defer fault.Annotate(&err, "list suspects")
	listing, err := s.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	for _, object := range listing.Objects {
		var suspect Suspect
		if parseErr := json.Unmarshal(object.Value, &suspect); parseErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", object.Name, parseErr))
			continue
		}
		list = append(list, ListItem{Fingerprint: Fingerprint(object.Name), Suspect: suspect})
	}
	return list, err
}

func (t *Tracker) setUnrecorded(fingerprint Fingerprint, unrecorded bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if unrecorded {
		t.unrecorded[fingerprint] = time.Now()
		return
	}
	delete(t.unrecorded, fingerprint)
}

func (t *Tracker) update(fingerprint Fingerprint, suspect Suspect) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(suspect.Crashes) >= len(t.suspects[fingerprint].Crashes) {
		t.suspects[fingerprint] = suspect
	}
}

// Run keeps the suspects up to date until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	store.NewWatcher(t.Common, t.store, Kind, t).Run(ctx)
}

// ApplySnapshot implements store.Reader.
func (t *Tracker) ApplySnapshot(listing store.Listing, _ time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if listing.Version.Era() == t.version.Era() {
		// A copy that the store was restored from may lack suspects, which stay blocked.
		t.suspects = map[Fingerprint]Suspect{}
	}
	t.version = listing.Version
	for _, object := range listing.Objects {
		t.applyObject(object)
	}
}

// ApplyEvents implements store.Reader.
func (t *Tracker) ApplyEvents(batch store.Batch, _ time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, object := range batch.Events {
		t.applyObject(object)
	}
}

// WatchTimeout implements store.Reader.
func (*Tracker) WatchTimeout(context.Context) time.Duration { return watchTimeout }

func (t *Tracker) applyObject(object store.Object) {
	if object.Deleted {
		delete(t.suspects, Fingerprint(object.Name))
		return
	}
	var suspect Suspect
	if err := json.Unmarshal(object.Value, &suspect); err != nil {
		t.Log.Error("cannot parse a suspect", "fingerprint", object.Name, "error", err)
		return
	}
	t.suspects[Fingerprint(object.Name)] = suspect
}
