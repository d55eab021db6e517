package relay

import (
	"crocusstep/common"
	"crocusstep/pool"
)

// EndpointState records in a pool what endpoints say of themselves in their responses.
type EndpointState struct {
	*common.Common
	pool *pool.Pool
}

// NewEndpointState returns the state of the endpoints in a pool.
func NewEndpointState(c *common.Common, p *pool.Pool) *EndpointState {
	return &EndpointState{Common: c, pool: p}
}

// Leaving records that an endpoint has said that it leaves.
func (s *EndpointState) Leaving(e pool.Endpoint) {
	if s.pool.MarkLeaving(e) {
		s.Log.Info("an endpoint says that it leaves", "endpoint", e.Name, "started", e.StartMillis)
	}
}
