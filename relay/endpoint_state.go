package relay

import (
	"math/rand/v2"
	"time"

	"crocusstep/common"
	"crocusstep/pool"
	"crocusstep/rate"
)

// maxPauseJitter prolongs pauses, so that the relays do not come back in the same instant, nor
// to all endpoints that have paused together.
const maxPauseJitter = 500 * time.Millisecond

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

// Pause records that an endpoint has asked for a pause when it rejected a request. Stated is
// what it sent; the pause is zero if that is invalid.
func (s *EndpointState) Pause(e pool.Endpoint, pause time.Duration, stated string) {
	pause = min(pause, pool.MaxPause)
	if pause <= 0 {
		s.Log.Info("an endpoint asks for an invalid pause", "endpoint", e.Name, "stated", stated)
		return
	}
	until := time.Now().Add(pause + rand.N(maxPauseJitter))
	if s.pool.Pause(e, until) {
		s.Log.Info("an endpoint asks for a pause", "endpoint", e.Name, "pause", pause, "stated", stated)
	}
}

// Limit records the limit that an endpoint states in the response to a request, or that it
// states none.
func (s *EndpointState) Limit(e pool.Endpoint, limit rate.PerSecond, stated string, sentAt time.Time) {
	if limit == 0 && stated != "" {
		s.Log.Info("an endpoint states an invalid limit", "endpoint", e.Name, "stated", stated)
		return
	}
	if s.pool.SetLimit(e, limit, sentAt, time.Now()) {
		s.Log.Info("an endpoint changes its limit", "endpoint", e.Name, "limit", limit, "stated", stated)
	}
}
