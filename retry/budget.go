// Package retry limits retries, so that a failure does not multiply the load that
// caused it, and recognizes requests that callers have sent before.
package retry

import "sync"

const (
	// burst is the number of retries that a full budget allows without a pause.
	burst = 10
	// tokensPerRetry is the cost of a retry; a request deposits a percentage of it.
	tokensPerRetry = 100
)

// Budget is a token bucket that requests fill and retries empty.
type Budget struct {
	mutex sync.Mutex
	// tokens is between 0 and burst*tokensPerRetry.
	tokens int
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burst * tokensPerRetry} }

// Deposit counts one request, which pays for the given percentage of a retry.
func (b *Budget) Deposit(percent int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+percent, burst*tokensPerRetry)
}

// TryAcquire takes the tokens for one retry and reports whether there were enough.
func (b *Budget) TryAcquire() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
