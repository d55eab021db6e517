package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/common"
	"crocusstep/crash"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/memory"
	"crocusstep/pool"
	"crocusstep/quota"
	"crocusstep/retry"
	"crocusstep/store"
	"crocusstep/table"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Keepers calls the keepers, which reserve memory at decode engines, schedule prefills
// and change the stages of engines.
type Keepers interface {
	Reserve(ctx context.Context, endpoint ident.Address, request keeper.ReserveRequest) (keeper.ReserveResponse, error)
	Release(ctx context.Context, endpoint ident.Address, request keeper.ReleaseRequest) error
	Load(ctx context.Context, endpoint ident.Address, request keeper.LoadRequest) (keeper.ReserveResponse, error)
	SchedulePrefill(ctx context.Context, endpoint ident.Address, request keeper.PrefillRequest) (keeper.PrefillResponse, error)
	ChangeStage(ctx context.Context, endpoint ident.Address, request keeper.StageRequest) (keeper.StageResponse, error)
	Origin(ctx context.Context, endpoint ident.Address, request keeper.OriginRequest) (keeper.OriginResponse, error)
	Permit(ctx context.Context, endpoint ident.Address, request keeper.PermitRequest) (keeper.PermitResponse, error)
	Quota(ctx context.Context, endpoint ident.Address, request keeper.QuotaRequest) (quota.Response, error)
}

// Config configures a Relay.
type Config struct {
	Topology  pool.Topology
	Pool      *pool.Pool
	Endpoints Endpoints
	Keepers   Keepers
	// Retries holds the retry limits that all relays share.
	Retries retry.Limits
	// Transit is how long a request and its response may take together between a caller and the relay.
	Transit time.Duration
	// Quotas holds what is tolerated beyond the quotas of workspaces.
	Quotas quota.Bounds
	// ResponseMemory is the memory for the responses that are kept until they are complete; zero means that
	// each has its own limit only.
	ResponseMemory ident.ByteCount
	// MaxTableAge is how long after its acknowledgement a relay may not know a table. Beyond it a
	// missing route or key is no reason for a final refusal; zero means that it always is.
	MaxTableAge time.Duration
	// RelayCount returns how many relays share the retry limits and the quotas.
	RelayCount func() int
	// LearnedCosts sends requests where they are likely to cost least, by what was learned of
	// outputs and of the engines' speed.
	LearnedCosts bool
	// Refresh exchanges state with the hubs. It reports whether most of them have responded; nil
	// means that there are none.
	Refresh func(context.Context) bool
	// Acknowledge tells the hubs of software versions that most of them may not know; nil means
	// that there are none.
	Acknowledge func(context.Context)
	// EndpointChanges returns the changes of the endpoints' records after a revision, and the
	// revision up to which these are all. It may be nil.
	EndpointChanges func(ctx context.Context, since pool.Revision) ([]pool.Change, pool.Revision, error)
}

// Relay serves callers' requests. It is safe for concurrent use.
type Relay struct {
	*common.Common
	config Config
	table  atomic.Pointer[table.Table]
	// tableFreshness and endpointFreshness are how recent the table and the endpoints are.
	tableFreshness, endpointFreshness *store.Freshness
	crashes                           *crash.Tracker
	// crashed holds one entry if a crash is to be sent to all hubs: of a prompt with parts, or of
	// a blocked request.
	crashed chan struct{}
	origins *originLog
	// waitEstimator distinguishes returning callers from new ones.
	waitEstimator *retry.WaitEstimator
	quotas        *quotas
	learned       *learnedCosts
	// stop is when the process stops, nil while it is not stopping.
	stop atomic.Pointer[Stop]
	// responses limits the memory of the responses that are kept.
	responses *responseMemory
	// listed is set once the load balancer has heard that the relay is ready.
	listed atomic.Bool
	// alone is set if no other relay of the zone takes requests, as far as the hubs know.
	alone atomic.Bool
	tasks common.Tasks

	mutex sync.Mutex
	// retryLimiters limits the retries of each service.
	retryLimiters map[ident.ServiceName]*retry.Limiter
	// unreachableUntil holds the time until which an endpoint's keeper is not called.
	unreachableUntil map[ident.EndpointName]time.Time
	// loads holds what keepers reported about each service with prefill and decode
	// engines.
	loads map[ident.ServiceName]*serviceLoad
	// prefillTimings holds the latest prefill timing of each endpoint until it is sent
	// to its keeper.
	prefillTimings map[ident.EndpointName]keeper.PrefillTiming
	// lengthEstimators estimates the output lengths of each service's requests.
	lengthEstimators map[ident.ServiceName]*memory.LengthEstimator
	// longestWaits holds the longest deadline of the callers of each service's streams that may
	// be taken up.
	longestWaits map[ident.ServiceName]*recentMaximum
}

// NewRelay returns a relay that refuses all requests until it has a table.
func NewRelay(c *common.Common, config Config) *Relay {
	return &Relay{
		Common:            c,
		config:            config,
		responses:         newResponseMemory(config.ResponseMemory),
		tableFreshness:    &store.Freshness{},
		endpointFreshness: &store.Freshness{},
		crashes:           crash.NewTracker(),
		crashed:           make(chan struct{}, 1),
		origins:           newOriginLog(),
		quotas:            newQuotas(config.Quotas),
		retryLimiters:     map[ident.ServiceName]*retry.Limiter{},
		waitEstimator:     retry.NewWaitEstimator(),
		learned:           newLearnedCosts(),
		unreachableUntil:  map[ident.EndpointName]time.Time{},
		loads:             map[ident.ServiceName]*serviceLoad{},
		prefillTimings:    map[ident.EndpointName]keeper.PrefillTiming{},
		lengthEstimators:  map[ident.ServiceName]*memory.LengthEstimator{},
		longestWaits:      map[ident.ServiceName]*recentMaximum{},
	}
}

// SetTable replaces the routing table by a newer one; it reports whether the table was
// newer.
func (r *Relay) SetTable(d *table.Document) bool {
	next := table.NewTable(d)
	for {
		current := r.table.Load()
		if current != nil && next.Version <= current.Version {
			return false
		}
		if r.table.CompareAndSwap(current, next) {
			r.logKeys(current, next)
			return true
		}
	}
}

// Table returns the current routing table, or nil.
func (r *Relay) Table() *table.Table { return r.table.Load() }

// TableFreshness returns how recent the routing table is, for a watcher of the store.
func (r *Relay) TableFreshness() *store.Freshness { return r.tableFreshness }

// EndpointFreshness returns how recent the endpoints are, for a watcher of the store.
func (r *Relay) EndpointFreshness() *store.Freshness { return r.endpointFreshness }

// TableAge returns how long ago a table may have been acknowledged that this relay does not have.
func (r *Relay) TableAge() time.Duration { return r.tableFreshness.Age(time.Now()) }

// SetRetries changes the retry limits.
func (r *Relay) SetRetries(limits retry.Limits) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.config.Retries = limits
	for _, l := range r.retryLimiters {
		l.SetLimits(limits)
	}
}

// Wait waits for background work that outlives its request.
func (r *Relay) Wait() { r.tasks.Wait() }

// Serve responds to a request, or returns the reason for refusing it.
func (r *Relay) Serve(ctx context.Context, request *Request, w http.ResponseWriter) *fault.Refusal {
	t := r.table.Load()
	if t == nil || !r.config.Pool.Loaded() {
		return r.RecordRefusal(request.Attempt, fault.New(fault.DocumentsNotLoaded, "no routes are known yet").WithRetryAfter(r.retryAfterJitter(minRetryAfter)))
	}
	route, workspace, refusal := match(t, request)
	if refusal != nil {
		return r.RecordRefusal(request.Attempt, r.doubt(refusal))
	}
	request.setWorkspace(t, workspace)
	service := route.Pick(rand.Float64())
	e := &exchange{
		Relay:        r,
		request:      request,
		route:        route,
		workspace:    workspace,
		service:      t.Services[service],
		tableVersion: t.Version,
		keysVersion:  t.Version,
		urgent:       t.MostUrgent(route, service),
		order:        orderOf(t, request, route, service, workspace),
		writer:       w,
		tried:        map[ident.EndpointName]bool{},
		earlierWait:  r.waitEstimator.PriorWait(route.Name, request.Timeout),
		answerBy:     r.answerBy(request, &route),
	}
	e.deadline = e.answerBy
	if route.Kind == table.Streaming {
		e.deadline = request.Arrived.Add(min(request.Timeout, route.Timeout) - deadlineMargin)
	}
	e.service.Name = service
	refusal = e.serve(ctx)
	e.log(refusal)
	return refusal
}

// RefuseForMemory refuses a request for which there is no memory beside the others.
func (r *Relay) RefuseForMemory() *fault.Refusal {
	return fault.New(fault.Overloaded, "other requests have used up the memory for requests").WithRetryAfter(r.retryAfterJitter(minRetryAfter))
}

// RecordRefusal counts and logs a refusal that precedes routing, and returns it.
func (r *Relay) RecordRefusal(attempt ident.AttemptID, refusal *fault.Refusal) *fault.Refusal {
	r.Meter.CountRequest("", string(refusal.Code), false)
	r.Log.Info("request ended", "request", attempt, "outcome", refusal.Code, "sends", 0, "ran", 0, "table-age", r.TableAge(),
		"endpoints", r.config.Pool.Revision(), "retry-after", refusal.RetryAfter, "note", refusal.Detail)
	return refusal
}

func (r *Relay) retryLimiter(service ident.ServiceName) *retry.Limiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, ok := r.retryLimiters[service]
	if !ok {
		l = retry.NewLimiter(r.config.Retries)
		r.retryLimiters[service] = l
	}
	return l
}

func (r *Relay) lengthEstimator(service ident.ServiceName) *memory.LengthEstimator {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, ok := r.lengthEstimators[service]
	if !ok {
		l = &memory.LengthEstimator{}
		r.lengthEstimators[service] = l
	}
	return l
}

// retryAfterWait returns the Retry-After of a request refused for lack of memory: the
// expected wait, with jitter over the duration of a burst, so that callers refused
// together do not retry together.
func (*Relay) retryAfterWait(wait time.Duration) time.Duration {
	shortest := min(max(wait, minRetryAfter), maxRetryAfter/2)
	return shortest + rand.N(maxRetryAfter-shortest)
}

// retryAfterJitter adds jitter, so that callers refused together do not retry together.
func (*Relay) retryAfterJitter(shortest time.Duration) time.Duration {
	return shortest + rand.N(max(shortest, 200*time.Millisecond))
}
