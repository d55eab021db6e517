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
	// maxRetryDelay bounds the random delay after a failed call, which keeps
	// processes from all retrying at the same time after an outage.
	maxRetryDelay = time.Second
	// outageTTL is how long after the last failed call changes may still be effects
	// of the outage. Records that lapsed during it are rewritten within 2 s.
	outageTTL = 2500 * time.Millisecond
	// maxRelistDelay bounds the random delay before the list that follows a restore of the
	// store, which all processes need at the same time.
	maxRelistDelay = time.Second
)

// ListWatcher is the part of a Store that a Watcher needs.
type ListWatcher interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch waits up to the given time for events of a kind after a version. It
	// returns ErrCompacted if the store no longer keeps them, and ErrRestored if the store
	// was restored from a copy since.
	Watch(ctx context.Context, kind Kind, since Version, wait time.Duration) (Batch, error)
}

// Reader receives the objects and events of one kind from a Watcher.
type Reader interface {
	// ApplySnapshot replaces the state by a full listing requested at the given time.
	ApplySnapshot(listing Listing, requestedAt time.Time)
	// ApplyEvents applies the events of a watch that was started at the given time.
	ApplyEvents(batch Batch, requestedAt time.Time)
	// WatchTimeout returns how long the next watch may wait. It may block to delay
	// that watch.
	WatchTimeout(ctx context.Context) time.Duration
}

// Watcher keeps a Reader up to date with all objects of a kind: it lists them once,
// then watches for changes, and lists them again after a compaction or a restore.
type Watcher struct {
	*common.Common
	store  ListWatcher
	kind   Kind
	reader Reader
	// Freshness is told how recent what the reader knows is, which others may confirm, too. A watch is given up once
	// that is older than MaxAge: its connection may have gone silent. It may be nil.
	Freshness *Freshness
	MaxAge    time.Duration
	// version is that of the newest response; zero until the first listing.
	version Version
	loaded  bool
	// relisted is set from a list until the next successful watch.
	relisted bool

	mutex sync.Mutex
	// lastFailure is when a call last failed, or zero.
	lastFailure time.Time
	// failing is true from a failed call until the next successful one.
	failing bool
}

// NewWatcher returns a watcher of a kind; Run starts it.
func NewWatcher(c *common.Common, s ListWatcher, kind Kind, reader Reader) *Watcher {
	return &Watcher{Common: c, store: s, kind: kind, reader: reader}
}

// LastFailure returns when a call to the store last failed, or the zero time.
func (w *Watcher) LastFailure() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastFailure
}

// Run lists and watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errOverdue) {
			w.Log.Info("a watch was given up, as changes may be unknown for too long", "kind", w.kind, "version", w.version, "age", w.Freshness.Age(time.Now()))
			continue
		}
		// A single failure may be a stale connection, so the first retry is
		// immediate, over a new connection.
		if repeated := w.recordResult(err); repeated {
			common.Sleep(ctx, rand.N(maxRetryDelay))
		}
	}
}

// recordResult logs once when the store becomes unavailable and once when it
// recovers. It reports whether at least two calls failed in a row.
func (w *Watcher) recordResult(err error) (repeated bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	repeated = err != nil && w.failing
	switch {
	case err != nil:
		if !w.failing {
			w.Log.Warn("the platform cannot be followed", "kind", w.kind, "version", w.version, "error", err)
		}
		w.failing, w.lastFailure = true, time.Now()
	case w.failing:
		w.Log.Info("the platform is followed again", "kind", w.kind, "version", w.version)
		w.failing = false
	}
	return repeated
}

// inOutage reports whether the store failed within outageTTL.
func (w *Watcher) inOutage() bool {
	failed := w.LastFailure()
	return !failed.IsZero() && time.Since(failed) < outageTTL
}

func (w *Watcher) watchOnce(ctx context.Context) error {
	if !w.loaded {
		return w.list(ctx)
	}
	timeout := w.reader.WatchTimeout(ctx)
	requestedAt := time.Now()
	batch, err := w.watch(ctx, timeout)
	switch {
	case errors.Is(err, ErrRestored):
		w.recordRestore()
		common.Sleep(ctx, rand.N(maxRelistDelay))
		return w.list(ctx)
	case errors.Is(err, ErrBehind):
		return w.list(ctx)
	case errors.Is(err, ErrCompacted), errors.Is(err, ErrUnreadable):
		if errors.Is(err, ErrUnreadable) {
			// The same events would be sent again, for as long as the store keeps them.
			w.Log.Warn("a watch cannot be read; listing again", "kind", w.kind, "version", w.version, "error", err)
		}
		if w.relisted {
			// The store does not even keep the version that it has just listed.
			common.Sleep(ctx, rand.N(maxRetryDelay))
		}
		return w.list(ctx)
	case err != nil:
		return err
	}
	batch.Outage = w.inOutage()
	w.reader.ApplyEvents(batch, requestedAt)
	w.version = max(w.version, batch.Version)
	w.relisted = false
	w.confirm(confirmedAt(&batch, requestedAt, timeout))
	return nil
}

// errOverdue means that a watch was given up, since nothing else has confirmed what is known for MaxAge.
var errOverdue = errors.New("what is known is too old")

// reconnecter is a store whose next call can be made over a new connection.
type reconnecter interface{ Reconnect() }

// watch watches until what is known is older than MaxAge. A call that begins later does not wait, and is
// made over a new connection, as those in use may have gone silent.
func (w *Watcher) watch(ctx context.Context, timeout time.Duration) (batch Batch, err error) {
	if w.Freshness == nil {
		return w.store.Watch(ctx, w.kind, w.version, timeout)
	}
	if w.Freshness.Age(time.Now()) >= w.MaxAge {
		if s, ok := w.store.(reconnecter); ok {
			s.Reconnect()
		}
		return w.store.Watch(ctx, w.kind, w.version, 0)
	}
	watching, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if w.Freshness.awaitAge(watching, w.MaxAge) {
			cancel(errOverdue)
		}
	}()
	batch, err = w.store.Watch(watching, w.kind, w.version, timeout)
	if err != nil && context.Cause(watching) == errOverdue {
		err = errOverdue
	}
	return batch, err
}

// confirmedAt returns a moment at which the response to a watch was complete. A watch that ends by its
// timeout without an event confirms all of it, others their request only: responses may be late.
func confirmedAt(batch *Batch, requestedAt time.Time, timeout time.Duration) time.Time {
	if end := requestedAt.Add(timeout); len(batch.Events) == 0 && !time.Now().Before(end) {
		return end
	}
	return requestedAt
}

func (w *Watcher) confirm(at time.Time) {
	if w.Freshness != nil {
		w.Freshness.Confirm(at)
	}
}

// recordRestore makes the changes that follow a restore count as effects of an outage.
func (w *Watcher) recordRestore() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastFailure = time.Now()
	w.Log.Warn("the store was restored from a copy; listing again", "kind", w.kind, "version", w.version)
}

func (w *Watcher) list(ctx context.Context) error {
	requestedAt := time.Now()
	listing, err := w.store.List(ctx, w.kind)
	if err != nil {
		return err
	}
	listing.Outage = w.inOutage()
	w.reader.ApplySnapshot(listing, requestedAt)
	w.version = max(w.version, listing.Version)
	w.confirm(requestedAt)
	w.loaded, w.relisted = true, true
	return nil
}
