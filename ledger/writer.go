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
	// confirmDelay is the time between the two merges of known records into a restored
	// store: all agents notice the restore within two seconds of the store's return.
	confirmDelay = 2500 * time.Millisecond
	// settleTime is how long after a restore of the store an agent accepts no action that
	// has no record: until all agents have merged theirs twice.
	settleTime = 5 * time.Second
	// firstEra is the era of a store that was never restored.
	firstEra store.Era = 1
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
	// era is that of the store when the shard was last loaded.
	era        store.Era
	everLoaded bool
	// known holds the records from before the last restore of the store, until confirmAt.
	known     Shard
	confirmAt time.Time
	// merged is true while the cached shard has records that the restored store lacks.
	merged bool
	// settledAt is when the shard may accept actions that it does not list, after a restore:
	// until then other agents write the records again that the copy lacks.
	settledAt time.Time
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
	w.wakeUp()
}

// wakeUp makes run look for work.
func (w *writer) wakeUp() {
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
		if len(batch) == 0 && !w.ambiguous && !w.restorePending() {
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
	confirming := w.confirmDue()
	cached := w.loaded && !w.restorePending()
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
	if changed || w.ambiguous || w.merged {
		if err := w.put(ctx, next); err != nil {
			return err
		}
	}
	if confirming {
		w.known = Shard{}
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
	settling := now.Before(w.settledAt)
	for _, m := range batch {
		if start, ok := m.(*startMutation); ok {
			start.setSettling(settling)
		}
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
	// A response is never from an earlier era than those known before the call.
	era, _ := w.store.Era()
	object, err := w.store.Get(ctx, w.key)
	shard := NewShard()
	switch {
	case errors.Is(err, store.ErrNotFound):
		object.Version = 0
	case err != nil:
		return err
	default:
		era = object.Version.Era()
		if shard, err = ParseShard(object.Value); err != nil {
			return err
		}
	}
	w.adopt(shard, era)
	w.version = object.Version
	w.loaded = true
	return nil
}

// adopt replaces the cached shard by one that was loaded in an era. After a restore of the
// store, the loaded one may lack records that this agent knows, which are added again.
func (w *writer) adopt(loaded Shard, era store.Era) {
	if !w.everLoaded {
		// An agent that has just started cannot tell how long ago the last restore was.
		known, _ := w.store.Era()
		w.everLoaded, w.era = true, min(known, firstEra)
	}
	if era > w.era {
		now := time.Now()
		w.era, w.known = era, w.shard
		w.confirmAt, w.settledAt = now.Add(confirmDelay), now.Add(settleTime)
		time.AfterFunc(confirmDelay, w.wakeUp)
	}
	w.merged = loaded.merge(w.known)
	if w.merged {
		w.Log.Warn("a restored store lacks records of the ledger", "shard", w.key.Name, "records", len(loaded.Records))
	}
	w.shard = loaded
}

// restorePending reports whether the shard must be loaded again after a restore.
func (w *writer) restorePending() bool {
	era, _ := w.store.Era()
	return w.merged || w.everLoaded && era > w.era || w.confirmDue()
}

// confirmDue reports whether it is time to look once more for records that the store lacks:
// an agent that had not noticed the restore may have replaced the shard meanwhile, if its
// revision was assigned again.
func (w *writer) confirmDue() bool {
	return len(w.known.Records) > 0 && !time.Now().Before(w.confirmAt)
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
	if version.Era() > w.era {
		// The shard was created at a restored store, which may lack an earlier one.
		return errors.Join(store.ErrAmbiguous, store.ErrRestored)
	}
	w.shard = next
	w.version = version
	w.ambiguous, w.merged = false, false
	return nil
}

// errShardFull means that a shard has reached maxShardBytes.
var errShardFull = errors.New("the ledger shard is full")
