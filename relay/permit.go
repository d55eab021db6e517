package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/rate"
)

const (
	// denialBackoff is the shortest time between a denied permit and the next request for one
	// without a wait, and the jitter added to it.
	denialBackoff = 100 * time.Millisecond
	// granterBackoff is how long a keeper that did not respond is not asked for permits.
	granterBackoff = time.Second
	// permitWaitDivisor is the part of the latency target that a plain call waits for a permit.
	permitWaitDivisor = 2
)

// acquirePermit takes a permit for one request to an endpoint that limits the requests a
// second: of this relay's share, or from the keeper that grants the others. It waits for up to
// maxWait. Without a permit, it returns the expected wait.
func (r *Relay) acquirePermit(ctx context.Context, m pool.Member, maxWait time.Duration) (wait time.Duration, acquired bool) {
	if m.Limit == 0 || r.config.Pool.AcquirePermit(m.Endpoint, r.config.RelayCount()) {
		return 0, true
	}
	next, retryAt := r.config.Pool.NextPermit(m.Endpoint)
	if wait = time.Until(next); wait > maxWait || maxWait <= 0 && time.Now().Before(retryAt) {
		return max(0, wait), false
	}
	granter, found := r.granter(m.Endpoint)
	if !found {
		return granterBackoff, false
	}
	response, err := r.config.Keepers.Permit(ctx, granter, keeper.PermitRequest{
		Endpoint: m.Name, StartMillis: m.StartMillis, Limit: m.Limit, MaxWait: maxWait,
	})
	switch {
	case err != nil:
		r.Log.Info("a keeper did not respond to a request for a permit", "endpoint", m.Name, "keeper", granter, "error", err)
		response = keeper.PermitResponse{Wait: granterBackoff}
	case response.Granted:
		common.Sleep(ctx, response.Wait)
		return 0, true
	}
	now := time.Now()
	r.config.Pool.DenyPermits(m.Endpoint, now.Add(response.Wait), now.Add(max(response.Wait, denialBackoff)+rand.N(denialBackoff)))
	return response.Wait, false
}

// granter returns the address of the endpoint whose keeper grants the permits of an endpoint:
// an engine's own keeper, or one for all relays.
func (r *Relay) granter(e pool.Endpoint) (granter ident.Address, found bool) {
	if e.Stage != pool.Combined {
		return e.Address, true
	}
	keepers := r.keepersFor(string(e.Name), 1)
	if len(keepers) == 0 {
		return "", false
	}
	return keepers[0], true
}

// permitWait returns the wait for a permit that is granted while other endpoints may have one:
// less urgent routes get those only that urgent ones do not take.
func (e *exchange) permitWait() time.Duration {
	if e.urgent {
		return 0
	}
	return rate.IdleWait
}

// awaitPermit waits for a permit of the member that has the shortest expected wait, for part of
// the latency target.
func (e *exchange) awaitPermit(ctx context.Context, m pool.Member, wait time.Duration) (time.Duration, bool) {
	maxWait := min(e.route.TargetLatency/permitWaitDivisor, e.timeLeft()/permitWaitDivisor)
	if !e.urgent || wait > maxWait {
		return wait, false
	}
	return e.acquirePermit(ctx, m, maxWait)
}

// refuseOverLimit refuses a request that no endpoint has a permit for.
func (e *exchange) refuseOverLimit(wait time.Duration) *fault.Refusal {
	return fault.New(fault.EndpointBusy, "all endpoints of %s have reached the limits that they state", e.service.Name).
		WithRetryAfter(e.retryAfterWait(wait))
}
