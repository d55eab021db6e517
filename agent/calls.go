package agent

import (
	"sync"

	"crocusstep/ident"
	"crocusstep/spec"
)

// calls bounds the calls of each service and class that run at the endpoint.
type calls struct {
	mutex sync.Mutex
	// counts holds no zeros.
	counts map[callKind]int
}

type callKind struct {
	service ident.ServiceName
	class   spec.CallClass
}

func newCalls() *calls { return &calls{counts: map[callKind]int{}} }

// enter takes a place for a call; it reports false if the limit is reached.
func (c *calls) enter(kind callKind, limit int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts[kind] >= limit {
		return false
	}
	c.counts[kind]++
	return true
}

func (c *calls) leave(kind callKind) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[kind]--
	if c.counts[kind] == 0 {
		delete(c.counts, kind)
	}
}

func (c *calls) running() (lookups, actions int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for kind, count := range c.counts {
		if kind.class == spec.Lookup {
			lookups += count
		} else {
			actions += count
		}
	}
	return lookups, actions
}

func (c *calls) count() int {
	lookups, actions := c.running()
	return lookups + actions
}
