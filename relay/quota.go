package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/quota"
	"crocusstep/table"
)

const (
	// unusedQuotaInterval is the time between two calls that return unused parts of quotas.
	unusedQuotaInterval = 100 * time.Millisecond
	// minQuotaSpread is the shortest time over which the returns of callers are spread that this
	// relay refuses without asking the granter.
	minQuotaSpread = 500 * time.Millisecond
)

// chargeQuota charges the request to the quota of its workspace, however often it is sent to
// endpoints. It refuses the request if the quota is used up.
func (e *exchange) chargeQuota(ctx context.Context) *fault.Refusal {
	if e.workspace == nil || e.workspace.Quota == nil {
		return nil
	}
	q := e.workspace.Quota
	if q.CountsTokens && e.request.InvalidTokenCounts {
		return fault.New(fault.BadRequest, "the token counts are not two positive numbers")
	}
	amount := e.request.quotaCharge(q)
	limit := e.quotas.bounds.Load().NewLimit(quota.Units(q.PerSecond), quota.Units(q.Burst))
	account := e.quotas.account(e.workspace.Name)
	now := time.Now()
	charge, need, extra := account.TryCharge(now, limit, e.quotaRelayCount(now), amount)
	if need == 0 {
		e.setCharge(charge, e.quotas.lessor(e.workspace.Name, charge))
		return nil
	}
	if wait, retryAfter := account.Denied(now); wait > 0 {
		return e.refuseOverQuota(amount, wait+rand.N(max(minQuotaSpread, retryAfter-wait)))
	}
	request := keeper.QuotaRequest{Workspace: e.workspace.Name, Request: quota.Request{
		Limit: limit, Version: int64(e.tableVersion), Need: need, Extra: extra,
	}}
	return e.askQuota(ctx, account, request)
}

// quotaRelayCount returns the number of relays that share the slack of quotas. It is not known
// for a while after the start of the process: if all have been restarted, keepers report few.
func (r *Relay) quotaRelayCount(now time.Time) int {
	if now.Sub(r.quotas.began) < relayCountWindow {
		return max(unknownRelayCount, r.config.RelayCount())
	}
	return r.config.RelayCount()
}

// askQuota asks the granter of the workspace's quota, or another one if it does not respond.
func (e *exchange) askQuota(ctx context.Context, account *quota.Account, request keeper.QuotaRequest) *fault.Refusal {
	view := e.quotas.view(e.workspace.Name, e.config.Pool)
	asked := time.Now()
	request.ViewAge, request.Changed = asked.Sub(view.since), view.changed
	response, err := e.callGranter(ctx, view.granter, request)
	granter := view.granter
	if err != nil || response.Granted == 0 && response.Restarted {
		asked = time.Now()
		request.Emergency, request.Extra = true, 0
		request.ViewAge, request.Changed = asked.Sub(view.deputySince), view.deputyChanged
		granter = view.deputy
		if emergency, deputyErr := e.callGranter(ctx, granter, request); deputyErr == nil && (err != nil || emergency.Granted > 0) {
			response, err = emergency, nil
		} else {
			request.Emergency = false
		}
	}
	e.Log.Info("quota requested", "request", e.request.Attempt, "workspace", e.workspace.Name, "keeper", granter,
		"per-second", request.Limit.PerSecond, "burst", request.Limit.Burst, "need", request.Need, "extra", request.Extra,
		"granted", response.Granted, "level", response.Level, "wait", response.Wait, "emergency", request.Emergency,
		"restarted", response.Restarted, "span", time.Since(asked), "error", err)
	switch {
	case err != nil:
		return fault.New(fault.Overloaded, "no keeper grants the quota: %s", err).WithRetryAfter(e.retryAfterJitter(minRetryAfter))
	case response.Granted > 0:
		e.setCharge(account.ApplyGrant(asked, request.Need, response, request.Emergency), granter)
		if response.Granted > request.Need {
			e.quotas.setLessor(e.workspace.Name, granter)
		}
		return nil
	case request.Emergency:
		return fault.New(fault.Overloaded, "the keeper that grants the quota does not respond").WithRetryAfter(e.retryAfterJitter(max(minRetryAfter, response.Wait)))
	}
	account.Deny(time.Now(), response, rand.Float64())
	return e.refuseOverQuota(request.Need, response.RetryAfter)
}

// callGranter calls a keeper unless it did not respond lately.
func (r *Relay) callGranter(ctx context.Context, granter ident.Address, request keeper.QuotaRequest) (response quota.Response, err error) {
	now := time.Now()
	if granter == "" || r.quotas.unresponsive(granter, now) {
		return response, errNoGranter
	}
	response, err = r.config.Keepers.Quota(ctx, granter, request)
	if err != nil && ctx.Err() == nil {
		r.quotas.markUnresponsive(granter, now.Add(granterBackoff))
	}
	return response, err
}

func (e *exchange) setCharge(charge quota.Charge, granter ident.Address) {
	e.charge, e.granter = charge, granter
}

func (e *exchange) refuseOverQuota(amount quota.Units, retryAfter time.Duration) *fault.Refusal {
	q := e.workspace.Quota
	return fault.New(fault.OverQuota, "workspace %s has used up its quota of %g a second with a burst of %g; the request needs %g",
		e.workspace.Name, q.PerSecond, q.Burst, float64(amount)).WithRetryAfter(max(retryAfter, time.Millisecond))
}

// quotaCharge returns what a request takes of a quota.
func (r *Request) quotaCharge(q *table.Quota) quota.Units {
	switch {
	case !q.CountsTokens:
		return 1
	case r.Prompt == nil:
		return max(1, quota.Units(q.PlainTokens))
	}
	return quota.Units(r.Prompt.Tokens) + quota.Units(r.Prompt.MaxOutput)
}

// returnUnusedQuota returns the charge of a request that no endpoint ran.
func (e *exchange) returnUnusedQuota() {
	if e.charge.Total == 0 || e.executions > 0 || e.prefilled {
		return
	}
	amount := e.quotas.account(e.workspace.Name).GiveBack(e.charge)
	if amount > 0 && e.granter != "" {
		e.quotas.addUnused(e.granter, unusedQuota{workspace: e.workspace.Name, charge: e.charge})
	}
}

// ReturnQuotas returns unused parts of quotas to their granters until the context ends.
func (r *Relay) ReturnQuotas(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		common.Sleep(ctx, unusedQuotaInterval)
		if round%quotaMeterRounds == 0 {
			r.meterQuotas()
		}
		r.quotas.refresh(r.config.Pool)
		for granter, list := range r.quotas.takeUnused() {
			request := keeper.QuotaRequest{}
			for _, u := range list {
				request.Unused = append(request.Unused, keeper.UnusedQuota{
					Workspace: u.workspace, Amount: u.charge.Granted, Age: time.Since(u.charge.GrantedAt), Emergency: u.charge.Emergency,
				})
			}
			r.tasks.Go(func() {
				if _, err := r.callGranter(ctx, granter, request); err != nil {
					r.Log.Info("unused quota was not returned", "keeper", granter, "requests", len(list), "error", err)
				}
			})
		}
	}
}
