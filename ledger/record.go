// Package ledger keeps the durable records that make a non-idempotent action
// run at most once. Records are grouped in shards, each one object of the
// platform, and every write of a shard is conditional on the version before
// it: that is the fence in front of the endpoint. See docs/design/ledger.md.
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

// Kind is the kind of the platform's objects that hold shards.
const Kind store.Kind = "ledger"

// maxKeptBody is the longest answer, in bytes, that a record keeps.
const maxKeptBody = 8 << 10

// maxShardSize is the encoded size, in bytes, at which a shard takes no new
// actions; the rest of store.MaxValue is left for the answers of those running.
const maxShardSize = store.MaxValue * 3 / 4

// State is how far an action has come.
type State string

const (
	// Started actions may have run; they are never started again.
	Started State = "started"
	// Done actions have run and their answer is recorded.
	Done State = "done"
)

// Response is what the endpoint said.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is true if the body was too long to keep.
	Truncated bool `json:"truncated,omitempty"`
}

// Record is the durable trace of one action.
type Record struct {
	Key ident.IdempotencyKey `json:"key"`
	// Digest is that of the call; another call under the key is an error.
	Digest  ident.Digest    `json:"digest"`
	Attempt ident.AttemptID `json:"attempt"`
	// Owner is the agent that started the action.
	Owner ident.InstanceName `json:"holder"`
	// Incarnation tells a restarted holder from the one that started it.
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// UpdatedAt is when the state was entered, by the holder's clock.
	UpdatedAt time.Time `json:"changed"`
	// Response is set once the state is Done.
	Response *Response `json:"answer,omitempty"`
}

// Shard is the value of one object.
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

// clone copies the map; records themselves are never changed in place.
func (s Shard) clone() Shard {
	copied := NewShard()
	for key, record := range s.Records {
		copied.Records[key] = record
	}
	return copied
}

// prune drops records that are older than the time to keep them.
func (s Shard) prune(now time.Time, keepFor time.Duration) {
	for key, record := range s.Records {
		if now.Sub(record.UpdatedAt) > keepFor {
			delete(s.Records, key)
		}
	}
}

// ShardIndex returns the number of the shard that holds a key.
func ShardIndex(key ident.IdempotencyKey, shards int) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(key))
	return int(sum.Sum32() % uint32(max(1, shards)))
}

// ObjectKey returns the name of a shard's object.
func ObjectKey(service ident.ServiceName, shard int) store.Key {
	return store.Key{Kind: Kind, Name: string(service) + "." + strconv.Itoa(shard)}
}
