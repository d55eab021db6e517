// Package table holds the routing table that operators configure. It maps host and path
// to services and defines each route's limits and retry rules.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crocusstep/ident"
)

// Kind says how a route's requests may be executed.
type Kind string

const (
	// Lookup requests are idempotent: they may be executed more than once.
	Lookup Kind = "lookup"
	// Action requests are non-idempotent: they are executed at most once.
	Action Kind = "action"
	// Streaming requests get a stream of events as their response.
	Streaming Kind = "reading"
)

// Version orders tables; a higher version replaces a lower one.
type Version int64

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service ident.ServiceName
	// Weight is relative to the sum over the route; it is not negative.
	Weight float64
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash and is compared byte for byte.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to its complete response.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to the first event of
	// a stream.
	TargetLatency time.Duration `json:"Objective"`
	// TargetEventGap is the target for the longest gap between two events.
	TargetEventGap time.Duration `json:"MaxGap"`
	// Patience is how long a caller waits without an event of a stream before it leaves, also for the
	// first; zero means that it waits until its deadline.
	Patience time.Duration `json:"Patience,omitempty"`
	// Priority zero is the most urgent.
	Priority int
	// WeightedServices is never empty.
	WeightedServices []WeightedService `json:"Shares"`
	// MaxEndpoints limits the endpoints that may execute one attempt of a caller; at
	// least 1.
	MaxEndpoints int
	// Resumable streams can continue at another endpoint after a given event.
	Resumable bool
	// HasPrompt is set if requests carry a prompt for a language model.
	HasPrompt bool `json:"Prompted"`
	// Open routes need no key.
	Open bool `json:"Open,omitempty"`
}

// Retryable reports whether a request may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Lookup || r.Kind == Streaming && r.Resumable
}

// EngineConfig describes the engines of a service, which are all alike.
type EngineConfig struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// KVCapacity is the KV cache capacity of one engine.
	KVCapacity ident.TokenCount `json:"KVTokens"`
	// HandleTTL is how long a prefill engine holds a prompt's KV cache for its transfer.
	HandleTTL time.Duration `json:"HandleLife"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent ident.TokenCount `json:"EventTokens"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name ident.ServiceName
	// MaxConns limits the connections of all relays to one endpoint; zero means no limit.
	MaxConns int
	// Engine is nil for plain services.
	Engine *EngineConfig
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeader     ident.ByteCount
	MaxBody       ident.ByteCount
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing table. It is immutable.
type Table struct {
	Version Version
	// Document is the source of the table.
	Document *Document
	Services map[ident.ServiceName]Service
	Limits   Limits
	// LongestStream is the longest timeout of a route with resumable streams.
	LongestStream time.Duration
	// routes holds the routes of each host, longest prefix first.
	routes map[string][]Route
	// priorities holds the priority of the most urgent caller and route to each service.
	priorities map[ident.ServiceName]int
	// ordered holds the services whose requests differ by priority or workspace.
	ordered map[ident.ServiceName]bool
	// weighted is set if the quotas of all workspaces can be compared.
	weighted bool
	// callers holds the workspace of each key.
	callers map[KeyDigest]*Workspace
}

// Document is the serialized form of a table, in which processes exchange it.
type Document struct {
	Version  Version   `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// KeysRequired is set if callers need the key of a workspace, except on open routes.
	KeysRequired bool        `json:"keys-required,omitempty"`
	Workspaces   []Workspace `json:"workspaces,omitempty"`
}

// NewTable builds a table from a document.
func NewTable(d *Document) *Table {
	t := &Table{Version: d.Version, Document: d, Services: map[ident.ServiceName]Service{}, Limits: d.Limits, routes: map[string][]Route{}, priorities: map[ident.ServiceName]int{}}
	for _, s := range d.Services {
		t.Services[s.Name] = s
	}
	t.indexCallers()
	t.indexOrder()
	callers := newCallerPriorities(d)
	for _, r := range d.Routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
		if r.Kind == Streaming && r.Resumable {
			t.LongestStream = max(t.LongestStream, r.Timeout)
		}
		priority := callers.on(r)
		for _, s := range r.WeightedServices {
			if highest, known := t.priorities[s.Service]; !known || priority < highest {
				t.priorities[s.Service] = priority
			}
		}
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// MatchCaller is Match with the priority that the workspace, which may be nil, has on the route.
func (t *Table) MatchCaller(host, path string, w *Workspace) (Route, bool) {
	r, found := t.Match(host, path)
	return w.prioritize(r), found
}

// MostUrgent reports whether no caller has a more urgent route to a service than r.
func (t *Table) MostUrgent(r Route, service ident.ServiceName) bool {
	return r.Priority <= t.priorities[service]
}

// Match returns the route with the longest prefix of the path, which is compared as
// received, without unescaping. The host's port and case are ignored.
func (t *Table) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Pick returns the service for a random number from [0, 1).
func (r *Route) Pick(random float64) ident.ServiceName {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.WeightedServices {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
