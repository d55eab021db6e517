package cost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func TestMedian(t *testing.T) {
	scenarios := []struct {
		testName string
		values   []float64
		after    time.Duration
		want     float64
	}{
		{testName: "nothing is known of no samples"},
		{testName: "two samples are too few", values: []float64{1, 1}},
		{testName: "the middle one counts", values: []float64{1.7, 1.8, 1.9}, want: 1.8},
		{testName: "less than half of the samples may be far off", values: []float64{1.8, 9, 1.8, 0.1, 1.8, 40, 1.8}, want: 1.8},
		{testName: "the newest samples count", values: append(repeat(1, 30), repeat(2, 8)...), want: 2},
		{testName: "old samples expire", values: repeat(1, 10), after: sampleTTL + time.Second},
		{testName: "values that no duration has are ignored", values: []float64{0, -1, 2, 2, 2}, want: 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var m Median
			for _, v := range s.values {
				m.Add(v, start)
			}
			got, _ := m.Estimate(start.Add(s.after))
			assert.Equal(t, got, s.want)
		})
	}
}

func repeat(value float64, count int) []float64 {
	var list []float64
	for range count {
		list = append(list, value)
	}
	return list
}

func TestMedianDeviation(t *testing.T) {
	var m Median
	for _, v := range []float64{1, 2, 3, 4, 5} {
		m.Add(v, start)
	}
	_, deviation := m.Estimate(start)
	assert.Equal(t, deviation, deviationFactor)
}

func TestSpeeds(t *testing.T) {
	first, second := Process{StartMillis: 1, Version: "v1"}, Process{StartMillis: 2, Version: "v1"}
	newer := Process{StartMillis: 1, Version: "v2"}
	s := NewSpeeds()
	assert.Equal(t, s.View(start).Slowdown("a", first), 1.0)
	assert.Equal(t, s.View(start).RelativeStep("a", first), 1.0)
	s.Learn("a", first, Speed{Slowdown: 1.8, Step: 2 * time.Millisecond}, start)
	s.Learn("b", first, Speed{Slowdown: 0.8, Step: time.Millisecond}, start)
	s.Learn("c", first, Speed{Slowdown: 0.8, Step: time.Millisecond}, start)
	scenarios := []struct {
		testName string
		name     string
		process  Process
		after    time.Duration
		slowdown float64
		step     time.Duration
	}{
		{testName: "an engine's own speed", name: "a", process: first, slowdown: 1.8, step: 2 * time.Millisecond},
		{testName: "that of the usual engine, if its own is unknown", name: "d", process: first, slowdown: 0.8, step: time.Millisecond},
		{testName: "a restart is forgotten", name: "a", process: second, slowdown: 0.8, step: time.Millisecond},
		{testName: "other software is forgotten", name: "a", process: newer, slowdown: 0.8, step: time.Millisecond},
		{testName: "old news are forgotten", name: "a", process: first, after: speedTTL + time.Second, slowdown: 1},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			v := s.View(start.Add(c.after))
			assert.Equal(t, v.Slowdown(identName(c.name), c.process), c.slowdown)
			assert.Equal(t, v.Step(identName(c.name), c.process), c.step)
		})
	}
	t.Run("parts that a keeper does not know stay", func(t *testing.T) {
		s.Learn("a", first, Speed{Step: 3 * time.Millisecond}, start)
		assert.Equal(t, s.View(start).Slowdown("a", first), 1.8)
		s.Learn("a", second, Speed{Step: 3 * time.Millisecond}, start)
		assert.Equal(t, s.View(start).Slowdown("a", second), 0.8)
	})
}
