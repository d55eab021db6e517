package cost

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

// TestPaces guards against the pace of a process that has ended, and of long ago.
func TestPaces(t *testing.T) {
	now := time.Now()
	first, second := Process{StartMillis: 1}, Process{StartMillis: 2}
	p := NewPaces()
	fastest, usual := p.Range(now)
	assert.Equal(t, fastest, time.Duration(0))
	assert.Equal(t, usual, time.Duration(0))
	p.Observe("d1", first, 3*time.Millisecond, now)
	p.Observe("d2", first, time.Millisecond, now)
	p.Observe("d3", first, 2*time.Millisecond, now)
	p.Observe("d3", first, -time.Millisecond, now)
	assert.Equal(t, p.Of("d1", first, now), 3*time.Millisecond)
	assert.Equal(t, p.Of("d1", second, now), time.Duration(0))
	assert.Equal(t, p.Of("d4", first, now), time.Duration(0))
	fastest, usual = p.Range(now)
	assert.Equal(t, fastest, time.Millisecond)
	assert.Equal(t, usual, 2*time.Millisecond)
	later := now.Add(speedTTL + time.Second)
	assert.Equal(t, p.Of("d1", first, later), time.Duration(0))
	fastest, _ = p.Range(later)
	assert.Equal(t, fastest, time.Duration(0))
}

// TestPacesAreBounded guards against memory that grows with each engine that ever ran.
func TestPacesAreBounded(t *testing.T) {
	p, now := NewPaces(), time.Now()
	for i := range 1000 {
		p.Observe(ident.EndpointName(fmt.Sprint(i)), Process{}, time.Millisecond, now)
		now = now.Add(time.Second)
	}
	assert.Assert(t, len(p.engines) <= int(speedTTL/time.Second)+2, "%d", len(p.engines))
}
