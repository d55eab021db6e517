package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"crocusstep/common"
)

const (
	// followRetry is the longest pause after a failed call; the pause is drawn at
	// random so that nodes do not come back together after an outage.
	followRetry = time.Second
	// outageLife is how long after the last failed call changes may still be due
	// to the outage. Records that lapsed in it are back within 2 s.
	outageLife = 2500 * time.Millisecond
)

// ListWatcher is the part of a Store that a Follower needs.
type ListWatcher interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch waits for events of a kind after a version, at most for the wait.
	Watch(ctx context.Context, kind Kind, since Version, wait time.Duration) (Batch, error)
}

// Reader takes over what a Follower reads of one kind.
type Reader interface {
	// ApplySnapshot takes over a whole listing that was asked for at a time.
	ApplySnapshot(listing Listing, asked time.Time)
	// ApplyEvents takes over the events of a watch that was begun at a time.
	ApplyEvents(batch Batch, asked time.Time)
	// WatchTimeout is how long the next watch may wait; each watch is one call.
	WatchTimeout(ctx context.Context) time.Duration
}

// Watcher keeps a reader up to date with all objects of a kind.
type Watcher struct {
	*common.Common
	store  ListWatcher
	kind   Kind
	reader Reader
	// version is that of the newest answer; zero until the first listing.
	version Version
	loaded  bool

	mutex sync.Mutex
	// failed is when a call failed last, or zero.
	failed time.Time
	// lost is true from a failed call to the next that succeeds.
	lost bool
}

// NewWatcher returns a follower of a kind.
func NewWatcher(c *common.Common, s ListWatcher, kind Kind, reader Reader) *Watcher {
	return &Watcher{Common: c, store: s, kind: kind, reader: reader}
}

// LastFailure returns when the store failed last, or the zero time.
func (f *Watcher) LastFailure() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.failed
}

// Run follows until the context ends.
func (f *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		// The first failure may be a connection that went silent: a new one is
		// tried at once.
		if again := f.note(err); again {
			common.Sleep(ctx, rand.N(followRetry))
		}
	}
}

// note logs each loss and each return of the store once. It reports whether the
// store has failed twice or more in a row.
func (f *Watcher) note(err error) (again bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	again = err != nil && f.lost
	switch {
	case err != nil:
		if !f.lost {
			f.Log.Warn("the platform cannot be followed", "kind", f.kind, "version", f.version, "error", err)
		}
		f.lost, f.failed = true, time.Now()
	case f.lost:
		f.Log.Info("the platform is followed again", "kind", f.kind, "version", f.version)
		f.lost = false
	}
	return again
}

// outage reports whether the store failed shortly ago.
func (f *Watcher) outage() bool {
	failed := f.LastFailure()
	return !failed.IsZero() && time.Since(failed) < outageLife
}

func (f *Watcher) step(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	wait := f.reader.WatchTimeout(ctx)
	asked := time.Now()
	batch, err := f.store.Watch(ctx, f.kind, f.version, wait)
	if errors.Is(err, ErrCompacted) {
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	batch.Outage = f.outage()
	f.reader.ApplyEvents(batch, asked)
	f.version = max(f.version, batch.Version)
	return nil
}

func (f *Watcher) load(ctx context.Context) error {
	asked := time.Now()
	listing, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	listing.Outage = f.outage()
	f.reader.ApplySnapshot(listing, asked)
	f.version = max(f.version, listing.Version)
	f.loaded = true
	return nil
}
