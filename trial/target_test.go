package trial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/fleet"
	"crocusstep/ident"
)

// The required limits: the platform's calls per second, and the time until a changed
// document is active everywhere.
const (
	maxReadsPerSecond  = 2000
	maxWritesPerSecond = 300
	changeDeadline     = 18 * time.Second
	// acceptDeadline is the part of changeDeadline for the acceptance, as entries may
	// serve the old document for docset.MaxStaleness after it.
	acceptDeadline = changeDeadline - 8*time.Second
)

// fleetMeasurement holds the platform's load from a fleet of some size. Reads and writes
// are per second.
type fleetMeasurement struct {
	entries, agents int
	idleReads       float64
	idleWrites      float64
	// accepted is the time until a change was accepted, changeWrites its writes.
	accepted     time.Duration
	changeWrites int
	// restartReads covers the 10 s after the restart of a zone's entries.
	restartReads float64
}

// callsDuring returns the platform calls made while a function runs.
func callsDuring(f *fleet.Fleet, run func()) (reads, writes int) {
	before := f.Platform.Calls()
	run()
	after := f.Platform.Calls()
	return after.Reads + after.Watches - before.Reads - before.Watches, after.Writes - before.Writes
}

func measureFleet(t *testing.T, entries, agents int) (measurement fleetMeasurement) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, err := fleet.NewFleet(fleet.Config{
			Platform: fake.PlatformConfig{Latency: 3 * time.Millisecond, InstanceLag: 4 * time.Second, WritesPerSecond: maxWritesPerSecond},
			Engine:   fake.DefaultEngineConfig(nil),
			Seed:     workloadSeed,
		})
		assert.NilError(t, err)
		defer f.Close()
		assert.NilError(t, f.PutDocuments(context.Background(), Halvorsen.ServicesFolder))
		for i := range agents {
			assert.NilError(t, f.AddPlain(ident.EndpointName(fmt.Sprint("agent", i)), "renewal-desk", "cascadia-west"))
		}
		for i := range entries {
			assert.NilError(t, f.AddEntry(ident.InstanceName(fmt.Sprint("entry", i)), "cascadia-west"))
		}
		time.Sleep(time.Minute)
		measurement = measurePlatformCalls(t, f, entries, agents)
	})
	return measurement
}

func measurePlatformCalls(t *testing.T, f *fleet.Fleet, entries, agents int) fleetMeasurement {
	t.Helper()
	measurement := fleetMeasurement{entries: entries, agents: agents}
	const idleDuration = 30 * time.Second
	reads, writes := callsDuring(f, func() { time.Sleep(idleDuration) })
	measurement.idleReads = float64(reads) / idleDuration.Seconds()
	measurement.idleWrites = float64(writes) / idleDuration.Seconds()
	started := time.Now()
	_, measurement.changeWrites = callsDuring(f, func() {
		text, err := os.ReadFile(filepath.Join(Halvorsen.ServicesFolder, "renewal-desk.yaml"))
		assert.NilError(t, err)
		assert.NilError(t, f.PutDocument(context.Background(), "renewal-desk.yaml", append(text, "weight: 2\n"...)))
	})
	measurement.accepted = time.Since(started)
	const restartDuration = 10 * time.Second
	zoneEntries := entries / 8
	reads, _ = callsDuring(f, func() {
		for i := range zoneEntries {
			name := ident.InstanceName(fmt.Sprint("entry", i))
			f.KillEntry(name)
			assert.NilError(t, f.AddEntry(name, "cascadia-west"))
		}
		time.Sleep(restartDuration)
	})
	measurement.restartReads = float64(reads) / restartDuration.Seconds()
	return measurement
}

func (f fleetMeasurement) checkLimits(t *testing.T) {
	t.Helper()
	assert.Assert(t, f.idleReads <= maxReadsPerSecond && f.restartReads <= maxReadsPerSecond, "%+v", f)
	assert.Assert(t, f.idleWrites <= maxWritesPerSecond, "%+v", f)
	assert.Assert(t, f.accepted <= acceptDeadline, "a change was accepted after %s", f.accepted)
}

// TestTargetSize checks the platform's load from a fleet in one process against the
// limits. CI runs a small fleet, and make measure fleets up to the required size.
func TestTargetSize(t *testing.T) {
	folder := os.Getenv(measureVariable)
	if folder == "" {
		measureFleet(t, 24, 40).checkLimits(t)
		return
	}
	var page strings.Builder
	page.WriteString("# A fleet in one process\n\nWritten by `make measure`: entries and agents over in-memory connections, in virtual time, ")
	page.WriteString("against a platform that accepts 300 writes per second. A zone has an eighth of the entries.\n\n")
	page.WriteString("| entries | agents | platform reads/s, idle | writes/s, idle | a change accepted after | its writes | reads/s while a zone's entries restart |\n|---|---|---|---|---|---|---|\n")
	for _, size := range []struct{ entries, agents int }{{10, 20}, {40, 80}, {120, 200}, {370, 600}} {
		f := measureFleet(t, size.entries, size.agents)
		f.checkLimits(t)
		fmt.Fprintf(&page, "| %d | %d | %.0f | %.1f | %s | %d | %.0f |\n", f.entries, f.agents, f.idleReads, f.idleWrites,
			f.accepted.Round(10*time.Millisecond), f.changeWrites, f.restartReads)
	}
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "target.md"), []byte(page.String()), 0o600))
}
