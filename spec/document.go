// Package spec is the service document: the one YAML page that a team edits to
// drive its service. Parsing and checking are free of input and output.
package spec

import (
	"time"

	"crocusstep/ident"
	"crocusstep/parser"
)

// ServiceKind is what stands behind a service.
type ServiceKind string

const (
	// LanguageModel services have a prefill pool and a decode pool.
	LanguageModel ServiceKind = "language-model"
	// Plain services have one pool of endpoints that answer HTTP calls.
	Plain ServiceKind = "plain"
)

// CallClass is what a plain service's call may do.
type CallClass string

const (
	// Lookup calls are idempotent and free.
	Lookup CallClass = "lookup"
	// Action calls are non-idempotent and run at most once.
	Action CallClass = "action"
)

// Document describes one service.
type Document struct {
	// Service is unique over all workspaces, since callers name it alone.
	Service   ident.ServiceName   `yaml:"service" json:"service" required:"true"`
	Workspace ident.WorkspaceName `yaml:"workspace" json:"workspace" required:"true"`
	Kind      ServiceKind         `yaml:"kind" json:"kind" required:"true"`
	Pools     Pools               `yaml:"pools" json:"pools" required:"true"`
	Targets   Targets             `yaml:"targets" json:"targets" required:"true"`
	// Priority orders services at an engine; a higher one goes first.
	Priority int `yaml:"priority" json:"priority"`
	// Weight is the workspace's share when several wait; at least 1.
	Weight  int     `yaml:"weight" json:"weight"`
	Limits  Limits  `yaml:"limits" json:"limits"`
	Calls   []Call  `yaml:"calls" json:"calls,omitempty"`
	Retries Retries `yaml:"retries" json:"retries"`
	Regions Regions `yaml:"regions" json:"regions"`
	Fencing Fencing `yaml:"fencing" json:"fencing"`
	Goals   Goals   `yaml:"goals" json:"goals"`
}

// Pools names the endpoints that serve a service.
type Pools struct {
	// Prefill and Decode are set for language models, Serve for plain services.
	Prefill ident.PoolName `yaml:"prefill" json:"prefill,omitempty"`
	Decode  ident.PoolName `yaml:"decode" json:"decode,omitempty"`
	Serve   ident.PoolName `yaml:"serve" json:"serve,omitempty"`
}

// Targets is what the team promises its callers.
type Targets struct {
	FirstToken    parser.Duration `yaml:"first-token" json:"first-token,omitempty"`
	BetweenTokens parser.Duration `yaml:"between-tokens" json:"between-tokens,omitempty"`
	WholeAnswer   parser.Duration `yaml:"whole-answer" json:"whole-answer,omitempty"`
	// Patience is how long a caller waits before it goes away.
	Patience parser.Duration `yaml:"patience" json:"patience" required:"true"`
	// ObjectivePercent is the share of requests that should meet the targets;
	// greater than 0 and less than 100.
	ObjectivePercent float64 `yaml:"objective-percent" json:"objective-percent"`
}

// Limits bounds what one request or all requests may take.
type Limits struct {
	PromptTokens ident.TokenCount `yaml:"prompt-tokens" json:"prompt-tokens,omitempty"`
	OutputTokens ident.TokenCount `yaml:"output-tokens" json:"output-tokens,omitempty"`
	BodySize     parser.Size      `yaml:"body-size" json:"body-size"`
	// Waiting is how many requests may wait at one entry.
	Waiting int `yaml:"waiting" json:"waiting"`
	// Lookups and Actions are how many calls run at once at one endpoint; they
	// are apart so that neither crowds out the other.
	Lookups int `yaml:"lookups" json:"lookups"`
	Actions int `yaml:"actions" json:"actions"`
}

// Call classifies the calls of a plain service.
type Call struct {
	// Match is a method and a path pattern such as "POST /renewals/{permit}".
	Match string    `yaml:"match" json:"match" required:"true"`
	Class CallClass `yaml:"class" json:"class" required:"true"`
	// KeyFields are JSON body fields that identify an action in place of the
	// Idempotency-Key header.
	KeyFields []string `yaml:"key-fields" json:"key-fields,omitempty"`
	// IgnoreFields are JSON body fields that may differ between two sendings of
	// one action, such as a time stamp.
	IgnoreFields []string `yaml:"ignore-fields" json:"ignore-fields,omitempty"`
	// Share lets identical lookups in flight have one answer.
	Share bool `yaml:"share" json:"share,omitempty"`
}

// Retries bounds tries after a first one that failed.
type Retries struct {
	// Attempts counts the first try too; at least 1.
	Attempts int `yaml:"attempts" json:"attempts"`
	// BudgetPercent is the share of requests that may be tried again.
	BudgetPercent int `yaml:"budget-percent" json:"budget-percent"`
}

// Regions says where requests may run.
type Regions struct {
	Home ident.RegionName `yaml:"home" json:"home,omitempty"`
	// MayCross lets requests, never KV caches, go to another region.
	MayCross bool `yaml:"may-cross" json:"may-cross"`
	// LinkBytesPerSecond is how many bytes a second each entry may send to other regions
	// for this service; zero sets no limit.
	LinkBytesPerSecond parser.Size `yaml:"link-bytes-per-second" json:"link-bytes-per-second,omitempty"`
}

// Fencing says which endpoints refuse orders with an old fencing token.
type Fencing struct {
	CheckedBy []ident.EndpointName `yaml:"checked-by" json:"checked-by,omitempty"`
	// KeepRecords is how long the outcome of an action is kept.
	KeepRecords parser.Duration `yaml:"keep-records" json:"keep-records"`
	// Shards is how many objects hold the records; it must not change while
	// records are kept.
	Shards int `yaml:"shards" json:"shards"`
}

// Goals weighs the two measures of a language model against each other.
type Goals struct {
	// GoodputWeight is 1 for goodput alone and 0 for wasted prefill alone.
	GoodputWeight float64 `yaml:"goodput-weight" json:"goodput-weight"`
}

// NewDocument returns a document with every default set.
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
