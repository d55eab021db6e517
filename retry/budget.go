// Package retry bounds how much of the traffic may be tried again, so that a
// failure does not multiply the load that caused it.
package retry

import "sync"

const (
	// burst is how many retries a quiet service may have at once.
	burst = 10
	// unit is the tokens that one retry costs; a request earns a percentage.
	unit = 100
)

// Budget is a token bucket that requests fill and retries empty.
type Budget struct {
	mutex sync.Mutex
	// tokens lies between 0 and burst*unit.
	tokens int
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burst * unit} }

// Deposit counts one request, which allows percent of a retry.
func (b *Budget) Deposit(percent int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+percent, burst*unit)
}

// TryAcquire asks for one retry.
func (b *Budget) TryAcquire() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < unit {
		return false
	}
	b.tokens -= unit
	return true
}
