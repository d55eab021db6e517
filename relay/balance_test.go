package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/place"
	"crocusstep/pool"
)

// TestOneChangeOfStagesAtATime keeps the balance from being judged while engines
// change their stage, and from one keeper's word alone.
func TestOneChangeOfStagesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t, &standIn{})
		prompt := &Prompt{Tokens: 5200, Output: 4300}
		for range samplesLeast {
			assert.Equal(t, len(r.settled(time.Now())), 0)
			r.observe("model", prompt, 64, place.Answer{Memory: 100000, Step: 800 * time.Microsecond})
		}
		r.observe("model", prompt, 64, place.Answer{Memory: 100000, Step: 8 * time.Millisecond})
		assert.Equal(t, len(r.settled(time.Now())), 0, "the stages were seen just now")
		time.Sleep(settleTime)
		load := r.settled(time.Now())["model"]
		assert.Assert(t, load.Step < 2*time.Millisecond, "one keeper that is off by ten times moved the mean to %s", load.Step)
		r.noteOrder("model")
		time.Sleep(orderTime - time.Second)
		assert.Equal(t, len(r.settled(time.Now())), 0, "engines are changing")
		time.Sleep(time.Second)
		assert.Equal(t, len(r.settled(time.Now())), 1)
		r.config.Pool.Apply([]pool.Change{{Endpoint: pool.Endpoint{Name: "r1"}, Gone: true}}, 2, false)
		assert.Equal(t, len(r.settled(time.Now())), 0, "the stages have just changed")
	})
}
