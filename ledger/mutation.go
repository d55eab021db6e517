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
	// settling is set while the shard may lack records after a restore of the store, and
	// unsettled if the last apply did not add the record for that reason.
	settling, unsettled bool
	result              chan startResult
	// rollback is called if the start became durable after it was abandoned.
	rollback func()
}

func newStartMutation(record Record, rollback func()) *startMutation {
	return &startMutation{record: record, result: make(chan startResult, 1), rollback: rollback}
}

// apply adds the record. If the start was abandoned, apply instead removes a record
// that an earlier write, whose response was lost, has made durable.
func (s *startMutation) apply(shard Shard, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.existing, s.unsettled = nil, false
	found, ok := shard.Records[s.record.Key]
	own := ok && found.Attempt == s.record.Attempt
	switch {
	case s.abandoned && own:
		delete(shard.Records, s.record.Key)
		return true
	case own && s.settling:
		// The write took effect at a restored store, which may lack an earlier record.
		s.unsettled = true
		delete(shard.Records, s.record.Key)
		return true
	case s.abandoned, own:
		return false
	case ok:
		s.existing = &found
		return false
	case s.settling:
		s.unsettled = true
		return false
	}
	s.record.UpdatedAt = now
	shard.Records[s.record.Key] = s.record
	return true
}

func (s *startMutation) committed(version store.Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.abandoned {
		s.rollback()
		return
	}
	if s.unsettled {
		s.result <- startResult{refusal: fault.NewUnknown(fault.LedgerUnavailable, "the store was restored from a copy and may lack the action's record").WithRetryAfter(settleTime)}
		return
	}
	s.result <- startResult{version: version, existing: s.existing}
}

func (s *startMutation) setSettling(settling bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settling = settling
}

func (s *startMutation) failed(refusal *fault.Refusal) bool {
	s.result <- startResult{refusal: refusal}
	return true
}

// foundRunning reports whether the last apply found a started action under the key.
func (s *startMutation) foundRunning() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.existing != nil && s.existing.State == Started
}

// abandon cancels the start unless it was resolved in the meantime.
func (s *startMutation) abandon() (result startResult, resolved bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case result = <-s.result:
		return result, true
	default:
		s.abandoned = true
		return startResult{}, false
	}
}

// removeMutation removes the started record of an action that certainly did not
// run.
type removeMutation struct {
	key     ident.IdempotencyKey
	attempt ident.AttemptID
}

func (r *removeMutation) apply(shard Shard, _ time.Time) bool {
	found, ok := shard.Records[r.key]
	if !ok || found.Attempt != r.attempt {
		return false
	}
	delete(shard.Records, r.key)
	return true
}

func (*removeMutation) committed(store.Version) {}

func (*removeMutation) failed(*fault.Refusal) bool { return false }

// finishMutation records the response of an action that ran.
type finishMutation struct {
	key      ident.IdempotencyKey
	attempt  ident.AttemptID
	response Response
	done     chan struct{}
}

// apply does nothing if an operator settled the record or the record has expired.
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

func (f *finishMutation) committed(store.Version) { close(f.done) }

func (*finishMutation) failed(*fault.Refusal) bool { return false }
