package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBudget(t *testing.T) {
	b := NewBudget()
	for range burst {
		assert.Assert(t, b.TryAcquire())
	}
	assert.Assert(t, !b.TryAcquire(), "the burst is used up")
	acquired := 0
	for range 1000 {
		b.Deposit(10)
		if b.TryAcquire() {
			acquired++
		}
	}
	assert.Equal(t, acquired, 100, "a tenth of the requests may be retried")
}
