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

// reconcileLoop reads the platform's list at intervals that keep an entry within
// maxListBytesPerSecond. In a fleet of any size some entry reads it often and
// updates the records, which all other entries watch.
func (r *Roster) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		size := r.reconcile(ctx)
		interval := max(minListInterval, time.Duration(size)*time.Second/maxListBytesPerSecond)
		common.Sleep(ctx, interval/2+rand.N(interval))
	}
}

// reconcile applies the platform's list to the records and returns the list's size.
func (r *Roster) reconcile(ctx context.Context) ident.ByteCount {
	instances, err := r.store.Instances(ctx)
	if err != nil {
		// An outage of the platform is no evidence about the agents.
		r.Log.Warn("cannot list the instances", "error", err)
		return 0
	}
	r.mutex.Lock()
	changes := Reconcile(r.records, instances, time.Now())
	r.mutex.Unlock()
	for _, change := range changes {
		if err := r.write(ctx, change); err != nil {
			r.Log.Warn("cannot update a member's record", "endpoint", change.Name, "error", err)
		}
	}
	return ident.ByteCount(len(instances)) * instanceBytes
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
