package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/platform"
	"crocusstep/procs"
	"crocusstep/store"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// processTotals holds sums over all processes of a role.
type processTotals struct {
	bytes, messages float64
	ticks           float64
	memoryMiB       float64
}

// fleetSample is a sample of all processes.
type fleetSample struct {
	entry processTotals
	agent processTotals
	calls fake.PlatformCalls
}

func (t processTotals) since(before processTotals, count int) roleUsage {
	perProcess := float64(count) * idleDuration.Seconds()
	return roleUsage{
		bytesPerSecond:    (t.bytes - before.bytes) / perProcess,
		messagesPerSecond: (t.messages - before.messages) / perProcess,
		corePercent:       100 * (t.ticks - before.ticks) / ticksPerSecond / perProcess,
		memoryMiB:         t.memoryMiB / float64(count),
	}
}

func sampleFleet(f *procs.Fleet, size fleetSize) (sample fleetSample, err error) {
	for i := range size.entries {
		if err := sample.entry.add(f.Processes[fmt.Sprint("entry", i)]); err != nil {
			return sample, err
		}
	}
	for i := range size.agents {
		if err := sample.agent.add(f.Processes[fmt.Sprint("agent-agent", i)]); err != nil {
			return sample, err
		}
	}
	return sample, f.GetJSON(context.Background(), f.Platform, "/stand-in/calls", &sample.calls)
}

func (t *processTotals) add(p *procs.Process) error {
	// The metrics come first, as reading them takes processor time of the process.
	if err := t.addMetrics(p.Admin); err != nil {
		return err
	}
	return t.addProcessStats(p.PID())
}

func (t *processTotals) addMetrics(admin ident.Address) error {
	response, err := client.Get("http://" + string(admin) + "/metrics")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, found := strings.Cut(scanner.Text(), "} ")
		number, err := strconv.ParseFloat(value, 64)
		if !found || err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "crocusstep_control_bytes"):
			t.bytes += number
		case strings.HasPrefix(name, "crocusstep_control_messages"):
			t.messages += number
		}
	}
	return scanner.Err()
}

// addProcessStats reads processor time and memory from /proc.
func (t *processTotals) addProcessStats(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// The process name in parentheses may contain spaces. It is followed by the third
	// field.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	for _, field := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseFloat(fields[field], 64)
		if err != nil {
			return err
		}
		t.ticks += ticks
	}
	pages, err := strconv.ParseFloat(fields[residentPages], 64)
	if err != nil {
		return err
	}
	t.memoryMiB += pages * float64(os.Getpagesize()) / (1 << 20)
	return nil
}

// putTimeout limits the write of one document.
const putTimeout = 5 * time.Second

func putDocument(f *procs.Fleet, name, text string) error {
	value, err := docset.Record{Current: docset.Revision{Number: 1, Text: text}}.Encode()
	if err != nil {
		return err
	}
	client := platform.NewStore(platform.StoreConfig{Address: f.Platform, HTTP: f.HTTP, Timeout: putTimeout})
	_, err = client.Put(context.Background(), store.Key{Kind: docset.Kind, Name: name}, value, 0)
	return err
}
