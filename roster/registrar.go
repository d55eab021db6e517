package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/store"
)

const (
	// maxRetryDelay bounds the random delay after a failed write.
	maxRetryDelay = 2 * time.Second
	// recheckInterval is the mean interval at which an agent checks its record; 600
	// agents make 20 calls a second.
	recheckInterval = 30 * time.Second
	// maxRestoreDelay spreads the writes of all agents after a restore of the store.
	maxRestoreDelay = time.Second
)

// Registrar maintains an agent's own record. It is safe for concurrent use.
type Registrar struct {
	*common.Common
	store store.Store

	mutex sync.Mutex
	// instance is the wanted content of the record.
	instance store.Instance
	changed  chan struct{}
}

// NewRegistrar returns a registrar; Run writes the record.
func NewRegistrar(c *common.Common, s store.Store, instance store.Instance) *Registrar {
	return &Registrar{Common: c, store: s, instance: instance, changed: make(chan struct{}, 1)}
}

// MarkLeaving marks the agent as leaving, so that it gets no new requests.
func (r *Registrar) MarkLeaving() {
	r.mutex.Lock()
	r.instance.State = store.Leaving
	r.mutex.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run keeps the record up to date until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	registered := time.Now()
	for ctx.Err() == nil {
		_, restored := r.store.Era()
		if err := r.write(ctx, registered); err != nil {
			r.Log.Warn("cannot write the member's record", "error", err)
			common.Sleep(ctx, rand.N(maxRetryDelay))
			continue
		}
		timer := time.NewTimer(recheckInterval/2 + rand.N(recheckInterval))
		select {
		case <-timer.C:
		case <-r.changed:
		case <-restored:
			// The copy may lack the record, like those of all other agents.
			common.Sleep(ctx, rand.N(maxRestoreDelay))
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// write updates the stored record if it is out of date.
func (r *Registrar) write(ctx context.Context, registered time.Time) error {
	r.mutex.Lock()
	record := Record{Instance: r.instance, Registered: registered}
	r.mutex.Unlock()
	key := store.Key{Kind: Kind, Name: string(record.Instance.Endpoint)}
	object, err := r.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if err == nil {
		if current, parseError := ParseRecord(object.Value); parseError == nil && upToDate(current, record) {
			return nil
		}
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = r.store.Put(ctx, key, value, object.Version)
	return err
}

// upToDate reports whether a stored record needs no write. A record that an entry
// marked as leaving, according to the platform's list, is not marked live again.
func upToDate(stored, wanted Record) bool {
	if !stored.Registered.Equal(wanted.Registered) {
		return false
	}
	if stored.Instance.State == store.Leaving {
		wanted.Instance.State = store.Leaving
	}
	return stored.Instance == wanted.Instance
}
