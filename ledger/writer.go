package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/store"
)

const (
	// retryFloor and retryCeiling bound the pause after a failed write.
	retryFloor   = 50 * time.Millisecond
	retryCeiling = time.Second
	// unavailableRetry is when a caller should come back after an outage.
	unavailableRetry = 2 * time.Second
	// fullRetry is when a caller should come back to a full shard.
	fullRetry = time.Minute
)

// writer writes one shard. All changes that come while a write is under way go
// into the next one together, so writes grow with time and not with actions.
type writer struct {
	*common.Common
	store   store.Store
	key     store.Key
	keepFor time.Duration

	mutex   sync.Mutex
	pending []mutation
	// writing is true while a flush is under way.
	writing bool
	wake    chan struct{}

	// shard is the value at version; loaded is false if it must be read anew.
	// Only the run goroutine touches these fields.
	shard   Shard
	version store.Version
	loaded  bool
	// doubtful is true after a write whose answer was lost: until another
	// conditional write succeeds or conflicts, the lost one may still land.
	doubtful bool
}

func newWriter(c *common.Common, s store.Store, key store.Key, keepFor time.Duration) *writer {
	return &writer{Common: c, store: s, key: key, keepFor: keepFor, wake: make(chan struct{}, 1)}
}

func (w *writer) submit(m mutation) {
	w.mutex.Lock()
	w.pending = append(w.pending, m)
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) take() []mutation {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	batch := w.pending
	w.pending = nil
	return batch
}

// idle reports whether every change submitted so far is settled.
func (w *writer) idle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.pending) == 0 && !w.writing
}

func (w *writer) setWriting(writing bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writing = writing
}

// run writes until the context ends and nothing is left to write.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		w.flush(ctx)
	}
}

// flush writes all pending changes, trying again until each is settled.
func (w *writer) flush(ctx context.Context) {
	w.setWriting(true)
	defer w.setWriting(false)
	var batch []mutation
	wait := retryFloor
	for ctx.Err() == nil {
		batch = append(batch, w.take()...)
		if len(batch) == 0 && !w.doubtful {
			return
		}
		err := w.write(ctx, batch)
		switch {
		case err == nil:
			batch = nil
			wait = retryFloor
			continue
		case errors.Is(err, store.ErrConflict):
			w.loaded = false
			w.doubtful = false
			continue
		case errors.Is(err, errShardFull):
			batch = refuse(batch, fault.New(fault.LedgerFull, "no room for new records").WithRetryAfter(fullRetry))
			continue
		case errors.Is(err, store.ErrAmbiguous):
			w.loaded = false
			w.doubtful = true
		case w.doubtful:
			// Nothing is known about the lost write yet, so nothing in the
			// batch may be called failed.
		default:
			batch = refuse(batch, fault.NewUnknown(fault.LedgerUnavailable, "the platform did not take the record").WithRetryAfter(unavailableRetry))
		}
		w.Log.Warn("ledger shard not written", "shard", w.key.Name, "error", err)
		common.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, retryCeiling)
	}
}

// refuse tells each mutation that it failed and returns those to try again.
func refuse(batch []mutation, refusal *fault.Refusal) []mutation {
	var again []mutation
	for _, m := range batch {
		if !m.failed(refusal) {
			again = append(again, m)
		}
	}
	return again
}

func (w *writer) write(ctx context.Context, batch []mutation) error {
	cached := w.loaded
	if !cached {
		if err := w.load(ctx); err != nil {
			return err
		}
	}
	next, changed := w.applied(batch)
	if cached && !changed && blocked(batch) {
		// Another holder may have ended the action since this shard was read,
		// and without a write nothing would tell.
		if err := w.load(ctx); err != nil {
			return err
		}
		next, changed = w.applied(batch)
	}
	if changed || w.doubtful {
		if err := w.put(ctx, next); err != nil {
			return err
		}
	}
	for _, m := range batch {
		m.committed(w.version)
	}
	return nil
}

// applied returns the shard with a batch in it and whether that changed it.
func (w *writer) applied(batch []mutation) (next Shard, changed bool) {
	now := time.Now()
	next = w.shard.clone()
	next.prune(now, w.keepFor)
	for _, m := range batch {
		if m.apply(next, now) {
			changed = true
		}
	}
	return next, changed
}

// blocked reports whether a start has found an action that has not ended.
func blocked(batch []mutation) bool {
	for _, m := range batch {
		if b, ok := m.(*begin); ok && b.blocked() {
			return true
		}
	}
	return false
}

func (w *writer) load(ctx context.Context) error {
	object, err := w.store.Get(ctx, w.key)
	if errors.Is(err, store.ErrNotFound) {
		w.shard = NewShard()
		w.version = 0
		w.loaded = true
		return nil
	}
	if err != nil {
		return err
	}
	shard, err := ParseShard(object.Value)
	if err != nil {
		return err
	}
	w.shard = shard
	w.version = object.Version
	w.loaded = true
	return nil
}

func (w *writer) put(ctx context.Context, next Shard) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	if len(value) > maxShardSize && len(next.Records) > len(w.shard.Records) {
		return errShardFull
	}
	version, err := w.store.Put(ctx, w.key, value, w.version)
	if err != nil {
		return err
	}
	w.shard = next
	w.version = version
	w.doubtful = false
	return nil
}

// errShardFull means that a shard has no room for new records.
var errShardFull = errors.New("the ledger shard is full")
