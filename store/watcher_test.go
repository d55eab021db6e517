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

// silentStore is a store whose first watch times out without a response.
type silentStore struct {
	watches int
	// startedAt is when each watch began.
	startedAt []time.Time
}

func (s *silentStore) List(context.Context, Kind) (Listing, error) { return Listing{Version: 1}, nil }

func (s *silentStore) Watch(ctx context.Context, _ Kind, since Version, wait time.Duration) (Batch, error) {
	s.watches++
	s.startedAt = append(s.startedAt, time.Now())
	if s.watches == 1 {
		time.Sleep(wait + time.Second)
		return Batch{}, errors.New("timeout")
	}
	if s.watches > 2 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return Batch{Version: since + 1, Events: []Object{{Name: "o", Version: since + 1}}}, nil
}

type testReader struct {
	outages []bool
}

func (r *testReader) ApplySnapshot(l Listing, _ time.Time) { r.outages = append(r.outages, l.Outage) }

func (r *testReader) ApplyEvents(b Batch, _ time.Time) { r.outages = append(r.outages, b.Outage) }

func (*testReader) WatchTimeout(context.Context) time.Duration { return time.Second }

// TestSilentWatch guards against a connection that stops responding: the watch is
// retried immediately after its timeout, and the events of the retry are marked as
// following an outage.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := common.NewDiscard()
		assert.NilError(t, err)
		s, r := &silentStore{}, &testReader{}
		ctx, cancel := context.WithCancel(t.Context())
		go NewWatcher(c, s, "kind", r).Run(ctx)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, s.startedAt[1].Sub(s.startedAt[0]), 2*time.Second)
		assert.DeepEqual(t, r.outages, []bool{false, true})
	})
}

// patientStore records how long its watches may wait, and answers them at once.
type patientStore struct{ waits []time.Duration }

func (*patientStore) List(context.Context, Kind) (Listing, error) { return Listing{Version: 1}, nil }

func (s *patientStore) Watch(ctx context.Context, _ Kind, since Version, wait time.Duration) (Batch, error) {
	s.waits = append(s.waits, wait)
	common.Sleep(ctx, wait)
	return Batch{Version: since}, ctx.Err()
}

// lateReader takes long to decide how long a watch may wait.
type lateReader struct{ testReader }

func (*lateReader) WatchTimeout(ctx context.Context) time.Duration {
	common.Sleep(ctx, 3*time.Second)
	return 8 * time.Second
}

// TestOverdueWatchDoesNotWait guards against a watch that nothing ends, as what is known became too old between the choice of its
// timeout and its call.
func TestOverdueWatchDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := common.NewDiscard()
		assert.NilError(t, err)
		s := &patientStore{}
		w := NewWatcher(c, s, "kind", &lateReader{})
		w.Freshness, w.MaxAge = &Freshness{}, 2400*time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, s.waits, []time.Duration{0, 0, 0})
		cancel()
		synctest.Wait()
	})
}

// compactedStore keeps no history at all: every watch needs a new list.
type compactedStore struct{ lists int }

func (s *compactedStore) List(context.Context, Kind) (Listing, error) {
	s.lists++
	time.Sleep(4 * time.Millisecond)
	return Listing{Version: 60}, nil
}

func (*compactedStore) Watch(context.Context, Kind, Version, time.Duration) (Batch, error) {
	time.Sleep(4 * time.Millisecond)
	return Batch{}, ErrCompacted
}

// TestCompactedAtOnce guards against a loop of lists without a pause.
func TestCompactedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := common.NewDiscard()
		assert.NilError(t, err)
		s := &compactedStore{}
		ctx, cancel := context.WithCancel(t.Context())
		go NewWatcher(c, s, "kind", &testReader{}).Run(ctx)
		const span = 100 * time.Second
		time.Sleep(span)
		cancel()
		time.Sleep(time.Second) // Lets a call in progress end.
		synctest.Wait()
		// The random delays have a mean of half the maximum.
		assert.Assert(t, s.lists < 3*int(span/maxRetryDelay), "%d lists", s.lists)
	})
}
