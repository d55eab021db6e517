// Package entry is the process that callers talk to. It admits requests, picks
// endpoints, owns all retries, and puts answers together.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"crocusstep/blame"
	"crocusstep/burn"
	"crocusstep/common"
	"crocusstep/docset"
	"crocusstep/ident"
	"crocusstep/retry"
	"crocusstep/roster"
	"crocusstep/route"
	"crocusstep/store"
	"crocusstep/strict"
	"crocusstep/wire"
)

// Config configures an Entry.
type Config struct {
	Instance ident.InstanceName
	Region   ident.RegionName
	Store    store.Store
	Peers    *wire.Client
	// BodyTimeout is how long a caller may take to send its body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to accept one piece.
	WriteTimeout time.Duration
	// MaxBody bounds every body, whatever a document allows.
	MaxBody strict.Size
	// TransferTimeout bounds one KV transfer.
	TransferTimeout time.Duration
	// Policy orders endpoints; nil means route.Learned.
	Policy route.Policy
	// Seed makes the choices of one entry repeatable in tests.
	Seed uint64
}

// Entry serves callers.
type Entry struct {
	*common.Common
	config   Config
	docs     *docset.Set
	suspects *blame.Registry
	roster   *roster.Roster
	affinity *route.Affinity
	burn     *burn.Tracker
	shared   singleflight.Group
	draining atomic.Bool
	tasks    common.Tasks

	mutex   sync.Mutex
	random  *rand.Rand
	budgets map[ident.ServiceName]*retry.Budget
	// links bounds the bytes that leave the region, by service.
	links map[ident.ServiceName]*rate.Limiter
	// waiting counts the requests of each service without a first token.
	waiting map[ident.ServiceName]int
}

// NewEntry returns an entry; Run does its background work.
func NewEntry(c *common.Common, config Config) *Entry {
	if config.Policy == nil {
		config.Policy = route.LoadAware{}
	}
	return &Entry{
		Common:   c,
		config:   config,
		docs:     docset.NewSet(c, config.Store, config.Instance),
		suspects: blame.NewRegistry(c, config.Store),
		roster:   roster.NewRoster(c, config.Store),
		affinity: route.NewAffinity(),
		burn:     burn.NewTracker(),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
		budgets:  map[ident.ServiceName]*retry.Budget{},
		links:    map[ident.ServiceName]*rate.Limiter{},
		waiting:  map[ident.ServiceName]int{},
	}
}

// Run follows documents and instances until the context ends.
func (e *Entry) Run(ctx context.Context) {
	e.tasks.Go(func() { e.docs.Run(ctx) })
	e.tasks.Go(func() { e.roster.Run(ctx) })
	e.tasks.Go(func() { e.suspects.Run(ctx) })
	<-ctx.Done()
	e.tasks.Wait()
}

// Ready reports whether callers should be sent here.
func (e *Entry) Ready() bool { return e.docs.Loaded() && e.roster.Loaded() && !e.draining.Load() }

// StartDraining makes the entry look unready, so that the balancer turns away.
// Requests that still come are served.
func (e *Entry) StartDraining() { e.draining.Store(true) }

// BurnHandler serves this process's series for the burn report.
func (e *Entry) BurnHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.burn.Series(time.Now()))
	})
}

func (e *Entry) budget(service ident.ServiceName) *retry.Budget {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	budget, ok := e.budgets[service]
	if !ok {
		budget = retry.NewBudget()
		e.budgets[service] = budget
	}
	return budget
}

// order lets the policy order members; a policy may keep state.
func (e *Entry) order(rank func(route.Policy) []roster.Member) []roster.Member {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return rank(e.config.Policy)
}

// dice returns a random source for one decision.
func (e *Entry) dice() *rand.Rand {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
}

// enterWaiting takes a place among those who wait; it reports false if the
// service's limit is reached.
func (e *Entry) enterWaiting(service ident.ServiceName, limit int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.waiting[service] >= limit {
		return false
	}
	e.waiting[service]++
	return true
}

func (e *Entry) leaveWaiting(service ident.ServiceName) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.waiting[service]--
}

// spread returns a time to come back that differs from caller to caller, so
// that those who were refused together do not return together.
func (e *Entry) spread(wait time.Duration) time.Duration {
	const least = time.Second
	wait = max(wait, least)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return wait + time.Duration(e.random.Int64N(int64(wait)))
}
