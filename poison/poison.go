// Package poison finds requests that crash the endpoints that run them, counts
// the crashes over the whole fleet, and stops such a request. See
// docs/design/blame.md.
package poison

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
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
	// MaxCrashes is how many endpoints one request may crash over the whole
	// fleet before it is blocked.
	MaxCrashes = 3
	// BlockDuration is how long a block lasts; an operator can lift it earlier.
	BlockDuration = time.Hour
	// writeTimeout bounds the durable count of a crash.
	writeTimeout = 3 * time.Second
	watchWait    = 5 * time.Second
	retryWait    = 2 * time.Second
)

// Fingerprint identifies what a request asks for, whoever sends it again and
// under whatever id.
type Fingerprint string

// FingerprintOf returns the fingerprint of a prompt to a service.
func FingerprintOf(service ident.ServiceName, prompt string) Fingerprint {
	sum := sha256.Sum256([]byte(string(service) + "\x00" + prompt))
	return Fingerprint(hex.EncodeToString(sum[:16]))
}

// Suspect is the durable trace of a request that was aboard when endpoints
// crashed.
type Suspect struct {
	Service ident.ServiceName `json:"service"`
	// Crashes is the endpoints that crashed with the request aboard.
	Crashes []Crash `json:"crashes"`
}

// Crash is one crash of an endpoint.
type Crash struct {
	Endpoint ident.EndpointName `json:"endpoint"`
	At       time.Time          `json:"at"`
	Request  ident.RequestID    `json:"request"`
}

// Blocked reports whether the request may not run at a time.
func (s Suspect) Blocked(now time.Time) bool {
	return len(s.Crashes) >= MaxCrashes && now.Sub(s.newest()) < BlockDuration
}

func (s Suspect) newest() time.Time {
	if len(s.Crashes) == 0 {
		return time.Time{}
	}
	return s.Crashes[len(s.Crashes)-1].At
}

// Tracker is one entry's view of the suspects of the whole fleet.
type Tracker struct {
	*common.Common
	store store.Store

	mutex    sync.RWMutex
	suspects map[Fingerprint]Suspect
	// uncounted is the crashes that the platform has not taken; while there is
	// one for a request, it does not run through this entry.
	uncounted map[Fingerprint]time.Time
}

// NewTracker returns an empty registry; Run fills it.
func NewTracker(c *common.Common, s store.Store) *Tracker {
	return &Tracker{Common: c, store: s, suspects: map[Fingerprint]Suspect{}, uncounted: map[Fingerprint]time.Time{}}
}

// Verdict is how a request may run.
type Verdict string

const (
	// Clear requests run like any other.
	Clear Verdict = "clear"
	// Suspected requests run with no other suspect at the same endpoint.
	Suspected Verdict = "suspected"
	// Blocked requests do not run.
	Blocked Verdict = "blocked"
)

// Check returns how a request may run now.
func (r *Tracker) Check(fingerprint Fingerprint) Verdict {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	now := time.Now()
	suspect, known := r.suspects[fingerprint]
	since, pending := r.uncounted[fingerprint]
	switch {
	case suspect.Blocked(now), pending && now.Sub(since) < BlockDuration:
		return Blocked
	case known:
		return Suspected
	}
	return Clear
}

// RecordCrash records durably that an endpoint crashed with the request aboard. Until
// that is done the request must not be tried again anywhere.
func (r *Tracker) RecordCrash(ctx context.Context, service ident.ServiceName, fingerprint Fingerprint, crash Crash) (verdict Verdict, err error) {
	defer fault.Annotate(&err, "count a crash against %s", fingerprint)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	r.setUncounted(fingerprint, true)
	for {
		suspect, err := r.tryCount(ctx, service, fingerprint, crash)
		if err == nil {
			r.setUncounted(fingerprint, false)
			r.learn(fingerprint, suspect)
			return r.Check(fingerprint), nil
		}
		if ctx.Err() != nil {
			return Blocked, err
		}
		common.Sleep(ctx, rand.N(retryWait/10))
	}
}

// tryCount adds a crash once: a lost answer shows in the crashes read again.
func (r *Tracker) tryCount(ctx context.Context, service ident.ServiceName, fingerprint Fingerprint, crash Crash) (Suspect, error) {
	key := store.Key{Kind: Kind, Name: string(fingerprint)}
	object, err := r.store.Get(ctx, key)
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
	_, err = r.store.Put(ctx, key, value, object.Version)
	return suspect, err
}

// RecordSuccess forgets a suspect that ran to its end.
func (r *Tracker) RecordSuccess(ctx context.Context, fingerprint Fingerprint) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	if err := Delete(ctx, r.store, fingerprint); err != nil {
		r.Log.Warn("a suspect was not cleared", "fingerprint", fingerprint, "error", err)
	}
}

// Delete forgets a suspect, blocked or not.
func Delete(ctx context.Context, s store.Store, fingerprint Fingerprint) (err error) {
	defer fault.Annotate(&err, "lift %s", fingerprint)
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

// List returns all suspects of the fleet.
func List(ctx context.Context, s store.Store) (list []ListItem, err error) {
	defer fault.Annotate(&err, "list suspects")
	listing, err := s.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	for _, object := range listing.Objects {
		var suspect Suspect
		if err := json.Unmarshal(object.Value, &suspect); err != nil {
			return nil, err
		}
		list = append(list, ListItem{Fingerprint: Fingerprint(object.Name), Suspect: suspect})
	}
	return list, nil
}

func (r *Tracker) setUncounted(fingerprint Fingerprint, uncounted bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if uncounted {
		r.uncounted[fingerprint] = time.Now()
		return
	}
	delete(r.uncounted, fingerprint)
}

func (r *Tracker) learn(fingerprint Fingerprint, suspect Suspect) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(suspect.Crashes) >= len(r.suspects[fingerprint].Crashes) {
		r.suspects[fingerprint] = suspect
	}
}

// Run follows the suspects of the whole fleet until the context ends.
func (r *Tracker) Run(ctx context.Context) {
	store.NewWatcher(r.Common, r.store, Kind, r).Run(ctx)
}

// ApplySnapshot implements store.Reader.
func (r *Tracker) ApplySnapshot(listing store.Listing, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.suspects = map[Fingerprint]Suspect{}
	for _, object := range listing.Objects {
		r.place(object)
	}
}

// ApplyEvents implements store.Reader.
func (r *Tracker) ApplyEvents(batch store.Batch, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, object := range batch.Events {
		r.place(object)
	}
}

// WatchTimeout implements store.Reader.
func (*Tracker) WatchTimeout(context.Context) time.Duration { return watchWait }

func (r *Tracker) place(object store.Object) {
	if object.Deleted {
		delete(r.suspects, Fingerprint(object.Name))
		return
	}
	var suspect Suspect
	if err := json.Unmarshal(object.Value, &suspect); err != nil {
		r.Log.Error("a suspect cannot be read", "fingerprint", object.Name, "error", err)
		return
	}
	r.suspects[Fingerprint(object.Name)] = suspect
}
