package ledger

import (
	"sync"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// mutation is one change to a shard that is pending until the next write.
type mutation interface {
	// apply changes the shard and reports whether anything changed.
	apply(shard Shard, now time.Time) bool
	// committed is called when the shard, with the change in it, is durable.
	committed(version store.Version)
	// failed is called when the change certainly is not durable; it reports
	// whether to drop the mutation instead of retrying it.
	failed(refusal *fault.Refusal) bool
}

// startResult is the outcome of a startMutation.
type startResult struct {
	// version is that of the write that made the start durable; it serves as the
	// fencing token.
	version store.Version
	// existing is set if the key already has a record.
	existing *Record
	refusal  *fault.Refusal
}

// startMutation adds the record of an action that is about to start.
type startMutation struct {
	record Record

	mutex sync.Mutex
	// abandoned is set when the waiter has timed out: it will never make the call.
	abandoned bool
	// existing is the key's record that the last apply found, if any.
	existing *Record
	result   chan startResult
	// rollback is called if the start became durable after it was abandoned.
	rollback func()
}

func newStartMutation(record Record, rollback func()) *startMutation {
	return &startMutation{record: record, result: make(chan startResult, 1), rollback: rollback}
}

// apply implements mutation. It removes an abandoned start that an earlier write,
// whose response was lost, has made durable.
func (b *startMutation) apply(shard Shard, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.existing = nil
	found, ok := shard.Records[b.record.Key]
	own := ok && found.Attempt == b.record.Attempt
	switch {
	case b.abandoned && own:
		delete(shard.Records, b.record.Key)
		return true
	case b.abandoned, own:
		return false
	case ok:
		b.existing = &found
		return false
	}
	b.record.UpdatedAt = now
	shard.Records[b.record.Key] = b.record
	return true
}

// committed implements mutation.
func (b *startMutation) committed(version store.Version) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.abandoned {
		b.rollback()
		return
	}
	b.result <- startResult{version: version, existing: b.existing}
}

// failed implements mutation.
func (b *startMutation) failed(refusal *fault.Refusal) bool {
	b.result <- startResult{refusal: refusal}
	return true
}

// foundRunning reports whether the last apply found a started action under the key.
func (b *startMutation) foundRunning() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.existing != nil && b.existing.State == Started
}

// abandon cancels the start unless it was resolved in the meantime.
func (b *startMutation) abandon() (result startResult, resolved bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	select {
	case result = <-b.result:
		return result, true
	default:
		b.abandoned = true
		return startResult{}, false
	}
}

// removeMutation removes the started record of an action that certainly did not
// run.
type removeMutation struct {
	key     ident.IdempotencyKey
	attempt ident.AttemptID
}

// apply implements mutation.
func (u *removeMutation) apply(shard Shard, _ time.Time) bool {
	found, ok := shard.Records[u.key]
	if !ok || found.Attempt != u.attempt {
		return false
	}
	delete(shard.Records, u.key)
	return true
}

// committed implements mutation.
func (*removeMutation) committed(store.Version) {}

// failed implements mutation.
func (*removeMutation) failed(*fault.Refusal) bool { return false }

// finishMutation records the response of an action that ran.
type finishMutation struct {
	key      ident.IdempotencyKey
	attempt  ident.AttemptID
	response Response
	done     chan struct{}
}

// apply implements mutation. It changes nothing if an operator settled the record
// or the record has expired.
func (f *finishMutation) apply(shard Shard, now time.Time) bool {
	found, ok := shard.Records[f.key]
	if !ok || found.Attempt != f.attempt || found.State == Done {
		return false
	}
	found.State = Done
	found.UpdatedAt = now
	found.Response = &f.response
	shard.Records[f.key] = found
	return true
}

// committed implements mutation.
func (f *finishMutation) committed(store.Version) { close(f.done) }

// failed implements mutation.
func (*finishMutation) failed(*fault.Refusal) bool { return false }
