// Package spec defines the service document, the YAML file with which a team
// configures its service. Parsing and validation do no I/O.
package spec

import (
	"time"

	"crocusstep/ident"
	"crocusstep/parser"
)

// ServiceKind is the kind of endpoints that serve a service.
type ServiceKind string

const (
	// LanguageModel services have a prefill pool and a decode pool.
	LanguageModel ServiceKind = "language-model"
	// Plain services have one pool of endpoints that serve HTTP requests.
	Plain ServiceKind = "plain"
)

// CallClass is whether a call of a plain service is safe to repeat.
type CallClass string

const (
	// Lookup calls are idempotent, so that they may be repeated.
	Lookup CallClass = "lookup"
	// Action calls are non-idempotent and run at most once.
	Action CallClass = "action"
)

// Document is the configuration of one service.
type Document struct {
	// Service is unique across workspaces, since callers identify a service by it
	// alone.
	Service   ident.ServiceName   `yaml:"service" json:"service" required:"true"`
	Workspace ident.WorkspaceName `yaml:"workspace" json:"workspace" required:"true"`
	Kind      ServiceKind         `yaml:"kind" json:"kind" required:"true"`
	Pools     Pools               `yaml:"pools" json:"pools" required:"true"`
	Targets   Targets             `yaml:"targets" json:"targets" required:"true"`
	// Priority orders requests of different services at an engine, highest first.
	Priority int `yaml:"priority" json:"priority"`
	// Weight is the workspace's share of capacity while several wait for it; at
	// least 1.
	Weight  int     `yaml:"weight" json:"weight"`
	Limits  Limits  `yaml:"limits" json:"limits"`
	Calls   []Call  `yaml:"calls" json:"calls,omitempty"`
	Retries Retries `yaml:"retries" json:"retries"`
	Regions Regions `yaml:"regions" json:"regions"`
	Fencing Fencing `yaml:"fencing" json:"fencing"`
	Goals   Goals   `yaml:"goals" json:"goals"`
}

// Pools names the pools of endpoints that serve a service.
type Pools struct {
	// Prefill and Decode are set for language models, Serve for plain services.
	Prefill ident.PoolName `yaml:"prefill" json:"prefill,omitempty"`
	Decode  ident.PoolName `yaml:"decode" json:"decode,omitempty"`
	Serve   ident.PoolName `yaml:"serve" json:"serve,omitempty"`
}

// Targets are the service level objectives of a service.
type Targets struct {
	FirstToken    parser.Duration `yaml:"first-token" json:"first-token,omitempty"`
	BetweenTokens parser.Duration `yaml:"between-tokens" json:"between-tokens,omitempty"`
	WholeAnswer   parser.Duration `yaml:"whole-answer" json:"whole-answer,omitempty"`
	// Patience is how long a caller waits for a response before it disconnects.
	Patience parser.Duration `yaml:"patience" json:"patience" required:"true"`
	// ObjectivePercent is the share of requests that should meet the targets;
	// greater than 0 and less than 100.
	ObjectivePercent float64 `yaml:"objective-percent" json:"objective-percent"`
}

// Limits bounds the size of requests and their number.
type Limits struct {
	PromptTokens ident.TokenCount `yaml:"prompt-tokens" json:"prompt-tokens,omitempty"`
	OutputTokens ident.TokenCount `yaml:"output-tokens" json:"output-tokens,omitempty"`
	BodySize     parser.Size      `yaml:"body-size" json:"body-size"`
	// Waiting is the maximum number of queued requests per entry.
	Waiting int `yaml:"waiting" json:"waiting"`
	// Lookups and Actions are the maximum numbers of concurrent calls per endpoint.
	// They are separate so that neither class starves the other.
	Lookups int `yaml:"lookups" json:"lookups"`
	Actions int `yaml:"actions" json:"actions"`
}

// Call classifies calls of a plain service.
type Call struct {
	// Match is a method and a path pattern such as "POST /renewals/{permit}".
	Match string    `yaml:"match" json:"match" required:"true"`
	Class CallClass `yaml:"class" json:"class" required:"true"`
	// KeyFields are JSON body fields that identify an action instead of the
	// Idempotency-Key header.
	KeyFields []string `yaml:"key-fields" json:"key-fields,omitempty"`
	// IgnoreFields are JSON body fields that may differ between retries of an
	// action, such as a timestamp.
	IgnoreFields []string `yaml:"ignore-fields" json:"ignore-fields,omitempty"`
	// Share makes identical concurrent lookups share one response.
	Share bool `yaml:"share" json:"share,omitempty"`
}

// Retries limits the retries of failed requests.
type Retries struct {
	// Attempts is the maximum number of attempts, including the first; at least 1.
	Attempts int `yaml:"attempts" json:"attempts"`
	// BudgetPercent is the percentage of requests that may be retried.
	BudgetPercent int `yaml:"budget-percent" json:"budget-percent"`
}

// Regions restricts where requests may run.
type Regions struct {
	Home ident.RegionName `yaml:"home" json:"home,omitempty"`
	// MayCross allows requests to be sent to another region. KV caches never cross.
	MayCross bool `yaml:"may-cross" json:"may-cross"`
	// LinkBytesPerSecond limits the rate at which each entry sends to other regions
	// for this service; zero means no limit.
	LinkBytesPerSecond parser.Size `yaml:"link-bytes-per-second" json:"link-bytes-per-second,omitempty"`
}

// Fencing configures the records of actions and which endpoints reject calls with
// an old fencing token.
type Fencing struct {
	CheckedBy []ident.EndpointName `yaml:"checked-by" json:"checked-by,omitempty"`
	// KeepRecords is the retention of an action's outcome.
	KeepRecords parser.Duration `yaml:"keep-records" json:"keep-records"`
	// Shards is the number of objects that hold the records. It must not change
	// while records are retained.
	Shards int `yaml:"shards" json:"shards"`
}

// Goals weighs goodput against wasted prefill for a language model.
type Goals struct {
	// GoodputWeight is 1 for goodput alone and 0 for wasted prefill alone.
	GoodputWeight float64 `yaml:"goodput-weight" json:"goodput-weight"`
}

// NewDocument returns a document with all defaults set.
func NewDocument() Document {
	return Document{
		Weight: 1,
		Targets: Targets{
			ObjectivePercent: 95,
		},
		Limits: Limits{
			PromptTokens: 40_000,
			OutputTokens: 2_000,
			BodySize:     parser.MiB,
			Waiting:      400,
			Lookups:      16,
			Actions:      16,
		},
		Retries: Retries{Attempts: 3, BudgetPercent: 10},
		Fencing: Fencing{
			KeepRecords: parser.Duration(24 * time.Hour),
			Shards:      16,
		},
		Goals: Goals{GoodputWeight: 0.5},
	}
}
