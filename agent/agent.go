// Package agent is the process beside each endpoint. It owns the endpoint's
// places, carries out the orders of entries, and is the only one of our
// processes that talks to the endpoint.
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
	// Pool is the set of endpoints that this one serves in.
	Pool ident.PoolName
	// Address is where entries reach the agent.
	Address  ident.Address
	Endpoint ident.EndpointName
	// Kind says whether an engine or a plain service listens at the endpoint.
	Kind spec.ServiceKind
	// EndpointAddress is where the endpoint listens.
	EndpointAddress ident.Address
	// Slots is how many requests decode at once at the endpoint.
	Slots int
	// Lanes is how many prompts are read at once at the endpoint.
	Lanes int
	// MaxHold is the longest time that a place is kept without being used.
	MaxHold time.Duration
	// SweepInterval is the time between two comparisons with the engine's list.
	SweepInterval time.Duration
	// HTTP carries calls to the endpoint.
	HTTP *http.Client
	// Store keeps the records of actions.
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
	calls       *calls
	// slots and lanes bound what the engine holds.
	slots *queue.Limiter
	lanes *queue.Limiter
	// suspects lets one suspect at a time hold a slot, so that a crash never
	// adds to the blame of an innocent one.
	suspects *queue.Limiter
	// known is every attempt that may hold memory in the engine because this
	// agent wants it to; all else in the engine's list is an orphan.
	known attempts
	costs costs
	// transfers keeps requests away while KV caches do not arrive.
	transfers breaker
	sequence  atomic.Int64
	draining  atomic.Bool
	// down is true while the engine does not answer; the sweep finds out when
	// it does again.
	down  atomic.Bool
	tasks common.Tasks
	ctx   context.Context
}

// NewAgent returns an agent whose work ends with the context.
func NewAgent(ctx context.Context, c *common.Common, config Config) *Agent {
	incarnation := ident.NewNonce()
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
		slots:    queue.NewLimiter(config.Slots),
		lanes:    queue.NewLimiter(config.Lanes),
		suspects: queue.NewLimiter(1),
		known:    attempts{ids: map[ident.AttemptID]bool{}},
		ctx:      ctx,
	}
	a.calls = newCalls()
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

// Run does the agent's background work and returns some time after the context
// has ended, when all of it has.
func (a *Agent) Run() {
	a.tasks.Go(func() { a.registrar.Run(a.ctx) })
	if a.config.Kind == spec.LanguageModel {
		a.tasks.Go(func() { a.sweepLoop(a.ctx) })
	}
	<-a.ctx.Done()
	a.tasks.Wait()
	a.ledger.Wait()
}

// Drain refuses new work and returns when all present work has ended, or the
// context ends.
func (a *Agent) Drain(ctx context.Context) {
	const interval = 20 * time.Millisecond
	a.draining.Store(true)
	a.registrar.Leave()
	for ctx.Err() == nil && a.InFlight() > 0 {
		common.Sleep(ctx, interval)
	}
	a.ledger.Flush(ctx)
}

// Draining reports whether the agent refuses new work.
func (a *Agent) Draining() bool { return a.draining.Load() }

// InFlight returns how many places are held or work is under way.
func (a *Agent) InFlight() int {
	return a.slots.Held() + a.lanes.Held() + a.suspects.Held() + a.known.count() + a.calls.count()
}

// load describes the endpoint at the moment.
func (a *Agent) load() wire.Load {
	slots := a.slots.State()
	lanes := a.lanes.State()
	lookups, actions := a.calls.running()
	return wire.Load{
		Endpoint:        a.config.Endpoint,
		Sequence:        a.sequence.Add(1),
		Incarnation:     a.incarnation,
		Free:            slots.Free,
		Waiting:         slots.Waiting,
		Backlog:         ident.TokenCount(lanes.Cost),
		PrefillPerToken: a.costs.prefillPerToken(),
		StepTime:        a.costs.stepTime(),
		Lookups:         lookups,
		Actions:         actions,
		Draining:        a.draining.Load(),
	}
}

// attempts is a set of attempt ids.
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
