package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"crocusstep/caller"
	"crocusstep/engine"
	"crocusstep/ident"
	"crocusstep/procs"
)

const (
	// loadStreams is how many readers ask at once, and loadRounds how often.
	loadStreams = 40
	loadRounds  = 4
	loadTokens  = 100
	// compared is how many first tokens are timed each way.
	compared = 200
)

// loadFigures is what a busy entry and its agents cost.
type loadFigures struct {
	requests, tokens int
	entryTicks       float64
	agentTicks       float64
	controlBytes     float64
}

// measureLoad sends reading requests through one entry and adds what they cost
// to the page, and what the router adds to a first token on an idle machine.
func measureLoad(page *strings.Builder) (err error) {
	folder, err := os.MkdirTemp("", "crocusstep-load-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f := procs.NewFleet(folder, binaries)
	defer f.Close()
	if err := startReading(f); err != nil {
		return err
	}
	added, err := compareFirstToken(f)
	if err != nil {
		return err
	}
	figures, err := runLoad(f)
	if err != nil {
		return err
	}
	writeLoad(page, figures, added)
	return nil
}

var readingEndpoints = []struct{ name, pool string }{
	{"p1", "reading-prefill"},
	{"p2", "reading-prefill"},
	{"d1", "reading-decode"},
	{"d2", "reading-decode"},
	{"d3", "reading-decode"},
}

func startReading(f *procs.Fleet) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	text, err := os.ReadFile("examples/halvorsen/services/packet-reading.yaml")
	if err != nil {
		return err
	}
	if err := putDocument(f, "packet-reading", string(text)); err != nil {
		return err
	}
	for _, e := range readingEndpoints {
		if err := f.StartEndpoint(e.name, e.pool, "cascadia-west", "language-model"); err != nil {
			return err
		}
	}
	if err := f.StartEntry("entry0", "cascadia-west"); err != nil {
		return err
	}
	if err := f.AwaitOK(f.Processes["entry0"].Admin, "/readyz"); err != nil {
		return err
	}
	time.Sleep(warmUp)
	return nil
}

// compareFirstToken times first tokens through the router and straight at the
// engines, in turns, and returns the sorted times of both.
func compareFirstToken(f *procs.Fleet) (times [2][]time.Duration, err error) {
	c := caller.NewClient(client, f.Processes["entry0"].Listen)
	for i := range compared {
		prompt := fmt.Sprintf("short %d length=1", i)
		chat, err := c.Chat(context.Background(), "packet-reading", prompt, true)
		if err != nil {
			return times, err
		}
		direct, err := askEngines(f, caller.RenderPrompt(prompt+" direct"))
		if err != nil {
			// The agent takes the order for an orphan if it sweeps just now.
			continue
		}
		times[0] = append(times[0], chat.FirstToken)
		times[1] = append(times[1], direct)
	}
	slices.Sort(times[0])
	slices.Sort(times[1])
	return times, nil
}

// askEngines does what a router must at least do: prefill, import, decode.
func askEngines(f *procs.Fleet, prompt string) (first time.Duration, err error) {
	started := time.Now()
	ctx := context.Background()
	of := func(name string) *engine.Client {
		return engine.NewClient(engine.ClientConfig{Address: f.Processes[name].Listen, HTTP: client, Timeout: time.Second})
	}
	attempt := ident.NewAttemptID()
	result, err := of("p1").Prefill(ctx, engine.PrefillRequest{Attempt: attempt, Prompt: prompt})
	if err != nil {
		return 0, err
	}
	if err := of("d1").Import(ctx, engine.ImportRequest{Attempt: attempt, Source: f.Processes["p1"].Listen, Handle: result.Handle}); err != nil {
		return 0, err
	}
	err = of("d1").Decode(ctx, engine.DecodeRequest{Attempt: attempt, MaxTokens: 1}, func(token engine.Token) error {
		if token.Position == 0 {
			first = time.Since(started)
		}
		return nil
	})
	return first, err
}

func runLoad(f *procs.Fleet) (figures loadFigures, err error) {
	before, beforeAgents, err := readingTotals(f)
	if err != nil {
		return figures, err
	}
	var mutex sync.Mutex
	var tasks conc.WaitGroup
	c := caller.NewClient(client, f.Processes["entry0"].Listen)
	for stream := range loadStreams {
		tasks.Go(func() {
			for round := range loadRounds {
				chat, err := c.Chat(context.Background(), "packet-reading", fmt.Sprintf("load %d %d length=%d", stream, round, loadTokens), true)
				if err != nil || !chat.Complete {
					continue
				}
				mutex.Lock()
				figures.requests++
				figures.tokens += chat.Tokens
				mutex.Unlock()
			}
		})
	}
	tasks.Wait()
	after, afterAgents, err := readingTotals(f)
	figures.entryTicks = after.ticks - before.ticks
	figures.agentTicks = afterAgents.ticks - beforeAgents.ticks
	figures.controlBytes = after.bytes - before.bytes
	return figures, err
}

func readingTotals(f *procs.Fleet) (entry, agents total, err error) {
	if err := entry.add(f.Processes["entry0"]); err != nil {
		return entry, agents, err
	}
	for _, e := range readingEndpoints {
		if err := agents.add(f.Processes["agent-"+e.name]); err != nil {
			return entry, agents, err
		}
	}
	return entry, agents, nil
}

func writeLoad(page *strings.Builder, figures loadFigures, added [2][]time.Duration) {
	at := func(times []time.Duration, q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	fmt.Fprintf(page, "## under load\n\nOne entry, 2 prefill and 3 decode endpoints, %d streams at once of %d tokens.\n\n", loadStreams, loadTokens)
	fmt.Fprintf(page, "| figure | value |\n|---|---|\n")
	fmt.Fprintf(page, "| requests answered whole | %d of %d |\n", figures.requests, loadStreams*loadRounds)
	fmt.Fprintf(page, "| entry: processor time per token | %.1f microseconds |\n", 1e6*figures.entryTicks/ticksPerSecond/float64(max(1, figures.tokens)))
	fmt.Fprintf(page, "| agents, all: processor time per token | %.1f microseconds |\n", 1e6*figures.agentTicks/ticksPerSecond/float64(max(1, figures.tokens)))
	fmt.Fprintf(page, "| entry: bytes of turn, reserve, release and platform calls per request | %.0f |\n", figures.controlBytes/float64(max(1, figures.requests)))
	fmt.Fprintf(page, "\n## first token on an idle machine\n\n%d requests each way, in turns.\n\n| way | ms at 50 | ms at 95 | ms at 99 |\n|---|---|---|---|\n", compared)
	for i, name := range []string{"through entry and agents", "straight at the engines"} {
		fmt.Fprintf(page, "| %s | %.2f | %.2f | %.2f |\n", name, at(added[i], 0.5), at(added[i], 0.95), at(added[i], 0.99))
	}
	fmt.Fprintf(page, "| difference | %.2f | %.2f | %.2f |\n\n", at(added[0], 0.5)-at(added[1], 0.5), at(added[0], 0.95)-at(added[1], 0.95), at(added[0], 0.99)-at(added[1], 0.99))
}
