package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/retry"
	"crocusstep/room"
	"crocusstep/table"
)

const (
	// returnLeast and returnMost bound what a refused caller is told to wait when
	// nothing better is known.
	returnLeast = 500 * time.Millisecond
	returnMost  = 4 * time.Second
	// blockedReturn is for requests that crash endpoints.
	blockedReturn = time.Minute
	// deadlineMargin is kept to answer before the caller gives up.
	deadlineMargin = 20 * time.Millisecond
)

// Places is where places at decode endpoints are asked for.
type Places interface {
	Reserve(ctx context.Context, endpoint ident.Address, ask keeper.ReserveRequest) (keeper.ReserveResponse, error)
	Release(ctx context.Context, endpoint ident.Address, attempt ident.AttemptID) error
	SchedulePrefill(ctx context.Context, endpoint ident.Address, turn keeper.PrefillRequest) (keeper.PrefillResponse, error)
	ChangeStage(ctx context.Context, endpoint ident.Address, order keeper.StageRequest) (keeper.StageResponse, error)
}

// Config configures a Relay.
type Config struct {
	Home      pool.Topology
	Pool      *pool.Pool
	Endpoints Endpoints
	Places    Places
	// Retries is the allowance of all processes together.
	Retries retry.Limits
	// Processes returns how many processes share the allowance.
	Processes func() int
}

// Relay serves callers. It is safe for concurrent use.
type Relay struct {
	*common.Common
	config  Config
	table   atomic.Pointer[table.Table]
	crashes *gossip.CrashTracker
	// patience tells callers that have come back from new ones.
	patience *retry.WaitEstimator
	tasks    common.Tasks

	mutex sync.Mutex
	// windows bounds the repeats to each service.
	windows map[ident.ServiceName]*retry.Limiter
	// keeperless holds until when an endpoint's keeper is not asked.
	keeperless map[ident.EndpointName]time.Time
	// loads is what keepers said of the requests to each service with engines.
	loads map[ident.ServiceName]*engineLoad
	// readings is the newest reading at each endpoint that its keeper was not told.
	readings map[ident.EndpointName]keeper.PrefillTiming
	// answers is how long the answers of each service are.
	answers map[ident.ServiceName]*room.Lengths
}

// NewRelay returns a relay that refuses everything until it has a table.
func NewRelay(c *common.Common, config Config) *Relay {
	return &Relay{
		Common:     c,
		config:     config,
		crashes:    gossip.NewCrashTracker(),
		windows:    map[ident.ServiceName]*retry.Limiter{},
		patience:   retry.NewWaitEstimator(),
		keeperless: map[ident.EndpointName]time.Time{},
		loads:      map[ident.ServiceName]*engineLoad{},
		readings:   map[ident.EndpointName]keeper.PrefillTiming{},
		answers:    map[ident.ServiceName]*room.Lengths{},
	}
}

// SetTable puts a newer table in force; it reports whether it was newer.
func (r *Relay) SetTable(d *table.Document) bool {
	next := table.NewTable(d)
	for {
		current := r.table.Load()
		if current != nil && next.Version <= current.Version {
			return false
		}
		if r.table.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Table returns the table in force, or nil.
func (r *Relay) Table() *table.Table { return r.table.Load() }

// SetRetries changes how much may be sent once more.
func (r *Relay) SetRetries(a retry.Limits) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.config.Retries = a
	for _, w := range r.windows {
		w.SetLimits(a)
	}
}

// Wait waits for the work that outlives its request.
func (r *Relay) Wait() { r.tasks.Wait() }

// Serve answers a request, or returns why it does not.
func (r *Relay) Serve(ctx context.Context, request *Request, w http.ResponseWriter) *fault.Refusal {
	t := r.table.Load()
	if t == nil || !r.config.Pool.Loaded() {
		return r.Refused(request.Attempt, fault.New(fault.DocumentsNotLoaded, "no routes are known yet").After(r.comeBack(returnLeast)))
	}
	route, found := t.Match(request.Host, request.Path)
	if !found {
		return r.Refused(request.Attempt, fault.New(fault.UnknownRoute, "no route matches in version %d", t.Version))
	}
	service := route.Pick(rand.Float64())
	e := &exchange{
		Relay:   r,
		request: request,
		route:   route,
		service: t.Services[service],
		version: t.Version,
		writer:  w,
		tried:   map[ident.EndpointName]bool{},
		spent:   r.patience.PriorWait(route.Name, request.Patience),
		ends:    request.Arrived.Add(min(request.Patience, route.Timeout) - deadlineMargin),
	}
	e.service.Name = service
	refusal := e.serve(ctx)
	e.log(refusal)
	return refusal
}

// Refused notes a request that was refused before it had a route, and returns the
// refusal.
func (r *Relay) Refused(attempt ident.AttemptID, refusal *fault.Refusal) *fault.Refusal {
	r.Meter.Request("", string(refusal.Code), false)
	r.Log.Info("request ended", "request", attempt, "outcome", refusal.Code, "sends", 0, "ran", 0,
		"endpoints", r.config.Pool.Revision(), "retry-after", refusal.RetryAfter, "note", refusal.Detail)
	return refusal
}

func (r *Relay) window(service ident.ServiceName) *retry.Limiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w, ok := r.windows[service]
	if !ok {
		w = retry.NewLimiter(r.config.Retries)
		r.windows[service] = w
	}
	return w
}

func (r *Relay) lengths(service ident.ServiceName) *room.Lengths {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, ok := r.answers[service]
	if !ok {
		l = &room.Lengths{}
		r.answers[service] = l
	}
	return l
}

// returnAfter is when a caller should come back that found no place: after the
// expected wait, and spread over the time in which a burst passes, so that those
// refused together do not return together.
func (*Relay) returnAfter(wait time.Duration) time.Duration {
	least := min(max(wait, returnLeast), returnMost/2)
	return least + rand.N(returnMost-least)
}

// comeBack spreads callers that are refused together over a time.
func (*Relay) comeBack(least time.Duration) time.Duration {
	return least + rand.N(max(least, 200*time.Millisecond))
}
