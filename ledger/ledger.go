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
	// startTimeout bounds the wait until an action's start is durable.
	startTimeout = 3 * time.Second
	// maxStartAge is the longest time between the request for a start record and
	// the call. An agent that was paused for longer drops the action, so that an
	// operator, who settles only older records, never races with it.
	maxStartAge = 10 * time.Second
	// inProgressTimeout is how long an action that another agent started is
	// reported as still running.
	inProgressTimeout = 30 * time.Second
	// inProgressRetryAfter is the Retry-After for an action that still runs.
	inProgressRetryAfter = time.Second
)

// ErrNotSent is returned by a CallFunc if the call certainly did not reach the
// endpoint.
var ErrNotSent = errors.New("the call did not reach the endpoint")

// Config configures a Ledger.
type Config struct {
	Store store.Store
	// Owner is the instance of the agent that runs the actions.
	Owner ident.InstanceName
	// Incarnation is unique to each start of the agent.
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

// CallFunc sends the call to the endpoint with a fencing token.
type CallFunc func(ctx context.Context, token store.Version) (Response, error)

// Result is the outcome of an action.
type Result struct {
	Response Response
	// Replayed is true if the action ran in an earlier attempt.
	Replayed bool
}

// Ledger runs each action at most once.
type Ledger struct {
	*common.Common
	config Config
	tasks  common.Tasks

	mutex   sync.Mutex
	writers map[store.Key]*writer
	// running holds this agent's actions that are in progress.
	running map[actionKey]*execution
	// ctx stops the writers when it ends.
	ctx context.Context
}

type actionKey struct {
	service ident.ServiceName
	key     ident.IdempotencyKey
}

// execution is an action in progress; later attempts with the same key wait for
// it and share its result.
type execution struct {
	digest ident.Digest
	done   chan struct{}
	result Result
	err    error
}

// NewLedger returns a ledger whose writers stop when the context ends.
func NewLedger(ctx context.Context, c *common.Common, config Config) *Ledger {
	l := &Ledger{
		Common:  c,
		config:  config,
		writers: map[store.Key]*writer{},
		running: map[actionKey]*execution{},
		ctx:     ctx,
	}
	l.tasks.Go(l.followRestores)
	return l
}

// followRestores makes all writers add the records that they know to a restored store.
func (l *Ledger) followRestores() {
	for {
		_, raised := l.config.Store.Era()
		select {
		case <-raised:
		case <-l.ctx.Done():
			return
		}
		l.mutex.Lock()
		for _, w := range l.writers {
			w.wakeUp()
		}
		l.mutex.Unlock()
	}
}

// Wait returns when all writers have stopped.
func (l *Ledger) Wait() { l.tasks.Wait() }

// Run runs the action unless it ran before, and returns its only response. A
// refusal with outcome not-run guarantees that the ledger was checked: no
// attempt under the key has run, and this one will not.
func (l *Ledger) Run(ctx context.Context, action Action, call CallFunc) (result Result, err error) {
	defer fault.Annotate(&err, "action %s", action.Key)
	e, first := l.join(action)
	if e.digest != action.Digest {
		return result, keyReusedRefusal(action.Key)
	}
	if first {
		// The run is detached from the caller's context, so that an action is
		// completed even if its caller disconnects. It ends with the ledger, which
		// could not record its response any more.
		if !l.tasks.Go(func() { l.execute(context.WithoutCancel(ctx), e, action, call) }) {
			return result, fault.NewUnknown(fault.Draining, "the agent is shutting down").WithRetryAfter(unavailableRetryAfter)
		}
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return result, fault.NewUnknown(fault.ActionInProgress, "the action still runs").WithRetryAfter(inProgressRetryAfter)
	}
	result = e.result
	result.Replayed = result.Replayed || !first
	return result, e.err
}

func (l *Ledger) join(action Action) (e *execution, first bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := actionKey{service: action.Service, key: action.Key}
	if e, ok := l.running[key]; ok {
		return e, false
	}
	e = &execution{digest: action.Digest, done: make(chan struct{})}
	l.running[key] = e
	return e, true
}

func (l *Ledger) execute(ctx context.Context, e *execution, action Action, call CallFunc) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	e.result, e.err = l.startAndCall(ctx, action, call)
	l.mutex.Lock()
	delete(l.running, actionKey{service: action.Service, key: action.Key})
	l.mutex.Unlock()
	close(e.done)
}

func (l *Ledger) startAndCall(ctx context.Context, action Action, call CallFunc) (Result, error) {
	w := l.writer(action)
	requestedAt := time.Now()
	start, refusal := l.recordStart(w, action)
	if refusal != nil {
		return Result{}, refusal
	}
	if start.existing != nil {
		return l.replay(action, start.existing)
	}
	if time.Since(requestedAt) > maxStartAge {
		w.submit(&removeMutation{key: action.Key, attempt: action.Attempt})
		return Result{}, fault.New(fault.LedgerUnavailable, "the record took too long").WithRetryAfter(unavailableRetryAfter)
	}
	response, err := call(ctx, start.version)
	if errors.Is(err, ErrNotSent) {
		w.submit(&removeMutation{key: action.Key, attempt: action.Attempt})
		return Result{}, notSentRefusal(err)
	}
	if err != nil {
		return Result{}, fault.NewUnknown(fault.ActionUnknown, "the endpoint's answer was lost: %v", err)
	}
	w.submit(&finishMutation{key: action.Key, attempt: action.Attempt, response: truncateResponse(response), done: make(chan struct{})})
	return Result{Response: response}, nil
}

// recordStart makes the action's start durable. If the platform does not respond,
// the refusal has outcome unknown: an earlier attempt under the key may have run.
func (l *Ledger) recordStart(w *writer, action Action) (startResult, *fault.Refusal) {
	rollback := func() { w.submit(&removeMutation{key: action.Key, attempt: action.Attempt}) }
	m := newStartMutation(Record{
		Key:         action.Key,
		Digest:      action.Digest,
		Attempt:     action.Attempt,
		Owner:       l.config.Owner,
		Incarnation: l.config.Incarnation,
		State:       Started,
	}, rollback)
	w.submit(m)
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case result := <-m.result:
		return result, result.refusal
	case <-timer.C:
	case <-l.ctx.Done():
	}
	if result, resolved := m.abandon(); resolved {
		return result, result.refusal
	}
	return startResult{}, fault.NewUnknown(fault.LedgerUnavailable, "the platform did not confirm the record").WithRetryAfter(unavailableRetryAfter)
}

// notSentRefusal returns the refusal in the error of a call that was not sent, or
// a default refusal.
func notSentRefusal(err error) *fault.Refusal {
	var refusal *fault.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return fault.New(fault.EndpointFailed, "the endpoint could not be reached").WithRetryAfter(inProgressRetryAfter)
}

// replay returns the result recorded by an earlier attempt.
func (l *Ledger) replay(action Action, record *Record) (Result, error) {
	switch {
	case record.Digest != action.Digest:
		return Result{}, keyReusedRefusal(action.Key)
	case record.State == Done:
		return Result{Response: *record.Response, Replayed: true}, nil
	case record.Incarnation != l.config.Incarnation && time.Since(record.UpdatedAt) < inProgressTimeout:
		return Result{}, fault.NewUnknown(fault.ActionInProgress, "the action was started by %s", record.Owner).WithRetryAfter(inProgressRetryAfter)
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

// Flush waits until no action is running and no shard has a pending write, or the
// context ends.
func (l *Ledger) Flush(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for ctx.Err() == nil && !l.idle() {
		common.Sleep(ctx, interval)
	}
}

func (l *Ledger) idle() bool {
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

func truncateResponse(response Response) Response {
	if len(response.Body) > maxStoredBodyBytes {
		response.Body = nil
		response.Truncated = true
	}
	return response
}

func keyReusedRefusal(key ident.IdempotencyKey) *fault.Refusal {
	return fault.New(fault.KeyReused, "the key %s was used for another call", key)
}
