package keeper

import (
	"time"

	"crocusstep/ident"
)

// limitedProcess is a process whose limit this keeper grants permits of.
type limitedProcess struct {
	name        ident.EndpointName
	startMillis int64
}

// Permit grants a permit of an endpoint's limit if it becomes valid in time.
func (k *Keeper) Permit(request PermitRequest) PermitResponse {
	wait, granted := k.permits.Reserve(time.Now(), limitedProcess{request.Endpoint, request.StartMillis}, request.Limit, request.MaxWait)
	return PermitResponse{Granted: granted, Wait: wait}
}
