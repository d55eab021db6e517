// Command sizing measures the overhead of the control plane. It runs increasing numbers of
// idle processes on loopback, samples their control traffic, processor time and memory,
// and fits linear models. It writes docs/measure/sizing.md. With the argument load it only
// prints the usage of a busy entry.
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
	binaryFolder = "bin"
	outputFile   = "docs/measure/sizing.md"
	// warmUpDuration lets the processes load their documents and endpoints.
	warmUpDuration = 12 * time.Second
	// idleDuration is the time between two samples of the idle processes.
	idleDuration = 20 * time.Second
)

// fleetSize is the number of processes and services of a fleet.
type fleetSize struct {
	entries, agents, services int
}

// baseSize is the size from which each sweep increases one number.
var baseSize = fleetSize{entries: 2, agents: 4, services: 4}

// sweep measures fleets that differ in one number.
type sweep struct {
	name   string
	values []int
	resize func(value int) fleetSize
}

var sweeps = []sweep{
	{"entries", []int{2, 10, 30}, func(v int) fleetSize { return fleetSize{v, baseSize.agents, baseSize.services} }},
	{"agents", []int{4, 30, 90}, func(v int) fleetSize { return fleetSize{baseSize.entries, v, baseSize.services} }},
	{"services", []int{4, 100, 690}, func(v int) fleetSize { return fleetSize{baseSize.entries, baseSize.agents, v} }},
}

// roleUsage is the mean resource usage of a role's processes.
type roleUsage struct {
	bytesPerSecond    float64
	messagesPerSecond float64
	corePercent       float64
	memoryMiB         float64
}

// sweepPoint is the measurement of one fleet.
type sweepPoint struct {
	value          int
	entry          roleUsage
	agent          roleUsage
	platformReads  float64
	platformWrites float64
}

func main() {
	if err := measure(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "sizing:", err)
		os.Exit(1)
	}
}

func measure() error {
	var page strings.Builder
	page.WriteString("# Overhead of the control plane\n\nWritten by `make measure`: real processes on loopback, idle for 20 s, means over the processes of a role. ")
	page.WriteString("Base: 2 entries, 4 agents, 4 services; each sweep increases one number.\n\n")
	if err := measureLoad(&page); err != nil {
		return err
	}
	if len(os.Args) > 1 && os.Args[1] == "load" {
		fmt.Print(page.String())
		return nil
	}
	for _, s := range sweeps {
		var points []sweepPoint
		for _, value := range s.values {
			point, err := measureIdle(s.resize(value))
			if err != nil {
				return fmt.Errorf("%d %s: %w", value, s.name, err)
			}
			point.value = value
			points = append(points, point)
			fmt.Printf("%s %d: entry %+v agent %+v platform reads %.1f/s\n", s.name, value, point.entry, point.agent, point.platformReads)
		}
		writeSweep(&page, s.name, points)
	}
	return os.WriteFile(outputFile, []byte(page.String()), 0o600)
}

func measureIdle(size fleetSize) (point sweepPoint, err error) {
	folder, err := os.MkdirTemp("", "crocusstep-sizing-")
	if err != nil {
		return point, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f := procs.NewFleet(folder, binaryFolder)
	defer f.Close()
	if err := startFleet(f, size); err != nil {
		return point, err
	}
	time.Sleep(warmUpDuration)
	before, err := sampleFleet(f, size)
	if err != nil {
		return point, err
	}
	time.Sleep(idleDuration)
	after, err := sampleFleet(f, size)
	if err != nil {
		return point, err
	}
	point.entry = after.entry.since(before.entry, size.entries)
	point.agent = after.agent.since(before.agent, size.agents)
	point.platformReads = float64(after.calls.Reads+after.calls.Watches-before.calls.Reads-before.calls.Watches) / idleDuration.Seconds()
	point.platformWrites = float64(after.calls.Writes-before.calls.Writes) / idleDuration.Seconds()
	return point, nil
}

func startFleet(f *procs.Fleet, size fleetSize) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	if err := putServices(f, size.services); err != nil {
		return err
	}
	endpoint, err := f.StartStandin("endpoint", "plain")
	if err != nil {
		return err
	}
	for i := range size.agents {
		if err := f.StartAgent(fmt.Sprint("agent", i), "desk", "home", "plain", endpoint); err != nil {
			return err
		}
	}
	for i := range size.entries {
		if err := f.StartEntry(fmt.Sprint("entry", i), "home"); err != nil {
			return err
		}
	}
	for i := range size.entries {
		if err := f.AwaitOK(f.Processes[fmt.Sprint("entry", i)].Admin, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// putServices writes documents directly to the platform, before any entry starts.
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

func writeSweep(page *strings.Builder, name string, points []sweepPoint) {
	fmt.Fprintf(page, "## %s\n\n| %s | role | bytes/s | messages/s | core %% | memory MiB | platform reads/s, all |\n|---|---|---|---|---|---|---|\n", name, name)
	for _, p := range points {
		for _, role := range []struct {
			name  string
			usage roleUsage
		}{{"entry", p.entry}, {"agent", p.agent}} {
			fmt.Fprintf(page, "| %d | %s | %.0f | %.2f | %.3f | %.1f | %.1f |\n", p.value, role.name,
				role.usage.bytesPerSecond, role.usage.messagesPerSecond, role.usage.corePercent, role.usage.memoryMiB, p.platformReads)
		}
	}
	page.WriteString("\n| per one of " + name + " | intercept | slope | largest residual |\n|---|---|---|---|\n")
	for _, metric := range fittedMetrics {
		writeSlope(page, metric.name, points, metric.value)
	}
	page.WriteString("\n")
}

var fittedMetrics = []struct {
	name  string
	value func(sweepPoint) float64
}{
	{"entry bytes/s", func(p sweepPoint) float64 { return p.entry.bytesPerSecond }},
	{"entry messages/s", func(p sweepPoint) float64 { return p.entry.messagesPerSecond }},
	{"entry core %", func(p sweepPoint) float64 { return p.entry.corePercent }},
	{"entry memory MiB", func(p sweepPoint) float64 { return p.entry.memoryMiB }},
	{"agent bytes/s", func(p sweepPoint) float64 { return p.agent.bytesPerSecond }},
	{"agent messages/s", func(p sweepPoint) float64 { return p.agent.messagesPerSecond }},
	{"agent core %", func(p sweepPoint) float64 { return p.agent.corePercent }},
	{"agent memory MiB", func(p sweepPoint) float64 { return p.agent.memoryMiB }},
	{"platform reads/s, all", func(p sweepPoint) float64 { return p.platformReads }},
	{"platform writes/s, all", func(p sweepPoint) float64 { return p.platformWrites }},
}

func writeSlope(page *strings.Builder, name string, points []sweepPoint, value func(sweepPoint) float64) {
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, float64(p.value))
		ys = append(ys, value(p))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	residual := 0.0
	for i := range xs {
		residual = max(residual, math.Abs(ys[i]-intercept-slope*xs[i]))
	}
	fmt.Fprintf(page, "| %s | %.3f | %.5f | %.3f |\n", name, intercept, slope, residual)
}

// client reads the processes' metrics and sends the requests under load.
var client = socket.NewClient()
