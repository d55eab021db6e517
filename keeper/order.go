package keeper

import (
	"slices"
	"time"

	"crocusstep/admit"
	"crocusstep/ident"
)

// rank returns the rank of a request among those that wait. Without an order it is the
// urgency alone.
func (k *Keeper) rank(request ReserveRequest) admit.Rank {
	if request.Order == nil {
		return admit.Rank{Timing: request.Urgency}
	}
	return k.book.Rank(time.Now(), *request.Order, request.Urgency)
}

// sortWaiting sorts the waiting requests by rank; those of equal rank stay in order of arrival.
func (k *Keeper) sortWaiting() {
	if len(k.waiting) < 2 {
		return
	}
	ranks := make(map[*waiter]admit.Rank, len(k.waiting))
	for _, w := range k.waiting {
		ranks[w] = k.rank(w.request)
	}
	slices.SortStableFunc(k.waiting, func(a, b *waiter) int { return ranks[a].Compare(ranks[b]) })
}

// isFirst reports whether an arriving request precedes all that wait. Without an order it
// waits behind any other one until memory becomes free.
func (k *Keeper) isFirst(request ReserveRequest) bool {
	if request.Order == nil {
		return len(k.waiting) == 0
	}
	rank := k.rank(request)
	return !slices.ContainsFunc(k.waiting, func(w *waiter) bool { return k.rank(w.request).Compare(rank) <= 0 })
}

// yields reports whether a request that fits is to leave its memory to more urgent ones that
// are likely to arrive before more becomes free.
func (k *Keeper) yields(request ReserveRequest) bool {
	if request.Order == nil {
		return false
	}
	rank := k.rank(request)
	if rank.Timing == admit.Begun || rank.Aged {
		return false
	}
	rate := k.book.RateAhead(time.Now(), rank)
	if rate == 0 {
		return false
	}
	runs, next := k.runs(), k.mean.request(request.Slots).run()
	policy, step := k.policy(request), k.currentStepTime()
	return admit.Yields(rate, func(behind int, admitted bool) time.Duration {
		before := slices.Clone(runs)
		if admitted {
			before = append(before, request.run())
		}
		for range behind {
			before = append(before, next)
		}
		return time.Duration(policy.StepsUntilFit(before, next)) * step
	})
}

// recordAsk records the arrival of a request with an order.
func (k *Keeper) recordAsk(request ReserveRequest) {
	if request.Order != nil {
		k.book.Ask(time.Now(), *request.Order, request.Urgency)
	}
}

// recordGrant charges the workspace of a request with an order.
func (k *Keeper) recordGrant(request ReserveRequest) {
	if request.Order != nil {
		k.book.Grant(time.Now(), *request.Order, request.expectedTokens())
	}
}

// expectedTokens returns the tokens that the request is expected to hold at its end.
func (r ReserveRequest) expectedTokens() ident.TokenCount {
	return r.initialTokens() + r.run().Remaining
}

// dropReservation deletes a reservation, and corrects what its workspace was charged.
func (k *Keeper) dropReservation(attempt ident.AttemptID) {
	r := k.reservations[attempt]
	if r != nil && r.request.Order != nil {
		k.book.Correct(time.Now(), r.grantedAt, *r.request.Order, r.held-r.request.expectedTokens())
	}
	delete(k.reservations, attempt)
}

// orderFields returns what a log line says of a request's order; nothing without one.
func (k *Keeper) orderFields(o *admit.Order) []any {
	if o == nil {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	return []any{"priority", o.Priority, "workspace", o.Workspace, "debt", k.book.Debt(now, o.Workspace)}
}
