package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPatience is a burst of callers whose own deadlines differ by 15 %, a fifth of
// whom were refused before: those who are new must be taken for new ones, and most
// of the others for what they are.
func TestPatience(t *testing.T) {
	const deadline = 14 * time.Second
	scenarios := []struct {
		testName string
		returned float64
		routes   []string
	}{
		{testName: "nobody came back", routes: []string{"a"}},
		{testName: "a few of all requests are repeats", returned: 0.05, routes: []string{"a", "b"}},
		{testName: "a fifth of one route's requests are repeats", returned: 0.2, routes: []string{"a", "b", "b", "b", "b"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			p := NewWaitEstimator()
			fresh, mistaken, returned, found := 0, 0, 0, 0
			for i := range 4000 {
				route := s.routes[i%len(s.routes)]
				stated := time.Duration((0.85 + 0.15*random.Float64()) * float64(deadline))
				waited := time.Duration(0)
				if route == "a" && random.Float64() < s.returned {
					waited = 3*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
				}
				spent := p.PriorWait(route, stated-waited)
				assert.Assert(t, spent <= waited+deadline/10, "%s of %s", spent, waited)
				const noticed = 250 * time.Millisecond
				switch {
				case waited == 0:
					fresh++
					if spent > noticed {
						mistaken++
					}
				default:
					returned++
					if spent > noticed {
						found++
					}
				}
			}
			assert.Assert(t, mistaken*20 < fresh, "%d of %d new callers were taken for others", mistaken, fresh)
			assert.Assert(t, found*10 >= returned*8, "%d of %d who came back were found", found, returned)
		})
	}
}
