package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"crocusstep/common"
)

// followRetry is the longest pause after a failed call; the pause is drawn at
// random so that nodes do not come back together after an outage.
const followRetry = 2 * time.Second

// Reader takes over what a Follower reads of one kind.
type Reader interface {
	// Load takes over a whole listing that was asked for at a time.
	Load(listing Listing, asked time.Time)
	// Apply takes over the events of a watch that was begun at a time.
	Apply(batch Batch, asked time.Time)
	// Wait is how long the next watch may wait; each watch is one call.
	Wait(ctx context.Context) time.Duration
}

// Follower keeps a reader up to date with all objects of a kind.
type Follower struct {
	*common.Common
	store  Store
	kind   Kind
	reader Reader
	// version is that of the newest answer; zero until the first listing.
	version Version
	loaded  bool
}

// NewFollower returns a follower of a kind.
func NewFollower(c *common.Common, s Store, kind Kind, reader Reader) *Follower {
	return &Follower{Common: c, store: s, kind: kind, reader: reader}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.Log.Warn("the platform cannot be followed", "kind", f.kind, "error", err)
			common.Pause(ctx, rand.N(followRetry))
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	wait := f.reader.Wait(ctx)
	asked := time.Now()
	batch, err := f.store.Watch(ctx, f.kind, f.version, wait)
	if errors.Is(err, ErrGap) {
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.reader.Apply(batch, asked)
	f.version = max(f.version, batch.Version)
	return nil
}

func (f *Follower) load(ctx context.Context) error {
	asked := time.Now()
	listing, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.reader.Load(listing, asked)
	f.version = max(f.version, listing.Version)
	f.loaded = true
	return nil
}
