package burn

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

func TestReport(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	for i := range 100 {
		within := 1
		if i%10 == 0 {
			within = 0
		}
		at := start.Add(time.Duration(i) * 30 * time.Second)
		first.Record("s", 95, Sample{Requests: 1, WithinTarget: within, PrefilledTokens: 100, WastedTokens: 1}, at)
		second.Record("s", 95, Sample{Requests: 1, WithinTarget: 1}, at)
	}
	now := start.Add(50 * time.Minute)
	report := NewReport(append(first.Series(now), second.Series(now)...), now)
	assert.Equal(t, len(report.Rows), 1)
	row := report.Rows[0]
	assert.Equal(t, row.Long.Requests, 200)
	assert.Equal(t, row.Long.WithinShare, 0.95)
	assert.Assert(t, row.Long.BurnRate > 0.999 && row.Long.BurnRate < 1.001, "a budget of 5 %% is exactly used up: %v", row.Long.BurnRate)
	assert.Assert(t, row.Short.Requests < 30)
	assert.Equal(t, row.Long.WastedShare, 0.01)
	for format, expected := range map[string]string{"text": "95.00%", "json": `"burn-rate"`, "html": "<polyline"} {
		var output bytes.Buffer
		assert.NilError(t, report.Write(&output, format))
		assert.Assert(t, strings.Contains(output.String(), expected), "%s: %s", format, output.String())
		assert.Assert(t, !strings.Contains(output.String(), "http://") && !strings.Contains(output.String(), "src="))
	}
}

func TestTrackerDropsOldBuckets(t *testing.T) {
	tracker := NewTracker()
	tracker.Record("s", 95, Sample{Requests: 1}, start)
	assert.Equal(t, len(tracker.Series(start.Add(2 * LongWindow))[0].Points), 0)
	// The same index of the ring buffer, one LongWindow later.
	tracker.Record("s", 95, Sample{Requests: 1}, start.Add(LongWindow))
	points := tracker.Series(start.Add(LongWindow))[0].Points
	assert.Equal(t, len(points), 1)
	assert.Equal(t, points[0].Sample.Requests, 1)
}
