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

// settleAge is how old a start must be before it may be settled as not run. It
// is well above startFreshness, so that a paused holder has given up by then.
const settleAge = time.Minute

// Admin is the operators' side of the ledger.
type Admin struct {
	store store.Store
}

// NewAdmin returns the operators' side of the ledger that a store keeps.
func NewAdmin(s store.Store) *Admin { return &Admin{store: s} }

// Unsettled returns the started records of a service, oldest first.
func (c *Admin) Unsettled(ctx context.Context, service ident.ServiceName) (records []Record, err error) {
	defer fault.Annotate(&err, "list actions of %s", service)
	err = c.eachShard(ctx, service, func(_ store.Object, shard Shard) error {
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

// Settle records what an operator found out about a started action.
func (c *Admin) Settle(ctx context.Context, service ident.ServiceName, key ident.IdempotencyKey, ran bool) (err error) {
	defer fault.Annotate(&err, "settle %s of %s", key, service)
	for {
		found := false
		err = c.eachShard(ctx, service, func(object store.Object, shard Shard) error {
			record, ok := shard.Records[key]
			if !ok {
				return nil
			}
			found = true
			return c.settle(ctx, object, shard, record, ran)
		})
		if err == nil && !found {
			return fmt.Errorf("there is no such record")
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAmbiguous) {
			return err
		}
	}
}

func (c *Admin) settle(ctx context.Context, object store.Object, shard Shard, record Record, ran bool) error {
	if record.State != Started {
		return fmt.Errorf("the action is settled already")
	}
	if age := time.Since(record.UpdatedAt); age < settleAge {
		return fmt.Errorf("the action was started %s ago and may still run; wait until it is %s old", age.Round(time.Second), settleAge)
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
	_, err = c.store.Put(ctx, store.Key{Kind: Kind, Name: object.Name}, value, object.Version)
	return err
}

func (c *Admin) eachShard(ctx context.Context, service ident.ServiceName, visit func(store.Object, Shard) error) error {
	listing, err := c.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	for _, object := range listing.Objects {
		if !strings.HasPrefix(object.Name, string(service)+".") {
			continue
		}
		shard, err := ParseShard(object.Value)
		if err != nil {
			return err
		}
		if err := visit(object, shard); err != nil {
			return err
		}
	}
	return nil
}
