package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBreaker(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const probeFor = 10 * time.Second
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	scenarios := []struct {
		testName string
		run      func(b *breaker)
		ask      time.Time
		allowed  bool
	}{
		{"nothing has stalled", func(*breaker) {}, at(0), true},
		{"a stall keeps others away", func(b *breaker) { b.stalled(at(0)) }, at(3), false},
		{"one is let through after the pause", func(b *breaker) { b.stalled(at(0)) }, at(4), true},
		{"but not a second one", func(b *breaker) {
			b.stalled(at(0))
			b.allow("probe", at(4), probeFor)
		}, at(5), false},
		{"unless nothing is heard of the first", func(b *breaker) {
			b.stalled(at(0))
			b.allow("probe", at(4), probeFor)
		}, at(14), true},
		{"a second stall doubles the pause", func(b *breaker) {
			b.stalled(at(0))
			b.stalled(at(4))
		}, at(11), false},
		{"the pause is bounded", func(b *breaker) {
			for range 100 {
				b.stalled(at(0))
			}
		}, at(32), true},
		{"a transfer that arrives ends it", func(b *breaker) {
			b.stalled(at(0))
			b.arrived()
		}, at(1), true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := &breaker{}
			s.run(b)
			_, allowed := b.allow("a", s.ask, probeFor)
			assert.Equal(t, allowed, s.allowed)
		})
	}
}
