package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBreaker(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const probeTimeout = 10 * time.Second
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	scenarios := []struct {
		testName string
		run      func(b *breaker)
		now      time.Time
		allowed  bool
	}{
		{"closed without stalls", func(*breaker) {}, at(0), true},
		{"open after a stall", func(b *breaker) { b.recordStall(at(0)) }, at(3), false},
		{"a probe is admitted after the open duration", func(b *breaker) { b.recordStall(at(0)) }, at(4), true},
		{"no second probe while one is in progress", func(b *breaker) {
			b.recordStall(at(0))
			b.allow("probe", at(4), probeTimeout)
		}, at(5), false},
		{"a second probe after the probe timeout", func(b *breaker) {
			b.recordStall(at(0))
			b.allow("probe", at(4), probeTimeout)
		}, at(14), true},
		{"a second stall doubles the open duration", func(b *breaker) {
			b.recordStall(at(0))
			b.recordStall(at(4))
		}, at(11), false},
		{"the open duration is bounded", func(b *breaker) {
			for range 100 {
				b.recordStall(at(0))
			}
		}, at(32), true},
		{"a successful transfer closes the breaker", func(b *breaker) {
			b.recordStall(at(0))
			b.recordSuccess()
		}, at(1), true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := &breaker{}
			s.run(b)
			_, allowed := b.allow("a", s.now, probeTimeout)
			assert.Equal(t, allowed, s.allowed)
		})
	}
}
