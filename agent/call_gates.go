package agent

import (
	"sync"

	"crocusstep/ident"
	"crocusstep/queue"
	"crocusstep/spec"
)

// calls bounds the calls of each service and class that run at the endpoint.
// Each has a gate of its own, so that lookups never take an action's place.
type calls struct {
	mutex sync.Mutex
	gates map[callKind]*queue.Limiter
}

type callKind struct {
	service ident.ServiceName
	class   spec.CallClass
}

func newCalls() *calls { return &calls{gates: map[callKind]*queue.Limiter{}} }

// gate returns the gate of a kind with the limit that is in force now.
func (c *calls) gate(kind callKind, limit int) *queue.Limiter {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g, ok := c.gates[kind]
	if !ok {
		g = queue.NewLimiter(limit)
		c.gates[kind] = g
	}
	g.SetCapacity(limit)
	return g
}

// running returns the calls that run or wait.
func (c *calls) running() (lookups, actions int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for kind, g := range c.gates {
		busy := g.Held() + g.State().Waiting
		if kind.class == spec.Lookup {
			lookups += busy
		} else {
			actions += busy
		}
	}
	return lookups, actions
}

func (c *calls) count() int {
	lookups, actions := c.running()
	return lookups + actions
}
