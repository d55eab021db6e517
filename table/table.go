// Package table is the routing table that operators accept: which service a
// request goes to by host and path, and what may be done with it.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crocusstep/ident"
)

// Kind says how often a request may run.
type Kind string

const (
	// Idempotent requests are idempotent.
	Idempotent Kind = "lookup"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "action"
	// Streaming requests are answered by a stream of events.
	Streaming Kind = "reading"
)

// Version orders tables; a greater one replaces a lesser one.
type Version int64

// WeightedService is one service's part of a route's requests.
type WeightedService struct {
	Service ident.ServiceName
	// Weight is relative to the sum over the route and not negative.
	Weight float64
}

// Route says where requests go and what may be done with them.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash and is compared byte for byte.
	Prefix string
	Kind   Kind
	// Timeout is the longest time from a request's arrival to its whole answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, that is aimed at.
	TargetLatency time.Duration `json:"Objective"`
	// TargetEventGap is the longest pause between events that is aimed at.
	TargetEventGap time.Duration `json:"MaxGap"`
	// Priority is the rank, zero being the most urgent.
	Priority int
	// WeightedServices is never empty.
	WeightedServices []WeightedService `json:"Shares"`
	// MaxEndpoints is how many endpoints one attempt of a caller may run on;
	// at least 1.
	MaxEndpoints int
	// Resumable streams may go on at another endpoint after a given event.
	Resumable bool
	// HasPrompt requests carry a prompt for a language model.
	HasPrompt bool `json:"Prompted"`
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// EngineConfig is what the engines of a service have in common.
type EngineConfig struct {
	// Slots is how many requests run at once in one engine.
	Slots int
	// KVCapacity is the memory of one engine for prompts and answers.
	KVCapacity ident.TokenCount `json:"KVTokens"`
	// HandleTTL is how long a prompt that was read is kept for its transfer.
	HandleTTL time.Duration `json:"HandleLife"`
	// TokensPerEvent is the tokens in one event of a stream.
	TokensPerEvent ident.TokenCount `json:"EventTokens"`
}

// Service is a set of endpoints that serve the same purpose.
type Service struct {
	Name ident.ServiceName
	// MaxConns is how many connections one endpoint takes from all callers; zero
	// is no bound.
	MaxConns int
	// Engine is nil for plain services.
	Engine *EngineConfig
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader     ident.ByteCount
	MaxBody       ident.ByteCount
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one accepted version of all routes. It never changes.
type Table struct {
	Version Version
	// Document is what the table was made of.
	Document *Document
	Services map[ident.ServiceName]Service
	Limits   Limits
	// routes holds each host's routes, longest prefix first.
	routes map[string][]Route
}

// Document is a table as processes pass it on.
type Document struct {
	Version  Version   `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// NewTable returns the table that a document describes.
func NewTable(d *Document) *Table {
	t := &Table{Version: d.Version, Document: d, Services: map[ident.ServiceName]Service{}, Limits: d.Limits, routes: map[string][]Route{}}
	for _, s := range d.Services {
		t.Services[s.Name] = s
	}
	for _, r := range d.Routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, of := range t.routes {
		slices.SortStableFunc(of, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix that begins the path, which
// is compared as it came, without unescaping.
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

// Pick returns the service for a draw from 0 to below 1.
func (r *Route) Pick(draw float64) ident.ServiceName {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.WeightedServices {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
