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
// and leases twice, so that seven of eight parts are in use at most. The last one is for the
// request that overdraws the bucket of a new granter.
const (
	grantPart     = 1.0 / 2
	emergencyPart = 1.0 / 8
	sharePart     = 1.0 / 16
	leasePart     = 1.0 / 16
)

const (
	// shareSpan is how long a relay's share accumulates: a relay that is idle most of the time
	// can then use it for a request of its own.
	shareSpan = 8 * time.Second
	// LeaseTTL is how long a relay may use units that were granted beyond the need of a request.
	// The size of leases alone bounds what is used beyond the window of their grant.
	LeaseTTL = 30 * time.Second
	// maxOverlap is how long relays may differ in the granter after its change: a change reaches
	// every relay within two exchanges with keepers, 0.6 s apart.
	maxOverlap = 2 * time.Second
	// steadyBurstPart is the part of the burst that is granted at a steady rate over a window
	// instead of at once: a workspace that stays at its limit may use a burst in each window.
	steadyBurstPart = 0.5
)

// quota returns the units of the quota in a window.
func (l Limit) quota() Units { return l.PerSecond*Units(l.Window.Seconds()) + l.Burst }

// sharePerSecond is the rate of all relays' shares together: used for a window, after an
// accumulation of shareSpan, they are a part of the slack.
func (l Limit) sharePerSecond() Units {
	return sharePart * l.Slack / Units((l.Window + shareSpan).Seconds())
}

// maxLease returns the most that one of a number of relays holds in advance.
func (l Limit) maxLease(relays int) Units { return leasePart * l.Slack / Units(max(1, relays)) }

// terms are the terms under which a bucket is emptied.
type terms struct {
	// perSecond fills the bucket up to capacity; positive.
	perSecond, capacity Units
	// windowMax limits the units taken in window.
	windowMax Units
	window    time.Duration
}

// terms returns the terms of a granter's bucket. In a window, a full bucket grants windowMax. A
// granter that begins with an empty one and its predecessor grant no more together.
func (l Limit) terms(emergency bool) terms {
	if emergency {
		total := emergencyPart * l.Slack
		return terms{perSecond: max(total/2/Units(l.Window.Seconds()), minPerSecond), capacity: total / 2, windowMax: total, window: l.Window}
	}
	steady := steadyBurstPart * l.Burst
	extra := grantPart * l.Slack
	return terms{
		perSecond: l.PerSecond + steady/Units(l.Window.Seconds()),
		capacity:  l.Burst - steady + extra,
		windowMax: l.quota() + extra,
		window:    l.Window,
	}
}

// minPerSecond keeps waits finite where the slack is zero.
const minPerSecond = 1e-6

// valid reports whether a limit that another process sent can be applied.
func (l Limit) valid() bool {
	return l.PerSecond > 0 && l.Burst >= 0 && l.Slack >= 0 && l.Window > 0
}
