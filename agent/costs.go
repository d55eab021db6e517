package agent

import (
	"sync"
	"time"

	"crocusstep/ident"
)

// costShare is the weight of the newest observation in a learned cost.
const costShare = 0.2

// costs learns how fast the endpoint is from what is seen.
type costs struct {
	mutex   sync.Mutex
	prefill time.Duration
	step    time.Duration
}

func (c *costs) observePrefill(tokens ident.TokenCount, span time.Duration) {
	if tokens <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.prefill = blend(c.prefill, span/time.Duration(tokens))
}

func (c *costs) observeStep(span time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.step = blend(c.step, span)
}

func (c *costs) prefillPerToken() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.prefill
}

func (c *costs) stepTime() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.step
}

func blend(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(costShare*float64(sample-old))
}
