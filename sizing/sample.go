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

// ticksPerSecond is the kernel's unit of processor time in /proc.
const ticksPerSecond = 100

// total is the sums over all processes of a role.
type total struct {
	bytes, messages float64
	ticks           float64
	memoryMiB       float64
}

// sample is all processes at one time.
type sample struct {
	entry total
	agent total
	calls fake.PlatformCalls
}

func (t total) since(before total, count int) figures {
	perProcess := float64(count) * idle.Seconds()
	return figures{
		bytesPerSecond:    (t.bytes - before.bytes) / perProcess,
		messagesPerSecond: (t.messages - before.messages) / perProcess,
		corePercent:       100 * (t.ticks - before.ticks) / ticksPerSecond / perProcess,
		memoryMiB:         t.memoryMiB / float64(count),
	}
}

func sampleAll(f *procs.Fleet, s setup) (taken sample, err error) {
	for i := range s.entries {
		if err := taken.entry.add(f.Processes[fmt.Sprint("entry", i)]); err != nil {
			return taken, err
		}
	}
	for i := range s.agents {
		if err := taken.agent.add(f.Processes[fmt.Sprint("agent-agent", i)]); err != nil {
			return taken, err
		}
	}
	return taken, f.GetJSON(context.Background(), f.Platform, "/stand-in/calls", &taken.calls)
}

func (t *total) add(p *procs.Process) error {
	// The counters are read first: reading them costs processor time too.
	if err := t.addCounters(p.Admin); err != nil {
		return err
	}
	return t.addKernel(p.PID())
}

func (t *total) addCounters(admin ident.Address) error {
	response, err := client.Get("http://" + string(admin) + "/metrics")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), "} ")
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
	return lines.Err()
}

// addKernel reads processor time and memory from /proc.
func (t *total) addKernel(id int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return err
	}
	// The fields after the name in brackets begin with the third.
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

// putTimeout bounds the writing of one document.
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
