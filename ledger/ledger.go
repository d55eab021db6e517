package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

const (
	// startTimeout bounds the wait for the durable start of an action.
	startTimeout = 3 * time.Second
	// startFreshness is how old a durable start may be when the call leaves. A
	// holder that was paused for longer drops the action, so an operator who
	// settles only older records never races it.
	startFreshness = 10 * time.Second
	// inProgressFor is how long a start of another holder is taken for running.
	inProgressFor = 30 * time.Second
	// inProgressRetry is when to come back for an action that still runs.
	inProgressRetry = time.Second
)

// ErrNotSent is what a call returns if the endpoint certainly did not see it.
var ErrNotSent = errors.New("the call did not reach the endpoint")

// Config configures a Ledger.
type Config struct {
	Store store.Store
	// Owner is the instance whose agent runs the actions.
	Owner ident.InstanceName
	// Incarnation differs at each start of the agent.
	Incarnation string
}

// Action is one non-idempotent call.
type Action struct {
	Service   ident.ServiceName
	Shards    int
	Retention time.Duration
	Key       ident.IdempotencyKey
	Digest    ident.Digest
	Attempt   ident.AttemptID
}

// CallFunc makes the call at the endpoint, under a fencing token.
type CallFunc func(ctx context.Context, token store.Version) (Response, error)

// Result is what became of an action.
type Result struct {
	Response Response
	// Replayed is true if the action ran at an earlier attempt.
	Replayed bool
}

// Ledger runs actions at most once.
type Ledger struct {
	*common.Common
	config Config
	tasks  common.Tasks

	mutex   sync.Mutex
	writers map[store.Key]*writer
	// running holds the actions of this agent that have not ended.
	running map[runningKey]*execution
	// ctx ends the writers.
	ctx context.Context
}

type runningKey struct {
	service ident.ServiceName
	key     ident.IdempotencyKey
}

// execution is one run that later attempts with the same key wait for.
type execution struct {
	digest ident.Digest
	done   chan struct{}
	result Result
	err    error
}

// NewLedger returns a ledger whose writers end with the context.
func NewLedger(ctx context.Context, c *common.Common, config Config) *Ledger {
	return &Ledger{
		Common:  c,
		config:  config,
		writers: map[store.Key]*writer{},
		running: map[runningKey]*execution{},
		ctx:     ctx,
	}
}

// Wait returns when all writers have ended.
func (l *Ledger) Wait() { l.tasks.Wait() }

// Run runs the action unless it ran before, and returns its one answer. A
// refusal with outcome not-run promises that the ledger was consulted: neither
// this attempt nor an earlier one under the key has run, and this one won't.
func (l *Ledger) Run(ctx context.Context, action Action, call CallFunc) (result Result, err error) {
	defer fault.Annotate(&err, "action %s", action.Key)
	e, first := l.join(action)
	if e.digest != action.Digest {
		return result, keyReused(action.Key)
	}
	if first {
		// The run outlives the caller: half an action helps nobody.
		if !l.tasks.Go(func() { l.execute(context.WithoutCancel(ctx), e, action, call) }) {
			return result, fault.NewUnknown(fault.Draining, "the agent is shutting down").WithRetryAfter(unavailableRetry)
		}
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return result, fault.NewUnknown(fault.ActionInProgress, "the action still runs").WithRetryAfter(inProgressRetry)
	}
	result = e.result
	result.Replayed = result.Replayed || !first
	return result, e.err
}

func (l *Ledger) join(action Action) (e *execution, first bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := runningKey{service: action.Service, key: action.Key}
	if e, ok := l.running[key]; ok {
		return e, false
	}
	e = &execution{digest: action.Digest, done: make(chan struct{})}
	l.running[key] = e
	return e, true
}

func (l *Ledger) execute(ctx context.Context, e *execution, action Action, call CallFunc) {
	e.result, e.err = l.runOnce(ctx, action, call)
	l.mutex.Lock()
	delete(l.running, runningKey{service: action.Service, key: action.Key})
	l.mutex.Unlock()
	close(e.done)
}

func (l *Ledger) runOnce(ctx context.Context, action Action, call CallFunc) (Result, error) {
	w := l.writer(action)
	asked := time.Now()
	start, refusal := l.begin(w, action)
	if refusal != nil {
		return Result{}, refusal
	}
	if start.existing != nil {
		return l.replay(action, start.existing)
	}
	if time.Since(asked) > startFreshness {
		w.submit(&undo{key: action.Key, attempt: action.Attempt})
		return Result{}, fault.New(fault.LedgerUnavailable, "the record took too long").WithRetryAfter(unavailableRetry)
	}
	answer, err := call(ctx, start.version)
	if errors.Is(err, ErrNotSent) {
		w.submit(&undo{key: action.Key, attempt: action.Attempt})
		return Result{}, notSent(err)
	}
	if err != nil {
		return Result{}, fault.NewUnknown(fault.ActionUnknown, "the endpoint's answer was lost: %v", err)
	}
	w.submit(&finish{key: action.Key, attempt: action.Attempt, answer: kept(answer), done: make(chan struct{})})
	return Result{Response: answer}, nil
}

// begin makes the start durable. A refusal for want of the platform has outcome
// unknown: an earlier attempt under the key may have run.
func (l *Ledger) begin(w *writer, action Action) (beginResult, *fault.Refusal) {
	takeBack := func() { w.submit(&undo{key: action.Key, attempt: action.Attempt}) }
	b := newBegin(Record{
		Key:         action.Key,
		Digest:      action.Digest,
		Attempt:     action.Attempt,
		Owner:       l.config.Owner,
		Incarnation: l.config.Incarnation,
		State:       Started,
	}, takeBack)
	w.submit(b)
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case result := <-b.result:
		return result, result.refusal
	case <-timer.C:
	case <-l.ctx.Done():
	}
	if result, arrived := b.abandon(); arrived {
		return result, result.refusal
	}
	return beginResult{}, fault.NewUnknown(fault.LedgerUnavailable, "the platform did not confirm the record").WithRetryAfter(unavailableRetry)
}

// notSent returns the refusal that a call gave for not being made, if any.
func notSent(err error) *fault.Refusal {
	var refusal *fault.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return fault.New(fault.EndpointFailed, "the endpoint could not be reached").WithRetryAfter(inProgressRetry)
}

// replay answers from the record of an earlier attempt.
func (l *Ledger) replay(action Action, record *Record) (Result, error) {
	switch {
	case record.Digest != action.Digest:
		return Result{}, keyReused(action.Key)
	case record.State == Done:
		return Result{Response: *record.Response, Replayed: true}, nil
	case record.Incarnation != l.config.Incarnation && time.Since(record.UpdatedAt) < inProgressFor:
		return Result{}, fault.NewUnknown(fault.ActionInProgress, "the action was started by %s", record.Owner).WithRetryAfter(inProgressRetry)
	}
	return Result{}, fault.NewUnknown(fault.ActionUnknown, "the action was started by %s and its end is not known", record.Owner)
}

func (l *Ledger) writer(action Action) *writer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := ObjectKey(action.Service, ShardIndex(action.Key, action.Shards))
	w, ok := l.writers[key]
	if !ok {
		w = newWriter(l.Common, l.config.Store, key, action.Retention)
		l.writers[key] = w
		l.tasks.Go(func() { w.run(l.ctx) })
	}
	return w
}

// Flush waits until nothing is pending in any shard, or the context ends.
func (l *Ledger) Flush(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for ctx.Err() == nil && !l.settled() {
		common.Sleep(ctx, interval)
	}
}

func (l *Ledger) settled() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.running) > 0 {
		return false
	}
	for _, w := range l.writers {
		if !w.idle() {
			return false
		}
	}
	return true
}

func kept(answer Response) Response {
	if len(answer.Body) > maxKeptBody {
		answer.Body = nil
		answer.Truncated = true
	}
	return answer
}

func keyReused(key ident.IdempotencyKey) *fault.Refusal {
	return fault.New(fault.KeyReused, "the key %s was used for another call", key)
}
