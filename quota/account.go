package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// trendSpan is the time constant of an account's average use.
	trendSpan = 4 * time.Second
	// extraSpan is the time for whose expected use units are asked for in advance: half of
	// LeaseTTL, so that few of them expire.
	extraSpan = LeaseTTL / 2
	// maxBackoff limits how long a relay does not ask the granter although units are available:
	// the granter's bucket holds those of more than a second.
	maxBackoff = 500 * time.Millisecond
)

// Account is one relay's part of a workspace's quota. It is safe for concurrent use.
type Account struct {
	mutex sync.Mutex
	share share
	// lease is granted in advance by granter and expires.
	lease          Units
	leaseGrantedAt time.Time
	emergencyLease bool
	// use is the recent use of requests that a lease can hold, a second.
	use   Units
	useAt time.Time
	// deniedUntil is when the granter is asked again, retryAt when the last denied request fits.
	deniedUntil, retryAt time.Time
	// used is the use since the last call of TakeUsed.
	used Units
}

// Charge is what a request took of a quota.
type Charge struct {
	Total Units
	// Granted is the part of a granter, at GrantedAt; the rest is of the relay's share.
	Granted   Units
	GrantedAt time.Time
	Emergency bool
}

// NewAccount returns an account that starts with nothing.
func NewAccount() *Account { return &Account{} }

// TryCharge charges a request to the lease and the share. If they do not suffice, it returns
// what to ask the granter for.
func (a *Account) TryCharge(now time.Time, limit Limit, relays int, amount Units) (charge Charge, need, extra Units) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.share.update(now, limit, relays)
	maxLease := limit.maxLease(relays)
	if now.Sub(a.leaseGrantedAt) >= LeaseTTL {
		a.lease = 0
	}
	a.lease = min(a.lease, maxLease)
	if amount <= maxLease {
		a.decayUse(now)
		a.use += amount / Units(trendSpan.Seconds())
		extra = min(a.use*Units(extraSpan.Seconds()), maxLease)
	}
	if a.lease+a.share.level < amount {
		return Charge{}, amount, extra
	}
	charge = Charge{Total: amount, Granted: min(a.lease, amount), GrantedAt: a.leaseGrantedAt, Emergency: a.emergencyLease}
	a.lease -= charge.Granted
	a.share.level -= amount - charge.Granted
	a.used += amount
	return charge, 0, 0
}

func (a *Account) decayUse(now time.Time) {
	a.use *= Units(math.Exp(-max(0, now.Sub(a.useAt).Seconds()) / trendSpan.Seconds()))
	a.useAt = now
}

// ApplyGrant charges a request to a response that granted it, and keeps the rest.
func (a *Account) ApplyGrant(askedAt time.Time, amount Units, response Response, emergency bool) Charge {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.deniedUntil = time.Time{}
	if rest := response.Granted - amount; rest > 0 {
		// An older lease is given up, so that the relay never holds two.
		a.lease, a.leaseGrantedAt, a.emergencyLease = rest, askedAt, emergency
	}
	a.used += amount
	return Charge{Total: amount, Granted: amount, GrantedAt: askedAt, Emergency: emergency}
}

// Deny records that a granter denied a request. Backoff is a number from zero to one that spreads
// the next requests of relays, as far as others were denied before.
func (a *Account) Deny(now time.Time, response Response, backoff float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	retryAfter := max(response.Wait, response.RetryAfter)
	spread := min(retryAfter-response.Wait, maxBackoff)
	a.deniedUntil = now.Add(response.Wait + time.Duration(backoff*float64(spread)))
	a.retryAt = now.Add(retryAfter)
}

// Denied returns the times until the granter is asked again, and until the last denied request
// fits. They are zero if it is to be asked now.
func (a *Account) Denied(now time.Time) (wait, retryAfter time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return max(0, a.deniedUntil.Sub(now)), max(0, a.retryAt.Sub(now))
}

// GiveBack undoes a charge of a request that no endpoint ran. It returns what belongs to the
// granter.
func (a *Account) GiveBack(charge Charge) (toGranter Units) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.share.level = min(a.share.level+charge.Total-charge.Granted, a.share.capacity())
	a.used -= charge.Total
	return charge.Granted
}

// TakeUsed returns the use since the last call. What was given back beyond it is subtracted from
// the next one.
func (a *Account) TakeUsed() Units {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	used := max(0, a.used)
	a.used -= used
	return used
}
