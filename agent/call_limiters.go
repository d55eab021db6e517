package agent

import (
	"sync"

	"crocusstep/ident"
	"crocusstep/queue"
	"crocusstep/spec"
)

// callLimiters bounds the concurrent calls of each service and class at the
// endpoint. Each has its own limiter, so that lookups never take an action's slot.
type callLimiters struct {
	mutex    sync.Mutex
	limiters map[callKey]*queue.Limiter
}

type callKey struct {
	service ident.ServiceName
	class   spec.CallClass
}

func newCallLimiters() *callLimiters { return &callLimiters{limiters: map[callKey]*queue.Limiter{}} }

// limiter returns the limiter of a service and class and updates its limit.
func (c *callLimiters) limiter(key callKey, limit int) *queue.Limiter {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l, ok := c.limiters[key]
	if !ok {
		l = queue.NewLimiter(limit)
		c.limiters[key] = l
	}
	l.SetCapacity(limit)
	return l
}

// running returns the numbers of calls that run or wait.
func (c *callLimiters) running() (lookups, actions int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, l := range c.limiters {
		busy := l.Held() + l.State().Waiting
		if key.class == spec.Lookup {
			lookups += busy
		} else {
			actions += busy
		}
	}
	return lookups, actions
}

func (c *callLimiters) count() int {
	lookups, actions := c.running()
	return lookups + actions
}
