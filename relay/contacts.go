package relay

import (
	"sync"
	"time"

	"crocusstep/ident"
)

// contacts holds when something last happened at each address. The zero value is empty.
type contacts struct {
	mutex sync.Mutex
	last  map[ident.Address]time.Time
}

// record records a time, unless a later one is known.
func (c *contacts) record(address ident.Address, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.last == nil {
		c.last = map[ident.Address]time.Time{}
	}
	if at.After(c.last[address]) {
		c.last[address] = at
	}
}

// at returns the last time, or zero.
func (c *contacts) at(address ident.Address) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.last[address]
}

// age returns the time since the last time, zero if there was none.
func (c *contacts) age(address ident.Address, now time.Time) time.Duration {
	if last := c.at(address); !last.IsZero() {
		return now.Sub(last)
	}
	return 0
}
