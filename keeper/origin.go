package keeper

import (
	"time"

	"crocusstep/ident"
	"crocusstep/origin"
)

// OriginRequest records the software versions that began streams, and asks for that of one.
type OriginRequest struct {
	Record []origin.Origin `json:"record,omitempty"`
	// Attempt is empty if only records are sent.
	Attempt ident.AttemptID `json:"attempt,omitempty"`
}

// OriginResponse holds the version that began the stream, or an empty one.
type OriginResponse struct {
	Version ident.SoftwareVersion `json:"version,omitempty"`
}

// Origin records the origins of streams and returns the one that is asked for.
func (k *Keeper) Origin(request OriginRequest) OriginResponse {
	now := time.Now()
	k.origins.Record(request.Record, now)
	return OriginResponse{Version: k.origins.Version(request.Attempt, now)}
}
