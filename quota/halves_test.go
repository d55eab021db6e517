package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQuotaOverHalves cuts the fleet in two halves for good, of which each takes the other's
// engines for lost and has a granter of its own.
func TestQuotaOverHalves(t *testing.T) {
	f := newFleet(30, 6, 52_000, 52_000)
	for elapsed := time.Duration(0); elapsed < 50*time.Second; elapsed += 20 * time.Millisecond {
		f.now = start.Add(elapsed)
		if elapsed == 24*time.Second {
			f.counted, f.granters = 15, [2]int{2, 3}
			for i := 1; i < 30; i += 2 {
				f.learn(i)
			}
		}
		for i := range f.relays {
			if elapsed > 14*time.Second && (int(elapsed/time.Millisecond)/20+i)%30 == 0 {
				f.request(i, 5_270)
				f.request((i+1)%30, 5_270)
			}
		}
	}
	assert.NilError(t, f.check())
}
