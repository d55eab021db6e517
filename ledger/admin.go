package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// minSettleAge is the age that a started record must have before an operator may
// settle it as not run. It is well above maxStartAge, so that an agent that was
// paused has dropped the action by then.
const minSettleAge = time.Minute

// Admin lets operators list and settle actions whose outcome is unknown.
type Admin struct {
	store store.Store
}

// NewAdmin returns an Admin for the ledger in a store.
func NewAdmin(s store.Store) *Admin { return &Admin{store: s} }

// Unsettled returns the started records of a service, oldest first. An error may follow those of the
// shards that can be read.
func (a *Admin) Unsettled(ctx context.Context, service ident.ServiceName) (records []Record, err error) {
	defer fault.Annotate(&err, "list actions of %s", service)
	err = a.forEachShard(ctx, service, func(_ store.Object, shard Shard) error {
		for _, record := range shard.Records {
			if record.State == Started {
				records = append(records, record)
			}
		}
		return nil
	})
	sort.Slice(records, func(i, j int) bool { return records[i].UpdatedAt.Before(records[j].UpdatedAt) })
	return records, err
}

// Settle records whether a started action has run, as an operator determined: it
// marks the record as done, or deletes it so that the action may run again.
func (a *Admin) Settle(ctx context.Context, service ident.ServiceName, key ident.IdempotencyKey, ran bool) (err error) {
	defer fault.Annotate(&err, "settle %s of %s", key, service)
	for {
		found := false
		var settleErr error
		err = a.forEachShard(ctx, service, func(object store.Object, shard Shard) error {
			record, ok := shard.Records[key]
			if !ok {
				return nil
			}
			found = true
			settleErr = a.settle(ctx, object, shard, record, ran)
			return settleErr
		})
		if found {
			// The shards that cannot be read hold other records.
			err = settleErr
		} else if err == nil {
			return fmt.Errorf("no record with this key")
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAmbiguous) {
			return err
		}
	}
}

func (a *Admin) settle(ctx context.Context, object store.Object, shard Shard, record Record, ran bool) error {
	if record.State != Started {
		return fmt.Errorf("the action is already settled")
	}
	if age := time.Since(record.UpdatedAt); age < minSettleAge {
		return fmt.Errorf("the action was started %s ago and may still run; wait until it is %s old", age.Round(time.Second), minSettleAge)
	}
	if ran {
		record.State = Done
		record.UpdatedAt = time.Now()
		record.Response = &Response{Status: http.StatusOK, Truncated: true}
		shard.Records[record.Key] = record
	} else {
		delete(shard.Records, record.Key)
	}
	value, err := shard.Encode()
	if err != nil {
		return err
	}
	_, err = a.store.Put(ctx, store.Key{Kind: Kind, Name: object.Name}, value, object.Version)
	return err
}

// forEachShard visits the shards of a service until an error of visit. Shards that cannot be read
// are an error after those that can.
func (a *Admin) forEachShard(ctx context.Context, service ident.ServiceName, visit func(store.Object, Shard) error) error {
	listing, err := a.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	for _, object := range listing.Objects {
		if !strings.HasPrefix(object.Name, string(service)+".") {
			continue
		}
		shard, parseErr := ParseShard(object.Value)
		if parseErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", object.Name, parseErr))
			continue
		}
		if err := visit(object, shard); err != nil {
			return err
		}
	}
	return err
}
