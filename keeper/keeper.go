package keeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/memory"
	"crocusstep/pool"
)

const (
	// startLimit is how long a place is kept whose run has not begun: relays wait for
	// turns for 1.5 s at most, a prompt of 11,000 tokens takes 0.3 s to be read behind
	// another, and is then kept 0.5 s.
	startLimit = 2500 * time.Millisecond
	// pollInterval is the time between two looks at the engine while asks wait.
	pollInterval = 25 * time.Millisecond
	// waitDoubt is by how much an expected wait may be too long: where it is twice as
	// long as what helps, two in five still get their place in time.
	waitDoubt = 2
	// SafetyFactor is the margin in standard deviations; one run in six exceeds one.
	SafetyFactor = 1.0
)

// Engine is the engine beside this process.
type Engine interface {
	// Report returns its state.
	Report(ctx context.Context) (EngineReport, error)
	// ChangeStage orders it to work on another stage. Of several orders that
	// follow the same count of orders it carries out one at most.
	ChangeStage(ctx context.Context, order StageRequest, follows EngineReport) error
}

// Keeper gives out the places of one engine.
type Keeper struct {
	*common.Common
	engine Engine

	mutex sync.Mutex
	// report is the newest state of the engine, taken at the time reported.
	report   EngineReport
	reported time.Time
	down     bool
	// held is every place given out, until its run ends or fails to begin.
	held map[ident.AttemptID]*grant
	// waiting is in the order of before.
	waiting []*waiter
	// steps is the learned time for one token of each run.
	steps steps
	// load is the mean of all asks.
	load MeanRequest
	// pace is how long readings take here, by the time that they usually take.
	pace float64
	// readUntil is when all prompts will be read whose turns were granted.
	readUntil time.Time
	// turned is when the newest turn was granted.
	turned time.Time
	// staged is when the engine was last ordered to another stage.
	staged time.Time
	wake   chan struct{}
}

type grant struct {
	ask   ReserveRequest
	since time.Time
	// seen is true once the engine has reported the run.
	seen bool
	// mark is the tokens held at the time marked, from which the pace is measured.
	mark   ident.TokenCount
	marked time.Time
}

type waiter struct {
	ask     ReserveRequest
	granted chan struct{}
}

// NewKeeper returns a keeper without places given out.
func NewKeeper(c *common.Common, e Engine) *Keeper {
	return &Keeper{Common: c, engine: e, held: map[ident.AttemptID]*grant{}, pace: 1, wake: make(chan struct{}, 1)}
}

// Run looks at the engine while asks wait, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for k.anyWaits() && ctx.Err() == nil {
			k.refresh(ctx)
			k.advance()
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}
}

// works reports whether the engine works on a stage at the moment.
func (k *Keeper) works(stage pool.Stage) bool {
	return !k.report.ChangingStage && (k.report.Stage == stage || k.report.Stage == pool.Combined)
}

func (k *Keeper) anyWaits() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.waiting) > 0
}

// Reserve waits for a place as long as the ask allows, but not if it is already
// clear that none will be free in time.
func (k *Keeper) Reserve(ctx context.Context, ask ReserveRequest) ReserveResponse {
	k.refresh(ctx)
	k.mutex.Lock()
	if k.down || !k.works(pool.Decode) {
		k.mutex.Unlock()
		return ReserveResponse{Down: true}
	}
	k.load.add(ask)
	if len(k.waiting) == 0 && k.fits(ask) {
		k.grant(ask)
		answer := k.answer(ask, true)
		k.mutex.Unlock()
		return answer
	}
	if WaitTooLong(k.expectedWait(ask), ask.MaxWait) {
		answer := k.answer(ask, false)
		k.mutex.Unlock()
		return answer
	}
	w := &waiter{ask: ask, granted: make(chan struct{})}
	k.waiting = append(k.waiting, w)
	slices.SortStableFunc(k.waiting, func(a, b *waiter) int { return before(a.ask, b.ask) })
	k.mutex.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return k.await(ctx, w)
}

// WaitTooLong reports whether it is known that an expected wait will be longer than
// what helps. Waits are expected by the mean lengths of the answers under way, of
// which the first to end are shorter.
func WaitTooLong(expected, helps time.Duration) bool {
	return helps <= 0 || expected > waitDoubt*helps
}

// before orders asks by urgency, those of one urgency as they came. Least work
// first would serve more callers in a burst, but the largest requests last.
func before(a, b ReserveRequest) int { return cmp.Compare(a.Urgency, b.Urgency) }

func (k *Keeper) await(ctx context.Context, w *waiter) ReserveResponse {
	timer := time.NewTimer(w.ask.MaxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-timer.C:
	case <-ctx.Done():
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.waiting = slices.DeleteFunc(k.waiting, func(other *waiter) bool { return other == w })
	_, granted := k.held[w.ask.Attempt]
	if granted && ctx.Err() != nil {
		delete(k.held, w.ask.Attempt)
		granted = false
	}
	return k.answer(w.ask, granted)
}

// Release gives a place back whose run did not begin.
func (k *Keeper) Release(attempt ident.AttemptID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if g, ok := k.held[attempt]; ok && !g.seen {
		delete(k.held, attempt)
	}
	k.admit()
}

func (k *Keeper) advance() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.admit()
}

// admit grants places in order; one that does not fit holds up those behind it,
// so that large runs get their turn.
func (k *Keeper) admit() {
	if k.down || !k.works(pool.Decode) {
		return
	}
	for len(k.waiting) > 0 && k.fits(k.waiting[0].ask) {
		w := k.waiting[0]
		k.waiting = k.waiting[1:]
		k.grant(w.ask)
		close(w.granted)
	}
}

func (k *Keeper) grant(ask ReserveRequest) {
	k.held[ask.Attempt] = &grant{ask: ask, since: time.Now()}
}

func (k *Keeper) policy(ask ReserveRequest) memory.Policy {
	return memory.Policy{Capacity: k.report.Capacity, Slots: ask.Slots, SafetyFactor: SafetyFactor}
}

func (k *Keeper) fits(ask ReserveRequest) bool { return k.policy(ask).Fits(k.runs(), ask.expected()) }

// expectedWait is how long one more ask would wait behind those that do.
func (k *Keeper) expectedWait(ask ReserveRequest) time.Duration {
	next := ask.expected()
	for _, w := range k.waiting {
		if before(w.ask, ask) <= 0 {
			next.Held += w.ask.reads() + w.ask.expected().Remaining/2
		}
	}
	return time.Duration(k.policy(ask).StepsUntilFit(k.runs(), next)) * k.steps.at(float64(len(k.report.Requests)))
}

func (k *Keeper) answer(ask ReserveRequest, granted bool) ReserveResponse {
	free := k.policy(ask).Headroom(k.runs(), memory.Run{})
	for _, w := range k.waiting {
		free -= w.ask.reads()
	}
	return ReserveResponse{
		Granted:      granted,
		Headroom:     free,
		ExpectedWait: k.expectedWait(ask),
		Running:      len(k.report.Requests),
		Waiting:      len(k.waiting),
		ReportAge:    time.Since(k.reported),
		Capacity:     k.report.Capacity,
		Used:         k.used(),
		StepTime:     k.steps.at(k.full(ask.Slots)),
		MeanRequest:  k.load,
	}
}
