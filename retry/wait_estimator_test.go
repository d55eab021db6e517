package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitEstimator simulates a burst of callers whose deadlines differ by 15 %, up to a
// fifth of whom were refused before: new callers must be treated as new, and most of the
// others must be recognized.
func TestWaitEstimator(t *testing.T) {
	const deadline = 14 * time.Second
	scenarios := []struct {
		testName string
		returned float64
		routes   []string
	}{
		{testName: "no retries", routes: []string{"a"}},
		{testName: "a few of all requests are retries", returned: 0.05, routes: []string{"a", "b"}},
		{testName: "a fifth of one route's requests are retries", returned: 0.2, routes: []string{"a", "b", "b", "b", "b"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := NewWaitEstimator()
			newCallers, misjudged, returned, recognized := 0, 0, 0, 0
			for i := range 4000 {
				route := s.routes[i%len(s.routes)]
				timeout := time.Duration((0.85 + 0.15*random.Float64()) * float64(deadline))
				waited := time.Duration(0)
				if route == "a" && random.Float64() < s.returned {
					waited = 3*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
				}
				estimated := e.PriorWait(route, timeout-waited)
				assert.Assert(t, estimated <= waited+deadline/10, "estimated %s, waited %s", estimated, waited)
				const threshold = 250 * time.Millisecond
				switch {
				case waited == 0:
					newCallers++
					if estimated > threshold {
						misjudged++
					}
				default:
					returned++
					if estimated > threshold {
						recognized++
					}
				}
			}
			assert.Assert(t, misjudged*20 < newCallers, "%d of %d new callers were treated as returning", misjudged, newCallers)
			assert.Assert(t, recognized*10 >= returned*8, "%d of %d returning callers were recognized", recognized, returned)
		})
	}
}
