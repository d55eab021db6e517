package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/common"
)

// silent is a store whose first watch never returns by itself.
type silent struct {
	watches int
	// at holds when each watch began.
	at []time.Time
}

func (s *silent) List(context.Context, Kind) (Listing, error) { return Listing{Version: 1}, nil }

func (s *silent) Watch(ctx context.Context, _ Kind, since Version, wait time.Duration) (Batch, error) {
	s.watches++
	s.at = append(s.at, time.Now())
	if s.watches == 1 {
		time.Sleep(wait + time.Second)
		return Batch{}, errors.New("time-out")
	}
	if s.watches > 2 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return Batch{Version: since + 1, Events: []Object{{Name: "o", Version: since + 1}}}, nil
}

type reader struct {
	outages []bool
}

func (r *reader) ApplySnapshot(l Listing, _ time.Time) { r.outages = append(r.outages, l.Outage) }

func (r *reader) ApplyEvents(b Batch, _ time.Time) { r.outages = append(r.outages, b.Outage) }

func (*reader) WatchTimeout(context.Context) time.Duration { return time.Second }

// TestSilentWatch has a connection go silent for good: a new one is tried at once
// after the time-out, and what it brings is marked as coming after an outage.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := common.NewDiscard()
		assert.NilError(t, err)
		s, r := &silent{}, &reader{}
		ctx, cancel := context.WithCancel(t.Context())
		go NewWatcher(c, s, "kind", r).Run(ctx)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, s.at[1].Sub(s.at[0]), 2*time.Second)
		assert.DeepEqual(t, r.outages, []bool{false, true})
	})
}
