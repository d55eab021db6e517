package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocusstep/admit"
	"crocusstep/common"
	"crocusstep/cost"
	"crocusstep/ident"
	"crocusstep/memory"
	"crocusstep/origin"
	"crocusstep/pool"
	"crocusstep/quota"
	"crocusstep/rate"
)

const (
	// reservationTTL is how long a reservation is kept before its request starts.
	// Relays wait up to 1.5 s for a prefill slot; a prefill of 11,000 tokens takes
	// 0.3 s behind another one, and its KV cache is then kept for 0.5 s.
	reservationTTL = 2500 * time.Millisecond
	// pollInterval is the interval of engine reports while requests wait.
	pollInterval = 25 * time.Millisecond
	// waitErrorFactor is the tolerated overestimate of a wait: with an expected wait
	// of twice the useful one, two in five requests still get their reservation in time.
	waitErrorFactor = 2
	// SafetyFactor is the memory margin in standard deviations; one request in six
	// exceeds a margin of 1.
	SafetyFactor = 1.0
)

// Engine is the engine on this process's instance.
type Engine interface {
	// Report returns the engine's state.
	Report(ctx context.Context) (EngineReport, error)
	// ChangeStage changes the engine's stage. Of several calls with the same order
	// count in current, the engine carries out at most one.
	ChangeStage(ctx context.Context, change StageRequest, current EngineReport) error
}

// Keeper grants memory reservations and prefill slots of one engine.
type Keeper struct {
	*common.Common
	engine Engine
	// permits grants permits of the limits that endpoints state.
	permits *rate.Grants[limitedProcess]
	// quotas grants units of the quotas of workspaces.
	quotas *quota.Grants[ident.WorkspaceName]
	// origins holds the software versions that began streams, of any engines.
	origins *origin.Book

	mutex sync.Mutex
	// report is the newest engine state, requested at reportedAt.
	report     EngineReport
	reportedAt time.Time
	down       bool
	// reservations holds each granted reservation until its request ends or has not
	// started within reservationTTL.
	reservations map[ident.AttemptID]*reservation
	// waiting is sorted by rank as of the last arrival or admission.
	waiting []*waiter
	// book ranks requests; only those with an order are in it.
	book     *admit.Book
	stepTime stepEstimator
	mean     MeanRequest
	// slowdown is the ratio of measured to nominal prefill time.
	slowdown float64
	// speed is what relays with learned costs ask for.
	speed engineSpeed
	// lapses counts prompts that could not be fetched from the engine.
	lapses lapses
	// prefillUntil is when the last granted prefill is expected to end.
	prefillUntil time.Time
	// prefillGrantedAt is when the last prefill slot was granted.
	prefillGrantedAt time.Time
	// pausedUntil ends the pause that the engine has asked for, or is zero.
	pausedUntil time.Time
	// lastGrant is the newest grant.
	lastGrant GrantID
	// latestStart is the start of the engine's newest process that is known, or zero.
	latestStart int64
	// stageChangedAt is when a stage change was last sent to the engine.
	stageChangedAt time.Time
	wake           chan struct{}
}

type reservation struct {
	request   ReserveRequest
	grantedAt time.Time
	// grant tells the reservation from others of its attempt.
	grant GrantID
	// started is set once the engine has reported the request.
	started bool
	// sampleTokens is the tokens held at sampledAt, where the measurement of the step
	// time begins.
	sampleTokens ident.TokenCount
	sampledAt    time.Time
	// held is the tokens held at the last report, zero before the request started.
	held ident.TokenCount
}

type waiter struct {
	request ReserveRequest
	granted chan struct{}
}

// NewKeeper returns a keeper without reservations.
func NewKeeper(c *common.Common, e Engine) *Keeper {
	return &Keeper{
		Common: c, engine: e, permits: rate.NewGrants[limitedProcess](), quotas: quota.NewGrants[ident.WorkspaceName](time.Now()), origins: origin.NewBook(), book: admit.NewBook(),
		reservations: map[ident.AttemptID]*reservation{}, slowdown: 1, wake: make(chan struct{}, 1),
	}
}

// Run polls the engine while requests wait, and while the time of its decode steps is still
// to be measured, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var due <-chan time.Time
		if delay := k.pollDelay(); delay > 0 {
			due = time.After(delay)
		}
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-due:
		}
		k.refresh(ctx)
		k.admitWaiting()
	}
}

// pollDelay returns the time until the next poll of the engine, or zero if none is needed.
func (k *Keeper) pollDelay() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case len(k.waiting) > 0:
		return pollInterval
	case k.stepTime.count < minStepSamples && len(k.reservations) > 0:
		return minStepSample
	}
	return 0
}

// serves reports whether the engine currently serves a stage.
func (k *Keeper) serves(stage pool.Stage) bool {
	return !k.report.ChangingStage && !k.report.Leaving && (k.report.Stage == stage || k.report.Stage == pool.Combined)
}

// Reserve waits for memory up to the request's MaxWait. It rejects the request
// immediately if the expected wait is too long.
func (k *Keeper) Reserve(ctx context.Context, request ReserveRequest) ReserveResponse {
	k.observeStart(request.StartMillis)
	k.refresh(ctx)
	k.mutex.Lock()
	if k.down || !k.serves(pool.Decode) {
		k.mutex.Unlock()
		return ReserveResponse{Down: true}
	}
	k.mean.add(request)
	k.recordAsk(request)
	if k.isFirst(request) && k.fits(request) && !k.yields(request) {
		k.grant(request)
		response := k.response(request, true)
		measuring := k.stepTime.count < minStepSamples
		k.mutex.Unlock()
		if measuring {
			k.wakeUp()
		}
		return response
	}
	if WaitTooLong(k.expectedWait(request), request.MaxWait) {
		response := k.response(request, false)
		k.mutex.Unlock()
		return response
	}
	w := &waiter{request: request, granted: make(chan struct{})}
	k.waiting = append(k.waiting, w)
	k.sortWaiting()
	k.mutex.Unlock()
	k.wakeUp()
	return k.await(ctx, w)
}

// wakeUp makes Run poll the engine.
func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Load describes the load as a denied reservation of a mean request would.
func (k *Keeper) Load(ctx context.Context, load LoadRequest) ReserveResponse {
	k.refresh(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.down || !k.serves(pool.Decode) {
		return ReserveResponse{Down: true}
	}
	return k.response(k.mean.request(load.Slots), false)
}

// WaitTooLong reports whether an expected wait clearly exceeds the useful one. The
// estimate uses mean output lengths, and the first requests to end are shorter.
func WaitTooLong(expected, useful time.Duration) bool {
	return useful <= 0 || expected > waitErrorFactor*useful
}

func (k *Keeper) await(ctx context.Context, w *waiter) ReserveResponse {
	timer := time.NewTimer(w.request.MaxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-timer.C:
	case <-ctx.Done():
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.waiting = slices.DeleteFunc(k.waiting, func(other *waiter) bool { return other == w })
	_, granted := k.reservations[w.request.Attempt]
	if granted && ctx.Err() != nil {
		k.dropReservation(w.request.Attempt)
		granted = false
	}
	if !granted && k.report.Leaving {
		return ReserveResponse{Down: true}
	}
	return k.response(w.request, granted)
}

// Release deletes a reservation whose request has not started.
func (k *Keeper) Release(request ReleaseRequest) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if r, ok := k.reservations[request.Attempt]; ok && !r.started && (request.Grant == 0 || request.Grant == r.grant) {
		k.dropReservation(request.Attempt)
	}
	k.admitLocked()
}

func (k *Keeper) admitWaiting() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.admitLocked()
}

// admitLocked grants reservations in order. A request that does not fit blocks those
// behind it, so that large requests are not starved: shortest job first would serve more
// requests in a burst.
func (k *Keeper) admitLocked() {
	if k.report.Leaving {
		k.denyWaiting()
		return
	}
	if k.down || !k.serves(pool.Decode) {
		return
	}
	k.sortWaiting()
	for len(k.waiting) > 0 && k.fits(k.waiting[0].request) && !k.yields(k.waiting[0].request) {
		w := k.waiting[0]
		k.waiting = k.waiting[1:]
		k.grant(w.request)
		close(w.granted)
	}
}

// denyWaiting denies all waiting requests, which cannot be served here any more.
func (k *Keeper) denyWaiting() {
	for _, w := range k.waiting {
		close(w.granted)
	}
	k.waiting = nil
}

func (k *Keeper) grant(request ReserveRequest) {
	now := time.Now()
	// Later than those of an earlier keeper process.
	k.lastGrant = max(k.lastGrant+1, GrantID(now.UnixNano()))
	k.reservations[request.Attempt] = &reservation{request: request, grantedAt: now, grant: k.lastGrant}
	k.recordGrant(request)
}

func (k *Keeper) policy(request ReserveRequest) memory.Policy {
	return memory.Policy{Capacity: k.report.Capacity, Slots: request.Slots, SafetyFactor: SafetyFactor}
}

func (k *Keeper) fits(request ReserveRequest) bool {
	return k.policy(request).Fits(k.runs(), request.run())
}

// expectedWait estimates the wait of one more request behind those that wait.
func (k *Keeper) expectedWait(request ReserveRequest) time.Duration {
	next := request.run()
	rank := k.rank(request)
	for _, w := range k.waiting {
		if k.rank(w.request).Compare(rank) <= 0 {
			next.Held += w.request.initialTokens() + w.request.run().Remaining/2
		}
	}
	return time.Duration(k.policy(request).StepsUntilFit(k.runs(), next)) * k.currentStepTime()
}

func (k *Keeper) currentStepTime() time.Duration {
	return k.stepTime.estimate(float64(len(k.report.Requests)))
}

func (k *Keeper) response(request ReserveRequest, granted bool) ReserveResponse {
	headroom := k.policy(request).Headroom(k.runs(), memory.Run{})
	for _, w := range k.waiting {
		headroom -= w.request.initialTokens()
	}
	grant := GrantID(0)
	if r, ok := k.reservations[request.Attempt]; ok && granted {
		grant = r.grant
	}
	return ReserveResponse{
		Grant:        grant,
		StartMillis:  k.report.StartMillis,
		Granted:      granted,
		Headroom:     headroom,
		ExpectedWait: k.expectedWait(request),
		Running:      len(k.report.Requests),
		Waiting:      len(k.waiting),
		ReportAge:    time.Since(k.reportedAt),
		Capacity:     k.report.Capacity,
		Used:         k.used(),
		StepTime:     k.stepTime.measured(k.maxRequests(request.Slots)),
		MeanRequest:  k.mean,
		Speed:        k.speedFor(request.Speed),
	}
}

// speedFor returns the engine's speed if a relay wants it, else nil.
func (k *Keeper) speedFor(wanted bool) *cost.Speed {
	if !wanted {
		return nil
	}
	speed := k.speed.speed(time.Now())
	k.Meter.RecordEngineSpeed("prefill-slowdown", speed.Slowdown)
	k.Meter.RecordEngineSpeed("decode-step-seconds", speed.Step.Seconds())
	return speed
}
