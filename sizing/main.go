// Command sizing measures what control costs: it runs real processes on
// loopback in growing numbers, leaves them idle, reads their bytes, messages,
// processor time and memory, and fits slopes. It writes docs/measure/sizing.md.
// With the argument load it only prints what a busy entry costs.
package main

import (
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"crocusstep/procs"
	"crocusstep/socket"
)

const (
	binaries = "bin"
	output   = "docs/measure/sizing.md"
	// warmUp lets processes start and load everything.
	warmUp = 12 * time.Second
	// idle is how long the idle processes are watched.
	idle = 20 * time.Second
)

// setup is how many of each there are in one run.
type setup struct {
	entries, agents, services int
}

// base is the setup from which one number at a time is raised.
var base = setup{entries: 2, agents: 4, services: 4}

// sweep raises one number.
type sweep struct {
	name   string
	values []int
	with   func(value int) setup
}

var sweeps = []sweep{
	{"entries", []int{2, 10, 30}, func(v int) setup { return setup{v, base.agents, base.services} }},
	{"agents", []int{4, 30, 90}, func(v int) setup { return setup{base.entries, v, base.services} }},
	{"services", []int{4, 100, 690}, func(v int) setup { return setup{base.entries, base.agents, v} }},
}

// figures is what one role costs, as the mean over its processes.
type figures struct {
	bytesPerSecond    float64
	messagesPerSecond float64
	corePercent       float64
	memoryMiB         float64
}

type run struct {
	value  int
	entry  figures
	agent  figures
	reads  float64
	writes float64
}

func main() {
	if err := measure(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "sizing:", err)
		os.Exit(1)
	}
}

func measure() error {
	var page strings.Builder
	page.WriteString("# What control costs\n\nWritten by `make measure`: real processes on loopback, idle for 20 s, means over the processes of a role. ")
	page.WriteString("Base: 2 entries, 4 agents, 4 services; one number is raised at a time.\n\n")
	if err := measureLoad(&page); err != nil {
		return err
	}
	if len(os.Args) > 1 && os.Args[1] == "load" {
		fmt.Print(page.String())
		return nil
	}
	for _, s := range sweeps {
		var runs []run
		for _, value := range s.values {
			r, err := measureOne(s.with(value))
			if err != nil {
				return fmt.Errorf("%d %s: %w", value, s.name, err)
			}
			r.value = value
			runs = append(runs, r)
			fmt.Printf("%s %d: entry %+v agent %+v platform reads %.1f/s\n", s.name, value, r.entry, r.agent, r.reads)
		}
		writeSweep(&page, s.name, runs)
	}
	return os.WriteFile(output, []byte(page.String()), 0o600)
}

func measureOne(s setup) (r run, err error) {
	folder, err := os.MkdirTemp("", "crocusstep-sizing-")
	if err != nil {
		return r, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f := procs.NewFleet(folder, binaries)
	defer f.Close()
	if err := start(f, s); err != nil {
		return r, err
	}
	time.Sleep(warmUp)
	before, err := sampleAll(f, s)
	if err != nil {
		return r, err
	}
	time.Sleep(idle)
	after, err := sampleAll(f, s)
	if err != nil {
		return r, err
	}
	r.entry = after.entry.since(before.entry, s.entries)
	r.agent = after.agent.since(before.agent, s.agents)
	r.reads = float64(after.calls.Reads+after.calls.Watches-before.calls.Reads-before.calls.Watches) / idle.Seconds()
	r.writes = float64(after.calls.Writes-before.calls.Writes) / idle.Seconds()
	return r, nil
}

func start(f *procs.Fleet, s setup) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	if err := putServices(f, s.services); err != nil {
		return err
	}
	endpoint, err := f.StartStandin("endpoint", "plain")
	if err != nil {
		return err
	}
	for i := range s.agents {
		if err := f.StartAgent(fmt.Sprint("agent", i), "desk", "home", "plain", endpoint); err != nil {
			return err
		}
	}
	for i := range s.entries {
		if err := f.StartEntry(fmt.Sprint("entry", i), "home"); err != nil {
			return err
		}
	}
	for i := range s.entries {
		if err := f.AwaitOK(f.Processes[fmt.Sprint("entry", i)].Admin, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// putServices stores documents straight at the platform, before any entry runs.
func putServices(f *procs.Fleet, count int) error {
	text, err := os.ReadFile("examples/halvorsen/services/renewal-desk.yaml")
	if err != nil {
		return err
	}
	for i := range count {
		name := fmt.Sprintf("service-%d", i)
		document := strings.Replace(string(text), "service: renewal-desk", "service: "+name, 1)
		if err := putDocument(f, name, document); err != nil {
			return err
		}
	}
	return nil
}

func writeSweep(page *strings.Builder, name string, runs []run) {
	fmt.Fprintf(page, "## %s\n\n| %s | role | bytes/s | messages/s | core %% | memory MiB | platform reads/s, all |\n|---|---|---|---|---|---|---|\n", name, name)
	for _, r := range runs {
		for _, role := range []struct {
			name    string
			figures figures
		}{{"entry", r.entry}, {"agent", r.agent}} {
			fmt.Fprintf(page, "| %d | %s | %.0f | %.2f | %.3f | %.1f | %.1f |\n", r.value, role.name,
				role.figures.bytesPerSecond, role.figures.messagesPerSecond, role.figures.corePercent, role.figures.memoryMiB, r.reads)
		}
	}
	page.WriteString("\n| slope per one of " + name + " | at zero | slope | largest residual |\n|---|---|---|---|\n")
	for _, line := range lines {
		writeSlope(page, line.name, runs, line.value)
	}
	page.WriteString("\n")
}

var lines = []struct {
	name  string
	value func(run) float64
}{
	{"entry bytes/s", func(r run) float64 { return r.entry.bytesPerSecond }},
	{"entry messages/s", func(r run) float64 { return r.entry.messagesPerSecond }},
	{"entry core %", func(r run) float64 { return r.entry.corePercent }},
	{"entry memory MiB", func(r run) float64 { return r.entry.memoryMiB }},
	{"agent bytes/s", func(r run) float64 { return r.agent.bytesPerSecond }},
	{"agent messages/s", func(r run) float64 { return r.agent.messagesPerSecond }},
	{"agent core %", func(r run) float64 { return r.agent.corePercent }},
	{"agent memory MiB", func(r run) float64 { return r.agent.memoryMiB }},
	{"platform reads/s, all", func(r run) float64 { return r.reads }},
	{"platform writes/s, all", func(r run) float64 { return r.writes }},
}

func writeSlope(page *strings.Builder, name string, runs []run, value func(run) float64) {
	var xs, ys []float64
	for _, r := range runs {
		xs = append(xs, float64(r.value))
		ys = append(ys, value(r))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	residual := 0.0
	for i := range xs {
		residual = max(residual, math.Abs(ys[i]-intercept-slope*xs[i]))
	}
	fmt.Fprintf(page, "| %s | %.3f | %.5f | %.3f |\n", name, intercept, slope, residual)
}

// client reads what the processes say of themselves.
var client = socket.NewClient()
