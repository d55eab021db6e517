package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/store"
)

// reconcileLoop reads the platform's list at a pace that keeps within the bytes
// a node may spend. However large the fleet is, some entry reads it often, and
// what one finds it writes to the records, which all others watch.
func (r *Roster) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		size := r.reconcile(ctx)
		pace := max(listInterval, time.Duration(size)*time.Second/listBytesPerSecond)
		common.Sleep(ctx, pace/2+rand.N(pace))
	}
}

// reconcile applies the platform's list to the records and returns its size.
func (r *Roster) reconcile(ctx context.Context) ident.ByteCount {
	instances, err := r.store.Instances(ctx)
	if err != nil {
		// An outage of the platform says nothing about the agents.
		r.Log.Warn("the list of instances was not read", "error", err)
		return 0
	}
	r.mutex.Lock()
	changes := Reconcile(r.records, instances, time.Now())
	r.mutex.Unlock()
	for _, change := range changes {
		if err := r.write(ctx, change); err != nil {
			r.Log.Warn("a member's record was not changed", "endpoint", change.Name, "error", err)
		}
	}
	return ident.ByteCount(len(instances)) * instanceSize
}

func (r *Roster) write(ctx context.Context, change Change) error {
	key := store.Key{Kind: Kind, Name: string(change.Name)}
	object, err := r.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	record, err := ParseRecord(object.Value)
	if err != nil {
		return err
	}
	if !record.Registered.Equal(change.Registered) {
		return nil
	}
	if change.Deleted {
		return r.store.Delete(ctx, key, object.Version)
	}
	record.Instance.State = store.Leaving
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = r.store.Put(ctx, key, value, object.Version)
	return err
}
