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
	// transfer is the time to fetch one token's KV cache.
	transfer time.Duration
}

const (
	// unknownTransfer is the time per token taken until one transfer was seen.
	unknownTransfer = 100 * time.Microsecond
	// transferFloor and transferFactor leave room above the estimate before a
	// transfer is taken for stalled.
	transferFloor  = 250 * time.Millisecond
	transferFactor = 4
)

// transferLimit is how long a transfer may take before it is given up.
func (c *costs) transferLimit(tokens ident.TokenCount) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	perToken := c.transfer
	if perToken == 0 {
		perToken = unknownTransfer
	}
	return transferFloor + transferFactor*time.Duration(tokens)*perToken
}

func (c *costs) observeTransfer(tokens ident.TokenCount, span time.Duration) {
	if tokens <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.transfer = blend(c.transfer, span/time.Duration(tokens))
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
