// Package agent implements the sidecar process of an endpoint. It grants
// reservations, executes the requests of entries, and is the only process of the
// router that connects to the endpoint.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/auth"
	"crocusstep/common"
	"crocusstep/engine"
	"crocusstep/ident"
	"crocusstep/ledger"
	"crocusstep/queue"
	"crocusstep/reply"
	"crocusstep/roster"
	"crocusstep/spec"
	"crocusstep/store"
	"crocusstep/wire"
)

// Config configures an Agent.
type Config struct {
	Instance ident.InstanceName
	Region   ident.RegionName
	Zone     ident.ZoneName
	// Pool is the pool that the endpoint belongs to.
	Pool ident.PoolName
	// Address is the agent's address for entries.
	Address  ident.Address
	Endpoint ident.EndpointName
	// Kind is the kind of the endpoint: a model engine or a plain service.
	Kind spec.ServiceKind
	// EndpointAddress is the endpoint's listen address.
	EndpointAddress ident.Address
	// Slots is the number of concurrent decodes at the endpoint.
	Slots int
	// PrefillSlots is the number of concurrent prefills at the endpoint.
	PrefillSlots int
	// MaxHoldTimeout bounds how long an unused reservation is held.
	MaxHoldTimeout time.Duration
	// SweepInterval is the interval at which orphaned requests in the engine are
	// cancelled.
	SweepInterval time.Duration
	// HTTP is the client for the endpoint.
	HTTP *http.Client
	// Store holds the ledger and the agent's registration.
	Store   store.Store
	Keyring *auth.Keyring
}

// Agent serves one endpoint.
type Agent struct {
	*common.Common
	config      Config
	incarnation string
	engine      *engine.Client
	ledger      *ledger.Ledger
	registrar   *roster.Registrar
	calls       *callLimiters
	// decodeSlots and prefillSlots bound the concurrent decodes and prefills in the
	// engine.
	decodeSlots  *queue.Limiter
	prefillSlots *queue.Limiter
	// suspects admits one suspect request at a time, so that a crash is never
	// attributed to another suspect that did not cause it.
	suspects *queue.Limiter
	// active holds the attempts that this agent runs in the engine; any other
	// request in the engine is an orphan.
	active    attempts
	estimates estimates
	// transferBreaker rejects reservations while KV transfers stall.
	transferBreaker breaker
	sequence        atomic.Int64
	draining        atomic.Bool
	// endsAt is when requests are cancelled as the process stops; nil before the drain.
	endsAt atomic.Pointer[time.Time]
	// down is true while the engine does not respond; the sweep clears it when
	// the engine responds again.
	down  atomic.Bool
	tasks common.Tasks
	ctx   context.Context
	// starts ends when no call may start any more; stopStarts ends it.
	starts     context.Context
	stopStarts context.CancelFunc
}

// NewAgent returns an agent whose background work stops when the context ends.
func NewAgent(ctx context.Context, c *common.Common, config Config) *Agent {
	incarnation := ident.NewNonce()
	config.HTTP = reply.Client(withoutRedirects(config.HTTP))
	a := &Agent{
		Common:      c,
		config:      config,
		incarnation: incarnation,
		engine: engine.NewClient(engine.ClientConfig{
			Address: config.EndpointAddress,
			HTTP:    config.HTTP,
			Timeout: cancelTimeout,
		}),
		ledger: ledger.NewLedger(ctx, c, ledger.Config{
			Store:       config.Store,
			Owner:       config.Instance,
			Incarnation: incarnation,
		}),
		decodeSlots:  queue.NewLimiter(config.Slots),
		prefillSlots: queue.NewLimiter(config.PrefillSlots),
		suspects:     queue.NewLimiter(1),
		active:       attempts{ids: map[ident.AttemptID]bool{}},
		ctx:          ctx,
	}
	a.starts, a.stopStarts = context.WithCancel(ctx)
	a.calls = newCallLimiters()
	a.registrar = roster.NewRegistrar(c, config.Store, store.Instance{
		Name:     config.Instance,
		Role:     store.AgentRole,
		Address:  config.Address,
		Endpoint: config.Endpoint,
		Pool:     config.Pool,
		Region:   config.Region,
		Zone:     config.Zone,
		State:    store.Live,
	})
	return a
}

// withoutRedirects returns a client like the given one that returns a redirect as the response.
func withoutRedirects(c *http.Client) *http.Client {
	direct := *c
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &direct
}

// Run runs the agent's background tasks; it returns when they have stopped after
// the end of the context.
func (a *Agent) Run() {
	a.tasks.Go(func() { a.registrar.Run(a.ctx) })
	a.tasks.Go(func() { store.WatchEra(a.ctx, a.config.Store) })
	if a.config.Kind == spec.LanguageModel {
		a.tasks.Go(func() { a.sweepLoop(a.ctx) })
	}
	<-a.ctx.Done()
	a.tasks.Wait()
	a.ledger.Wait()
}

// Drain refuses new work and returns when all work in progress has ended, or the
// context ends.
func (a *Agent) Drain(ctx context.Context) {
	if endsAt, ok := ctx.Deadline(); ok {
		a.endsAt.Store(&endsAt)
	}
	a.draining.Store(true)
	a.registrar.MarkLeaving()
	for ctx.Err() == nil && a.InFlight() > 0 {
		common.Sleep(ctx, drainPoll)
	}
	a.ledger.Flush(ctx)
}

// drainPoll is how often an agent that stops looks whether its work has ended.
const drainPoll = 20 * time.Millisecond

// recordTime is how long actions that are in progress at the end of a shutdown have for their
// responses and records.
const recordTime = 500 * time.Millisecond

// EndWork records the actions that end soon, after the end of the requests, and cancels in the
// engine what has not ended. Actions that wait for a slot don't start.
func (a *Agent) EndWork() {
	a.stopStarts()
	ctx, cancel := context.WithTimeout(a.ctx, recordTime)
	defer cancel()
	a.ledger.Flush(ctx)
	for ctx.Err() == nil && a.active.count() > 0 {
		common.Sleep(ctx, drainPoll)
	}
}

// Draining reports whether the agent refuses new work.
func (a *Agent) Draining() bool { return a.draining.Load() }

// InFlight returns the number of reservations and operations in progress.
func (a *Agent) InFlight() int {
	return a.decodeSlots.Held() + a.prefillSlots.Held() + a.suspects.Held() + a.active.count() + a.calls.count()
}

// load returns the endpoint's current load.
func (a *Agent) load() wire.Load {
	decodes := a.decodeSlots.State()
	prefills := a.prefillSlots.State()
	lookups, actions := a.calls.running()
	return wire.Load{
		Endpoint:        a.config.Endpoint,
		Sequence:        a.sequence.Add(1),
		Incarnation:     a.incarnation,
		FreeSlots:       decodes.Free,
		Waiting:         decodes.Waiting,
		BacklogTokens:   ident.TokenCount(prefills.Cost),
		PrefillPerToken: a.estimates.prefillPerToken(),
		StepTime:        a.estimates.stepTime(),
		Lookups:         lookups,
		Actions:         actions,
		Draining:        a.draining.Load(),
	}
}

// attempts is a set of attempt IDs that is safe for concurrent use.
type attempts struct {
	mutex sync.Mutex
	ids   map[ident.AttemptID]bool
}

func (s *attempts) add(id ident.AttemptID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ids[id] = true
}

func (s *attempts) remove(id ident.AttemptID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.ids, id)
}

func (s *attempts) has(id ident.AttemptID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ids[id]
}

func (s *attempts) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ids)
}
