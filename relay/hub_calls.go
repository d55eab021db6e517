package relay

import (
	"sync"

	"crocusstep/ident"
	"crocusstep/pool"
)

// hubCalls runs calls to several hubs at the same time, at most one to each, so that a silent hub does not
// delay those to the others.
type hubCalls struct {
	call  func(hub pool.Endpoint)
	tasks sync.WaitGroup
	mutex sync.Mutex
	// running holds the hubs that are called, with true if another call must follow.
	running map[ident.Address]bool
}

func newHubCalls(call func(hub pool.Endpoint)) *hubCalls {
	return &hubCalls{call: call, running: map[ident.Address]bool{}}
}

// start starts a call. If one is running, another one follows it if the hub must hear what is new; else none is made.
func (c *hubCalls) start(hub pool.Endpoint, hasNews bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if again, running := c.running[hub.Address]; running {
		c.running[hub.Address] = again || hasNews
		return
	}
	c.running[hub.Address] = false
	c.tasks.Go(func() {
		for again := true; again; again = c.callAgain(hub) {
			c.call(hub)
		}
	})
}

// callAgain reports whether a call must follow one that has ended.
func (c *hubCalls) callAgain(hub pool.Endpoint) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running[hub.Address] {
		c.running[hub.Address] = false
		return true
	}
	delete(c.running, hub.Address)
	return false
}

// wait waits for all calls.
func (c *hubCalls) wait() { c.tasks.Wait() }
