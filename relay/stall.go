package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"crocusstep/admit"
	"crocusstep/client"
	"crocusstep/pool"
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
	// overlapLimit is how long two engines may have the request: the one that is silent, and
	// the next one until it has accepted the request. Both may work on it for less than 400 ms.
	overlapLimit = 300 * time.Millisecond
	// maxMoveTime limits the preparation of a move: a keeper revokes a reservation whose request
	// does not start within 2.5 s.
	maxMoveTime = 2 * time.Second
)

// errMoved means that a stream has left its endpoint for another one.
var errMoved = errors.New("the stream has moved to another endpoint")

// stallWatch moves a resumable stream to another engine if its own sends no complete event
// for too long. The stream leaves its engine only once another one has its memory reserved, the
// prompt prefilled and the request, and has not rejected it; if that fails, the stream stays.
type stallWatch struct {
	stream *stream
	// limit is the longest silence after the first event.
	limit time.Duration
	// uncounted is 1 while the engine of the try is not among the executions of the stream, else 0.
	uncounted int
	// progress holds one entry if events have arrived since it was last read.
	progress chan struct{}
	// ended is closed when the watch has ended.
	ended chan struct{}
	// turn holds one entry while a goroutine uses the stream: the reader to forward events, the
	// watch to move the stream.
	turn chan struct{}

	mutex sync.Mutex
	// cancelMove ends a move that is prepared; nil if there is none.
	cancelMove context.CancelFunc
}

// watchForStall watches a try, in which an engine has executed the request as the given
// number of engines so far, until stop is called. Abort ends the try. Meanwhile the caller
// of watchForStall must only wait for the engine, and forward what it sends between resume and
// release.
func (s *stream) watchForStall(ctx context.Context, executions int, abort context.CancelFunc) (stop func()) {
	if !s.route.Retryable() || executions >= s.route.MaxEndpoints || !s.disaggregated() {
		return func() {}
	}
	watchContext, cancel := context.WithCancel(ctx)
	w := &stallWatch{stream: s, uncounted: executions - s.executions, limit: defaultStallLimit, progress: make(chan struct{}, 1), ended: make(chan struct{}), turn: make(chan struct{}, 1)}
	if s.route.TargetEventGap > 0 {
		w.limit = stallFactor * s.route.TargetEventGap
	}
	s.stall = w
	go w.run(watchContext, ctx, abort)
	return func() {
		cancel()
		<-w.ended
		s.stall = nil
	}
}

// resume takes the stream back from a move that is prepared, as its engine has sent something. It
// reports false if the stream has moved; else release must follow.
func (w *stallWatch) resume() bool {
	if w == nil {
		return true
	}
	w.recordProgress()
	w.mutex.Lock()
	if w.cancelMove != nil {
		w.cancelMove()
	}
	w.mutex.Unlock()
	w.turn <- struct{}{}
	if w.stream.next != nil {
		<-w.turn
		return false
	}
	return true
}

// release lets the watch move the stream again.
func (w *stallWatch) release() {
	if w == nil {
		return
	}
	// The time that the caller took to read does not count as silence.
	w.recordProgress()
	<-w.turn
}

func (w *stallWatch) recordProgress() {
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

// run watches until the first context ends. A request that a move has sent lasts as long as the
// second.
func (w *stallWatch) run(ctx, tryContext context.Context, abort context.CancelFunc) {
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
		if w.move(ctx, tryContext) {
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

// move moves the stream to another engine, unless its own sends something before the other one has
// the request. It reports whether the stream has moved.
func (w *stallWatch) move(ctx, tryContext context.Context) bool {
	w.turn <- struct{}{}
	defer func() { <-w.turn }()
	ctx, cancel := context.WithTimeout(ctx, maxMoveTime)
	defer cancel()
	w.setCancelMove(cancel)
	defer w.setCancelMove(nil)
	s := w.stream
	if len(w.progress) > 0 || s.sequence.lost || s.sends >= maxSends || s.executions+w.uncounted >= s.route.MaxEndpoints {
		return false
	}
	endpoint, source, tryEvents := s.endpoint, s.source, s.tryEvents
	s.tried[endpoint] = true
	next, cached, err := w.prepare(ctx)
	if err == nil {
		s.tryEvents = 0
		err = w.handOver(tryContext, next, cached)
	}
	if next != nil {
		s.Log.Info("a stream stalls", "request", s.request.Attempt, "endpoint", endpoint, "next", next.member.Name,
			"tokens-made", s.generated.Load(), "moved", err == nil, "error", err)
	}
	if err == nil {
		s.hasMoved = true
		return true
	}
	s.endpoint, s.source, s.tryEvents = endpoint, source, tryEvents
	s.returnPrepaidSends()
	if next != nil {
		if next.try == nil {
			s.config.Pool.ReturnPermit(next.member.Endpoint)
		}
		s.endReservation(next)
	}
	return false
}

func (w *stallWatch) setCancelMove(cancel context.CancelFunc) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancelMove = cancel
}

var (
	// errNoMove means that no other engine can take a stream now.
	errNoMove = errors.New("no other endpoint can take the stream")
	// errNextFailed means that the next engine failed the request that was to move there.
	errNextFailed = errors.New("the next endpoint failed the request")
)

// prepare reserves memory at another engine and the sends that the move takes, and has the prompt
// prefilled.
func (w *stallWatch) prepare(ctx context.Context) (next *reservation, cached *CachedPrompt, err error) {
	s := w.stream
	candidates := s.decodeCandidates(ctx)
	for _, m := range candidates[:min(maxDecodeTries, len(candidates))] {
		if m.Suspended {
			break
		}
		if _, next = s.tryReserve(ctx, m, 0, admit.Begun); next != nil || ctx.Err() != nil {
			break
		}
	}
	switch {
	case next == nil:
		return nil, nil, errNoMove
	case ctx.Err() != nil:
		return next, nil, ctx.Err()
	case !s.prepaySends(resumeSends + 1):
		// With one more the stream can go on elsewhere if the next engine rejects it late.
		return next, nil, errNoRetry
	}
	if cached, err = s.prefillFor(ctx, next, maxSlotWait); err != nil {
		return next, nil, err
	}
	if len(w.progress) > 0 || ctx.Err() != nil {
		s.freePrompt(cached)
		return next, nil, context.Canceled
	}
	return next, cached, nil
}

// handOver sends the request to the next engine. The stream has moved once that has accepted the
// request, or has not rejected it in time.
func (w *stallWatch) handOver(ctx context.Context, next *reservation, cached *CachedPrompt) error {
	s := w.stream
	if err := s.submit(ctx, next, cached); err != nil {
		s.freePrompt(cached)
		return err
	}
	timer := time.NewTimer(overlapLimit)
	defer timer.Stop()
	select {
	case result := <-next.try.result:
		response, err := s.recordResult(ctx, next, result)
		if errors.Is(err, client.ErrNotSent) || errors.Is(err, errNotExecuted) {
			s.freePrompt(cached)
		}
		if err != nil {
			return err
		}
		if !response.Successful() || !response.Signed {
			_ = response.Body.Close()
			next.try.abort()
			next.outcome = pool.Failed
			return errNextFailed
		}
		next.try.accepted = response
	case <-timer.C:
	}
	s.next = next
	return nil
}

// prepaySends counts further sends against the retry limits before they are made.
func (s *stream) prepaySends(count int) bool {
	s.prepaidAt = time.Now()
	for range count {
		if !s.retryLimiter(s.service.Name).TryAcquire(s.prepaidAt, s.config.RelayCount()) {
			return false
		}
		s.prepaidSends++
	}
	return true
}

// returnPrepaidSends returns to the retry limits what was prepaid and not sent.
func (s *stream) returnPrepaidSends() {
	s.retryLimiter(s.service.Name).Return(s.prepaidAt, time.Now(), s.prepaidSends)
	s.prepaidSends = 0
}
