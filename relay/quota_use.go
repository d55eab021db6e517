package relay

import (
	"cmp"
	"maps"
	"slices"

	"crocusstep/ident"
	"crocusstep/quota"
)

const (
	// maxMeteredWorkspaces limits the workspaces that metrics name.
	maxMeteredWorkspaces = 16
	// otherWorkspaces is the name under which metrics count all others together.
	otherWorkspaces ident.WorkspaceName = "other"
	// quotaMeterRounds is the number of rounds of ReturnQuotas after which the use of quotas is
	// counted: about the 5 s between two reads of the metrics.
	quotaMeterRounds = 50
)

// meterQuotas counts what workspaces used of their quotas since the last call.
func (r *Relay) meterQuotas() {
	for workspace, used := range r.quotas.takeUsed() {
		r.Meter.CountQuotaUse(workspace, float64(used))
	}
}

// takeUsed returns what workspaces used since the last call. The first ones to use something, the
// largest first, have names of their own.
func (q *quotas) takeUsed() map[ident.WorkspaceName]quota.Units {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	used := map[ident.WorkspaceName]quota.Units{}
	for workspace, a := range q.accounts {
		if units := a.TakeUsed(); units > 0 {
			used[workspace] = units
		}
	}
	metered := map[ident.WorkspaceName]quota.Units{}
	for _, workspace := range slices.SortedFunc(maps.Keys(used), func(a, b ident.WorkspaceName) int { return cmp.Compare(used[b], used[a]) }) {
		name := workspace
		if !q.metered[name] && len(q.metered) >= maxMeteredWorkspaces {
			name = otherWorkspaces
		} else {
			q.metered[name] = true
		}
		metered[name] += used[workspace]
	}
	return metered
}
