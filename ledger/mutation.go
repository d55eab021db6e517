package ledger

import (
	"sync"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// mutation is one change of a shard that waits for the next write.
type mutation interface {
	// apply changes the shard and reports whether anything changed.
	apply(shard Shard, now time.Time) bool
	// committed tells that the shard, with the change in it, is durable.
	committed(version store.Version)
	// failed tells that the change certainly is not durable; it reports
	// whether to drop the mutation, rather than try again.
	failed(refusal *fault.Refusal) bool
}

// beginResult is what became of the wish to start an action.
type beginResult struct {
	// version is the write that made the start durable; the fencing token.
	version store.Version
	// existing is set if the key has a record already.
	existing *Record
	refusal  *fault.Refusal
}

// begin records that an action is about to start.
type begin struct {
	record Record

	mutex sync.Mutex
	// abandoned is set once the waiter has gone: it will never make the call.
	abandoned bool
	// existing is what the last apply found in the way.
	existing *Record
	result   chan beginResult
	// takeBack is called if the start became durable after it was abandoned.
	takeBack func()
}

func newBegin(record Record, takeBack func()) *begin {
	return &begin{record: record, result: make(chan beginResult, 1), takeBack: takeBack}
}

// apply implements mutation. An abandoned start that an earlier write, whose
// answer was lost, has made durable is taken back.
func (b *begin) apply(shard Shard, now time.Time) bool {
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
func (b *begin) committed(version store.Version) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.abandoned {
		b.takeBack()
		return
	}
	b.result <- beginResult{version: version, existing: b.existing}
}

// failed implements mutation.
func (b *begin) failed(refusal *fault.Refusal) bool {
	b.result <- beginResult{refusal: refusal}
	return true
}

// blocked reports whether the last apply found an action that has not ended.
func (b *begin) blocked() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.existing != nil && b.existing.State == Started
}

// abandon takes the wish back, unless its result arrived at the last moment.
func (b *begin) abandon() (result beginResult, arrived bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	select {
	case result = <-b.result:
		return result, true
	default:
		b.abandoned = true
		return beginResult{}, false
	}
}

// undo removes a started record of an action that certainly did not run.
type undo struct {
	key     ident.IdempotencyKey
	attempt ident.AttemptID
}

// apply implements mutation.
func (u *undo) apply(shard Shard, _ time.Time) bool {
	found, ok := shard.Records[u.key]
	if !ok || found.Attempt != u.attempt {
		return false
	}
	delete(shard.Records, u.key)
	return true
}

// committed implements mutation.
func (*undo) committed(store.Version) {}

// failed implements mutation.
func (*undo) failed(*fault.Refusal) bool { return false }

// finish records the answer of an action that ran.
type finish struct {
	key     ident.IdempotencyKey
	attempt ident.AttemptID
	answer  Response
	done    chan struct{}
}

// apply implements mutation. A record that an operator settled, or that was
// dropped for its age, is left alone.
func (f *finish) apply(shard Shard, now time.Time) bool {
	found, ok := shard.Records[f.key]
	if !ok || found.Attempt != f.attempt || found.State == Done {
		return false
	}
	found.State = Done
	found.UpdatedAt = now
	found.Response = &f.answer
	shard.Records[f.key] = found
	return true
}

// committed implements mutation.
func (f *finish) committed(store.Version) { close(f.done) }

// failed implements mutation.
func (*finish) failed(*fault.Refusal) bool { return false }
