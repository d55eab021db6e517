package relay

import (
	"context"
	"time"

	"crocusstep/admit"
)

const (
	// stallFactor is the longest silence of an engine as a multiple of the route's longest
	// gap between events; engines that are slow by less still serve their streams.
	stallFactor = 4
	// defaultStallLimit applies to routes that state no longest gap.
	defaultStallLimit = 1200 * time.Millisecond
	// firstEventFactor prolongs the limit for the first event, which a KV transfer or a
	// local prefill precedes.
	firstEventFactor = 1.5
	// resumeSends is how many sends a resumed stream needs: a prefill and a decode.
	resumeSends = 2
)

// stallWatch moves a resumable stream to another engine if its own sends no complete event
// for too long. It aborts the stream only once another engine has memory for it, so that a
// slow stream is not lost in a full fleet.
type stallWatch struct {
	stream *stream
	// limit is the longest silence after the first event.
	limit time.Duration
	// progress holds one entry if events have arrived since it was last read.
	progress chan struct{}
	// ended is closed when the watch has ended.
	ended chan struct{}
}

// watchForStall watches a try, in which an engine has executed the request as the given
// number of engines so far, until stop is called. Abort ends the try. Meanwhile the caller
// of watchForStall must only wait for the engine and record its events.
func (s *stream) watchForStall(ctx context.Context, executions int, abort context.CancelFunc) (stop func()) {
	if !s.route.Retryable() || executions >= s.route.MaxEndpoints || !s.disaggregated() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &stallWatch{stream: s, limit: defaultStallLimit, progress: make(chan struct{}, 1), ended: make(chan struct{})}
	if s.route.TargetEventGap > 0 {
		w.limit = stallFactor * s.route.TargetEventGap
	}
	s.stall = w
	go w.run(ctx, abort)
	return func() {
		cancel()
		<-w.ended
		s.stall = nil
	}
}

// recordProgress restarts the limit.
func (w *stallWatch) recordProgress() {
	if w == nil {
		return
	}
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

func (w *stallWatch) run(ctx context.Context, abort context.CancelFunc) {
	defer close(w.ended)
	timer := time.NewTimer(w.firstLimit())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.progress:
			timer.Reset(w.limit)
			continue
		case <-timer.C:
		}
		if w.prepareMove(ctx) {
			abort()
			return
		}
		timer.Reset(w.limit / 2)
	}
}

// firstLimit is longer before the stream has begun.
func (w *stallWatch) firstLimit() time.Duration {
	if w.stream.generated.Load() > 0 {
		return w.limit
	}
	return time.Duration(firstEventFactor * float64(w.limit))
}

// prepareMove reserves memory at another engine and the sends that the move takes. It
// reports whether the stream can move.
func (w *stallWatch) prepareMove(ctx context.Context) bool {
	s := w.stream
	stalled := s.endpoint
	s.tried[stalled] = true
	var next *reservation
	candidates := s.decodeCandidates(ctx)
	for _, m := range candidates[:min(maxDecodeTries, len(candidates))] {
		if m.Suspended {
			break
		}
		if _, next = s.tryReserve(ctx, m, 0, admit.Begun); next != nil || ctx.Err() != nil {
			break
		}
	}
	if next == nil {
		return false
	}
	moved := ctx.Err() == nil && s.prepaySends(resumeSends)
	select {
	case <-w.progress:
		moved = false
	default:
	}
	s.Log.Info("a stream stalls", "request", s.request.Attempt, "endpoint", stalled, "tokens-made", s.generated.Load(), "moved", moved)
	if !moved {
		s.endReservation(next)
		s.prepaidSends = 0
		return false
	}
	s.next = next
	return true
}

// prepaySends counts further sends against the retry limits before they are made.
func (s *stream) prepaySends(count int) bool {
	for range count {
		if !s.retryLimiter(s.service.Name).TryAcquire(time.Now(), s.config.RelayCount()) {
			return false
		}
		s.prepaidSends++
	}
	return true
}
