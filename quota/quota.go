// Package quota keeps the work that a workspace requests of all relays together within its
// quota. docs/design/quota.md derives the bound.
package quota

import "time"

// Units is an amount of work: tokens, or requests where a quota counts those.
type Units float64

// Bounds is what the operators tolerate beyond quotas.
type Bounds struct {
	// Window is the length of the windows in which work is counted; positive.
	Window time.Duration
	// Excess is the part of a quota that may be exceeded, Slack the units beyond that. Neither
	// is negative.
	Excess float64
	Slack  Units
}

// Limit is a quota with the bounds that apply to it.
type Limit struct {
	// PerSecond is positive, Burst is not negative.
	PerSecond Units `json:"per-second"`
	Burst     Units `json:"burst"`
	// Window is the length of the windows in which work is counted; positive.
	Window time.Duration `json:"window-ns"`
	// Slack is what all processes may use beyond the quota in a window.
	Slack Units `json:"slack"`
}

// NewLimit returns the limit of a quota.
func (b Bounds) NewLimit(perSecond, burst Units) Limit {
	l := Limit{PerSecond: perSecond, Burst: burst, Window: b.Window}
	l.Slack = Units(b.Excess)*l.quota() + b.Slack
	return l
}

// The parts of the slack. Relays in two halves that do not know of each other take their shares
// twice, so that seven of eight parts are in use at most; the last one is for the request that
// overdraws a new granter's bucket.
const (
	sharePart     = 1.0 / 4
	emergencyPart = 1.0 / 4
	overdraftPart = 1.0 / 8
)

const (
	// shareSpan is how long a relay's share accumulates: at 31 relays and the smallest quota, a
	// share of 100 tokens a second then holds a plain request of 200.
	shareSpan = 3 * time.Second
	// LeaseTTL is how long a relay may use units that were granted beyond the need of a request.
	LeaseTTL = time.Second
	// maxOverlap is how long relays may differ in the granter after its change: a change reaches
	// every relay within two exchanges with keepers, 0.6 s apart.
	maxOverlap = 2 * time.Second
)

// quota returns the units of the quota in a window.
func (l Limit) quota() Units { return l.PerSecond*Units(l.Window.Seconds()) + l.Burst }

// sharePerSecond is the rate of all relays' shares together: used for a window, after an
// accumulation of shareSpan, they are a part of the slack.
func (l Limit) sharePerSecond() Units {
	return sharePart * l.Slack / Units((l.Window + shareSpan).Seconds())
}

// terms are the terms under which a bucket is emptied.
type terms struct {
	// perSecond fills the bucket up to capacity; positive.
	perSecond, capacity Units
	// overdraft is how far the level may be below zero before the last request.
	overdraft Units
	// windowMax limits the units taken in span.
	windowMax Units
	span      time.Duration
}

// granted returns the terms of the granter's bucket. Leases are used up to LeaseTTL after their
// grant, so that the window of grants is longer.
func (l Limit) granted() terms {
	overdraft := overdraftPart * l.Slack
	return terms{perSecond: l.PerSecond, capacity: l.Burst, overdraft: overdraft, windowMax: l.quota() + overdraft, span: l.Window + LeaseTTL}
}

// emergency returns the terms of the bucket for relays that do not reach the granter.
func (l Limit) emergency() terms {
	total := emergencyPart * l.Slack
	return terms{perSecond: max(total/Units(l.Window.Seconds()), minPerSecond), windowMax: total, span: l.Window}
}

// minPerSecond keeps waits finite where the slack is zero.
const minPerSecond = 1e-6

// valid reports whether a limit that another process sent can be applied.
func (l Limit) valid() bool {
	return l.PerSecond > 0 && l.Burst >= 0 && l.Slack >= 0 && l.Window > 0
}
