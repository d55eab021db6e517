// Package ledger keeps durable records so that a non-idempotent action runs at
// most once. Records are grouped in shards, each stored as one object of the
// platform. Every write of a shard is conditional on its previous version, which
// fences the endpoint against concurrent agents. See docs/design/ledger.md.
package ledger

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// Kind is the kind of the platform objects that hold shards.
const Kind store.Kind = "ledger"

// maxStoredBodyBytes is the size of the longest response body that a record
// stores.
const maxStoredBodyBytes = 8 << 10

// maxShardBytes is the encoded size above which a shard accepts no new actions;
// the rest of store.MaxValueBytes is reserved for the responses of running actions.
const maxShardBytes = store.MaxValueBytes * 3 / 4

// State is the progress of an action.
type State string

const (
	// Started actions may have run; they are never started again.
	Started State = "started"
	// Done actions have run and their response is recorded.
	Done State = "done"
)

// Response is the endpoint's HTTP response.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is true if the body was too long to store.
	Truncated bool `json:"truncated,omitempty"`
}

// Record is the durable record of one action.
type Record struct {
	Key ident.IdempotencyKey `json:"key"`
	// Digest is the hash of the call; a different call under the same key is an
	// error.
	Digest  ident.Digest    `json:"digest"`
	Attempt ident.AttemptID `json:"attempt"`
	// Owner is the instance of the agent that started the action.
	Owner ident.InstanceName `json:"holder"`
	// Incarnation distinguishes the agent that started the action from a later
	// start of the agent on the same instance.
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// UpdatedAt is when the state was last changed, by the clock of the process
	// that wrote it.
	UpdatedAt time.Time `json:"changed"`
	// Response is set if the state is Done.
	Response *Response `json:"answer,omitempty"`
}

// Shard is the value of one platform object.
type Shard struct {
	Records map[ident.IdempotencyKey]Record `json:"records"`
}

// NewShard returns a shard without records.
func NewShard() Shard { return Shard{Records: map[ident.IdempotencyKey]Record{}} }

// ParseShard decodes the value of a shard's object.
func ParseShard(value []byte) (shard Shard, err error) {
	defer fault.Annotate(&err, "parse a ledger shard")
	shard = NewShard()
	err = json.Unmarshal(value, &shard)
	if shard.Records == nil {
		shard.Records = map[ident.IdempotencyKey]Record{}
	}
	return shard, err
}

// Encode returns the value of the shard's object.
func (s Shard) Encode() ([]byte, error) { return json.Marshal(s) }

// clone copies the map; the records themselves are never modified in place.
func (s Shard) clone() Shard {
	copied := NewShard()
	for key, record := range s.Records {
		copied.Records[key] = record
	}
	return copied
}

// merge adds the records that are known from before a restore of the store, and reports
// whether there are any: those that are missing, and those that are still started, perhaps
// by another attempt that wrote its record while the store lacked the known one.
func (s Shard) merge(known Shard) (changed bool) {
	for key, record := range known.Records {
		found, ok := s.Records[key]
		if !ok || found.State == Started && (record.State == Done || record.Attempt != found.Attempt) {
			s.Records[key] = record
			changed = true
		}
	}
	return changed
}

// prune removes records that are older than the retention period.
func (s Shard) prune(now time.Time, retention time.Duration) {
	for key, record := range s.Records {
		if now.Sub(record.UpdatedAt) > retention {
			delete(s.Records, key)
		}
	}
}

// ShardIndex returns the index of the shard that holds a key.
func ShardIndex(key ident.IdempotencyKey, shards int) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(key))
	return int(sum.Sum32() % uint32(max(1, shards)))
}

// ObjectKey returns the store key of a shard's object.
func ObjectKey(service ident.ServiceName, shard int) store.Key {
	return store.Key{Kind: Kind, Name: string(service) + "." + strconv.Itoa(shard)}
}
