package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSteps has an engine that is half empty in calm times, while what matters is
// the time for a token in a burst, when it is full.
func TestSteps(t *testing.T) {
	of := func(runs int) time.Duration {
		return 569*time.Microsecond + time.Duration(runs)*22600*time.Nanosecond
	}
	scenarios := []struct {
		testName string
		runs     []int
		at       float64
		want     time.Duration
	}{
		{testName: "nothing is known yet", at: 10, want: stepDefault},
		{testName: "a full engine is reckoned from a calm one", runs: []int{1, 2, 3, 4, 5, 6}, at: 12, want: of(12)},
		{testName: "a steady load says nothing of another", runs: []int{4}, at: 12, want: of(4)},
		{testName: "and of the load itself all", runs: []int{12}, at: 12, want: of(12)},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var learned steps
			for i := range 200 * min(1, len(s.runs)) {
				n := s.runs[i%len(s.runs)]
				learned.add(n, of(n))
			}
			got := learned.at(s.at)
			assert.Assert(t, got > s.want*98/100 && got < s.want*102/100, "%s, expected %s", got, s.want)
		})
	}
}
