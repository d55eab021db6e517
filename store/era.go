package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"crocusstep/common"
)

const (
	// eraKind is a kind without objects.
	eraKind Kind = "era"
	// eraWatchTimeout is the longest wait of a watch for a restore; 600 processes make 60
	// calls a second. A store that was away cuts its connections, which ends a watch sooner.
	eraWatchTimeout = 10 * time.Second
)

// WatchEra calls the store until the context ends, so that Era shows a restore soon. It is
// for processes that do not watch the store otherwise.
func WatchEra(ctx context.Context, s Store) {
	for ctx.Err() == nil {
		listing, err := s.List(ctx, eraKind)
		for version := listing.Version; err == nil; {
			var batch Batch
			batch, err = s.Watch(ctx, eraKind, version, eraWatchTimeout)
			version = max(version, batch.Version)
		}
		if !errors.Is(err, ErrRestored) {
			common.Sleep(ctx, rand.N(maxRetryDelay))
		}
	}
}
