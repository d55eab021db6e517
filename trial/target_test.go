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

// The platform's budget and the time for a change, as the brief and the letter
// state them.
const (
	readBudget   = 2000
	writeBudget  = 300
	changeBudget = 18 * time.Second
	// confirmBudget is what ConfirmLimit leaves of it for the acceptance.
	confirmBudget = changeBudget - 8*time.Second
)

// targetFigures is what a fleet of a size asks of the platform.
type targetFigures struct {
	entries, agents int
	idleReads       float64
	idleWrites      float64
	accepted        time.Duration
	changeWrites    int
	// restartReads is the reads in the 10 s after a zone's entries came back.
	restartReads float64
}

// callsDuring returns the platform's calls over a span.
func callsDuring(f *fleet.Fleet, run func()) (reads, writes int) {
	before := f.Platform.Calls()
	run()
	after := f.Platform.Calls()
	return after.Reads + after.Watches - before.Reads - before.Watches, after.Writes - before.Writes
}

func runTarget(t *testing.T, entries, agents int) (figures targetFigures) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, err := fleet.NewFleet(fleet.Config{
			Platform: fake.PlatformConfig{Latency: 3 * time.Millisecond, InstanceLag: 4 * time.Second, WritesPerSecond: writeBudget},
			Engine:   fake.DefaultEngineConfig(nil),
			Seed:     trialSeed,
		})
		assert.NilError(t, err)
		defer f.Close()
		assert.NilError(t, f.PutDocuments(context.Background(), Halvorsen.Services))
		for i := range agents {
			assert.NilError(t, f.AddPlain(ident.EndpointName(fmt.Sprint("agent", i)), "renewal-desk", "cascadia-west"))
		}
		for i := range entries {
			assert.NilError(t, f.AddEntry(ident.InstanceName(fmt.Sprint("entry", i)), "cascadia-west"))
		}
		time.Sleep(time.Minute)
		figures = measureTarget(t, f, entries, agents)
	})
	return figures
}

func measureTarget(t *testing.T, f *fleet.Fleet, entries, agents int) targetFigures {
	t.Helper()
	figures := targetFigures{entries: entries, agents: agents}
	const idleSpan = 30 * time.Second
	reads, writes := callsDuring(f, func() { time.Sleep(idleSpan) })
	figures.idleReads = float64(reads) / idleSpan.Seconds()
	figures.idleWrites = float64(writes) / idleSpan.Seconds()
	started := time.Now()
	_, figures.changeWrites = callsDuring(f, func() {
		text, err := os.ReadFile(filepath.Join(Halvorsen.Services, "renewal-desk.yaml"))
		assert.NilError(t, err)
		assert.NilError(t, f.PutDocument(context.Background(), "renewal-desk.yaml", append(text, "weight: 2\n"...)))
	})
	figures.accepted = time.Since(started)
	const restartSpan = 10 * time.Second
	zone := entries / 8
	reads, _ = callsDuring(f, func() {
		for i := range zone {
			name := ident.InstanceName(fmt.Sprint("entry", i))
			f.KillEntry(name)
			assert.NilError(t, f.AddEntry(name, "cascadia-west"))
		}
		time.Sleep(restartSpan)
	})
	figures.restartReads = float64(reads) / restartSpan.Seconds()
	return figures
}

func (f targetFigures) hold(t *testing.T) {
	t.Helper()
	assert.Assert(t, f.idleReads <= readBudget && f.restartReads <= readBudget, "%+v", f)
	assert.Assert(t, f.idleWrites <= writeBudget, "%+v", f)
	assert.Assert(t, f.accepted <= confirmBudget, "a change was accepted after %s", f.accepted)
}

// TestTargetSize holds a fleet in one process to the platform's budget. CI runs
// a small one, make measure the letter's.
func TestTargetSize(t *testing.T) {
	folder := os.Getenv(measureVariable)
	if folder == "" {
		runTarget(t, 24, 40).hold(t)
		return
	}
	var page strings.Builder
	page.WriteString("# A fleet in one process\n\nWritten by `make measure`: entries and agents over in-memory connections, in virtual time, ")
	page.WriteString("before a platform that takes 300 writes a second. A zone is an eighth of the entries.\n\n")
	page.WriteString("| entries | agents | platform reads/s, idle | writes/s, idle | a change accepted after | its writes | reads/s while a zone's entries come back |\n|---|---|---|---|---|---|---|\n")
	for _, size := range []struct{ entries, agents int }{{10, 20}, {40, 80}, {120, 200}, {370, 600}} {
		f := runTarget(t, size.entries, size.agents)
		f.hold(t)
		fmt.Fprintf(&page, "| %d | %d | %.0f | %.1f | %s | %d | %.0f |\n", f.entries, f.agents, f.idleReads, f.idleWrites,
			f.accepted.Round(10*time.Millisecond), f.changeWrites, f.restartReads)
	}
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "target.md"), []byte(page.String()), 0o600))
}
