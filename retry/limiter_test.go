package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWindow(t *testing.T) {
	allowance := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	start := time.Unix(1_700_000_000, 0)
	scenarios := []struct {
		testName  string
		requests  int
		processes int
		allowed   int
	}{
		{testName: "the slack is shared by the processes", processes: 5, allowed: 8},
		{testName: "requests earn repeats", requests: 100, processes: 5, allowed: 24},
		{testName: "an unknown number counts as one", processes: 0, allowed: 40},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w := NewLimiter(allowance)
			for range s.requests {
				w.RecordRequest(start)
			}
			taken := 0
			for w.TryAcquire(start, s.processes) {
				taken++
			}
			assert.Equal(t, taken, s.allowed)
			assert.Assert(t, !w.TryAcquire(start.Add(9*time.Second), s.processes), "the window has not passed")
			assert.Equal(t, w.TryAcquire(start.Add(11*time.Second), s.processes), s.allowed > 0)
		})
	}
}
