package keeper

import (
	"time"

	"crocusstep/ident"
	"crocusstep/quota"
)

// QuotaRequest asks for units of a workspace's quota, and returns units that were not used.
type QuotaRequest struct {
	Workspace ident.WorkspaceName `json:"workspace,omitempty"`
	// Request has a need of zero if nothing is asked for.
	quota.Request
	// Unused holds what is returned, of any workspaces.
	Unused []UnusedQuota `json:"unused,omitempty"`
}

// UnusedQuota is what was granted for a request that no endpoint ran.
type UnusedQuota struct {
	Workspace ident.WorkspaceName `json:"workspace"`
	Amount    quota.Units         `json:"amount"`
	// Age is the time since it was granted, at least.
	Age       time.Duration `json:"age-ns"`
	Emergency bool          `json:"emergency,omitempty"`
}

// Quota takes back what was not used, and grants units if the quota allows it.
func (k *Keeper) Quota(request QuotaRequest) (response quota.Response) {
	now := time.Now()
	for _, u := range request.Unused {
		k.quotas.GiveBack(now, u.Workspace, u.Amount, u.Age, u.Emergency)
	}
	if request.Need > 0 {
		response = k.quotas.Take(now, request.Workspace, request.Request)
	}
	return response
}
