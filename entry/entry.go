// Package entry is the process that serves callers. It admits requests, selects
// endpoints, owns all retries and assembles outputs.
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

	"crocusstep/burn"
	"crocusstep/common"
	"crocusstep/docset"
	"crocusstep/ident"
	"crocusstep/parser"
	"crocusstep/poison"
	"crocusstep/retry"
	"crocusstep/roster"
	"crocusstep/route"
	"crocusstep/store"
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
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// MaxBody limits every request body, whatever a service document allows.
	MaxBody parser.Size
	// TransferTimeout bounds one KV transfer.
	TransferTimeout time.Duration
	// Policy ranks endpoints; nil means route.LoadAware.
	Policy route.Policy
	// Seed makes the random choices of an entry reproducible in tests.
	Seed uint64
}

// Entry serves callers' requests.
type Entry struct {
	*common.Common
	config          Config
	docs            *docset.Set
	suspects        *poison.Tracker
	roster          *roster.Roster
	affinity        *route.Affinity
	burn            *burn.Tracker
	inflightLookups singleflight.Group
	// endsAt is when requests are cancelled as the process stops; nil before the drain.
	endsAt atomic.Pointer[time.Time]
	tasks  common.Tasks

	mutex   sync.Mutex
	random  *rand.Rand
	budgets map[ident.ServiceName]*retry.Budget
	// linkLimiters limits the bytes sent to other regions, by service.
	linkLimiters map[ident.ServiceName]*rate.Limiter
	// waiting counts each service's requests that have no first token yet.
	waiting map[ident.ServiceName]int
	// paces holds the slowest recent pace of each service.
	paces map[ident.ServiceName]*slowestPace
}

// NewEntry returns an entry; Run does its background work.
func NewEntry(c *common.Common, config Config) *Entry {
	if config.Policy == nil {
		config.Policy = route.LoadAware{}
	}
	return &Entry{
		Common:       c,
		config:       config,
		docs:         docset.NewSet(c, config.Store, config.Instance),
		suspects:     poison.NewTracker(c, config.Store),
		roster:       roster.NewRoster(c, config.Store),
		affinity:     route.NewAffinity(),
		burn:         burn.NewTracker(),
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
		budgets:      map[ident.ServiceName]*retry.Budget{},
		linkLimiters: map[ident.ServiceName]*rate.Limiter{},
		waiting:      map[ident.ServiceName]int{},
		paces:        map[ident.ServiceName]*slowestPace{},
	}
}

// Run watches documents and instances until the context is cancelled.
func (e *Entry) Run(ctx context.Context) {
	e.tasks.Go(func() { e.docs.Run(ctx) })
	e.tasks.Go(func() { e.roster.Run(ctx) })
	e.tasks.Go(func() { e.suspects.Run(ctx) })
	<-ctx.Done()
	e.tasks.Wait()
}

// Ready reports whether the load balancer should send requests to this entry.
func (e *Entry) Ready() bool { return e.docs.Loaded() && e.roster.Loaded() && !e.draining() }

// BurnHandler serves this process's series for the burn report.
func (e *Entry) BurnHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.burn.Series(time.Now()))
	})
}

func (e *Entry) retryBudget(service ident.ServiceName) *retry.Budget {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	budget, ok := e.budgets[service]
	if !ok {
		budget = retry.NewBudget()
		e.budgets[service] = budget
	}
	return budget
}

// rankWith ranks members by the policy under the lock, since a policy may keep
// state.
func (e *Entry) rankWith(rank func(route.Policy) []roster.Member) []roster.Member {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return rank(e.config.Policy)
}

// newRand returns a random source for one decision.
func (e *Entry) newRand() *rand.Rand {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
}

// startWaiting counts a request that waits for its first token; it returns
// false if the service's limit is reached.
func (e *Entry) startWaiting(service ident.ServiceName, limit int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.waiting[service] >= limit {
		return false
	}
	e.waiting[service]++
	return true
}

func (e *Entry) stopWaiting(service ident.ServiceName) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.waiting[service]--
}

// withJitter returns a retry delay of at least a second with random jitter, so
// that callers refused at the same time don't all retry at the same time.
func (e *Entry) withJitter(wait time.Duration) time.Duration {
	const minRetryAfter = time.Second
	wait = max(wait, minRetryAfter)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return wait + time.Duration(e.random.Int64N(int64(wait)))
}
