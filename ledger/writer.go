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
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed
	// write.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// unavailableRetryAfter is the Retry-After while the platform is unavailable.
	unavailableRetryAfter = 2 * time.Second
	// fullRetryAfter is the Retry-After of a full shard.
	fullRetryAfter = time.Minute
)

// writer writes one shard. Mutations that arrive during a write are batched into
// the next one, so the number of writes is bounded by time rather than by the
// number of actions.
type writer struct {
	*common.Common
	store     store.Store
	key       store.Key
	retention time.Duration

	mutex   sync.Mutex
	pending []mutation
	// writing is true during a flush.
	writing bool
	wake    chan struct{}

	// shard is the cached value at version; loaded is false if it must be read
	// again. Only the run goroutine accesses these fields.
	shard   Shard
	version store.Version
	loaded  bool
	// ambiguous is true after a write whose response was lost: until another
	// conditional write succeeds or conflicts, the lost one may still take effect.
	ambiguous bool
}

func newWriter(c *common.Common, s store.Store, key store.Key, retention time.Duration) *writer {
	return &writer{Common: c, store: s, key: key, retention: retention, wake: make(chan struct{}, 1)}
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

func (w *writer) takePending() []mutation {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	batch := w.pending
	w.pending = nil
	return batch
}

// idle reports whether every mutation submitted so far is committed or failed.
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

// run writes submitted mutations until the context ends.
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

// flush writes all pending mutations and retries until each is committed or
// failed.
func (w *writer) flush(ctx context.Context) {
	w.setWriting(true)
	defer w.setWriting(false)
	var batch []mutation
	delay := minRetryDelay
	for ctx.Err() == nil {
		batch = append(batch, w.takePending()...)
		if len(batch) == 0 && !w.ambiguous {
			return
		}
		err := w.write(ctx, batch)
		switch {
		case err == nil:
			batch = nil
			delay = minRetryDelay
			continue
		case errors.Is(err, store.ErrConflict):
			w.loaded = false
			w.ambiguous = false
			continue
		case errors.Is(err, errShardFull):
			batch = failBatch(batch, fault.New(fault.LedgerFull, "no room for new records").WithRetryAfter(fullRetryAfter))
			continue
		case errors.Is(err, store.ErrAmbiguous):
			w.loaded = false
			w.ambiguous = true
		case w.ambiguous:
			// The lost write may still take effect, so no mutation in the batch
			// may be reported as failed.
		default:
			batch = failBatch(batch, fault.NewUnknown(fault.LedgerUnavailable, "the platform did not take the record").WithRetryAfter(unavailableRetryAfter))
		}
		w.Log.Warn("could not write a ledger shard", "shard", w.key.Name, "error", err)
		common.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// failBatch reports the failure to each mutation and returns those to retry.
func failBatch(batch []mutation, refusal *fault.Refusal) []mutation {
	var retained []mutation
	for _, m := range batch {
		if !m.failed(refusal) {
			retained = append(retained, m)
		}
	}
	return retained
}

func (w *writer) write(ctx context.Context, batch []mutation) error {
	cached := w.loaded
	if !cached {
		if err := w.load(ctx); err != nil {
			return err
		}
	}
	next, changed := w.applyBatch(batch)
	if cached && !changed && anyFoundRunning(batch) {
		// Another agent may have finished the action since this shard was read;
		// without a conditional write the stale cache would not be detected.
		if err := w.load(ctx); err != nil {
			return err
		}
		next, changed = w.applyBatch(batch)
	}
	if changed || w.ambiguous {
		if err := w.put(ctx, next); err != nil {
			return err
		}
	}
	for _, m := range batch {
		m.committed(w.version)
	}
	return nil
}

// applyBatch returns a copy of the shard with the batch applied, and whether any
// mutation changed it.
func (w *writer) applyBatch(batch []mutation) (next Shard, changed bool) {
	now := time.Now()
	next = w.shard.clone()
	next.prune(now, w.retention)
	for _, m := range batch {
		if m.apply(next, now) {
			changed = true
		}
	}
	return next, changed
}

// anyFoundRunning reports whether a start in the batch found a started action
// under its key.
func anyFoundRunning(batch []mutation) bool {
	for _, m := range batch {
		if start, ok := m.(*startMutation); ok && start.foundRunning() {
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
	if len(value) > maxShardBytes && len(next.Records) > len(w.shard.Records) {
		return errShardFull
	}
	version, err := w.store.Put(ctx, w.key, value, w.version)
	if err != nil {
		return err
	}
	w.shard = next
	w.version = version
	w.ambiguous = false
	return nil
}

// errShardFull means that a shard has reached maxShardBytes.
var errShardFull = errors.New("the ledger shard is full")
