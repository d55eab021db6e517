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
	concurrentStreams = 40
	requestsPerStream = 4
	outputTokens      = 100
	// firstTokenSamples is the number of first tokens timed for each path.
	firstTokenSamples = 200
)

// loadUsage is the resource usage of a busy entry and its agents.
type loadUsage struct {
	requests, tokens int
	entryTicks       float64
	agentTicks       float64
	controlBytes     float64
}

// measureLoad sends completion requests through one entry. It adds their resource usage
// to the page, and the router's overhead on the time to first token on an idle machine.
func measureLoad(page *strings.Builder) (err error) {
	folder, err := os.MkdirTemp("", "crocusstep-load-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f := procs.NewFleet(folder, binaryFolder)
	defer f.Close()
	if err := startModelService(f); err != nil {
		return err
	}
	firstTokens, err := measureFirstTokens(f)
	if err != nil {
		return err
	}
	usage, err := runLoad(f)
	if err != nil {
		return err
	}
	writeLoad(page, usage, firstTokens)
	return nil
}

var modelEndpoints = []struct{ name, pool string }{
	{"p1", "reading-prefill"},
	{"p2", "reading-prefill"},
	{"d1", "reading-decode"},
	{"d2", "reading-decode"},
	{"d3", "reading-decode"},
}

func startModelService(f *procs.Fleet) error {
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
	for _, e := range modelEndpoints {
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
	time.Sleep(warmUpDuration)
	return nil
}

// measureFirstTokens measures the time to first token through the router and directly at
// the engines, alternating between both, and returns the sorted times of each.
func measureFirstTokens(f *procs.Fleet) (times [2][]time.Duration, err error) {
	c := caller.NewClient(client, f.Processes["entry0"].Listen)
	for i := range firstTokenSamples {
		prompt := fmt.Sprintf("short %d length=1", i)
		chat, err := c.Chat(context.Background(), "packet-reading", prompt, true)
		if err != nil {
			return times, err
		}
		direct, err := requestDirectly(f, caller.RenderPrompt(prompt+" direct"))
		if err != nil {
			// An agent that sweeps its engine at this moment cancels the request as an
			// orphan.
			continue
		}
		times[0] = append(times[0], chat.FirstToken)
		times[1] = append(times[1], direct)
	}
	slices.Sort(times[0])
	slices.Sort(times[1])
	return times, nil
}

// requestDirectly makes the minimal calls of a request: prefill, import, decode.
func requestDirectly(f *procs.Fleet, prompt string) (firstToken time.Duration, err error) {
	started := time.Now()
	ctx := context.Background()
	engineClient := func(name string) *engine.Client {
		return engine.NewClient(engine.ClientConfig{Address: f.Processes[name].Listen, HTTP: client, Timeout: time.Second})
	}
	attempt := ident.NewAttemptID()
	result, err := engineClient("p1").Prefill(ctx, engine.PrefillRequest{Attempt: attempt, Prompt: prompt})
	if err != nil {
		return 0, err
	}
	if err := engineClient("d1").Import(ctx, engine.ImportRequest{Attempt: attempt, Source: f.Processes["p1"].Listen, Handle: result.Handle}); err != nil {
		return 0, err
	}
	err = engineClient("d1").Decode(ctx, engine.DecodeRequest{Attempt: attempt, MaxTokens: 1}, func(token engine.Token) error {
		if token.Position == 0 {
			firstToken = time.Since(started)
		}
		return nil
	})
	return firstToken, err
}

func runLoad(f *procs.Fleet) (usage loadUsage, err error) {
	before, beforeAgents, err := sampleUsage(f)
	if err != nil {
		return usage, err
	}
	var mutex sync.Mutex
	var tasks conc.WaitGroup
	c := caller.NewClient(client, f.Processes["entry0"].Listen)
	for stream := range concurrentStreams {
		tasks.Go(func() {
			for round := range requestsPerStream {
				chat, err := c.Chat(context.Background(), "packet-reading", fmt.Sprintf("load %d %d length=%d", stream, round, outputTokens), true)
				if err != nil || !chat.Complete {
					continue
				}
				mutex.Lock()
				usage.requests++
				usage.tokens += chat.Tokens
				mutex.Unlock()
			}
		})
	}
	tasks.Wait()
	after, afterAgents, err := sampleUsage(f)
	usage.entryTicks = after.ticks - before.ticks
	usage.agentTicks = afterAgents.ticks - beforeAgents.ticks
	usage.controlBytes = after.bytes - before.bytes
	return usage, err
}

func sampleUsage(f *procs.Fleet) (entry, agents processTotals, err error) {
	if err := entry.add(f.Processes["entry0"]); err != nil {
		return entry, agents, err
	}
	for _, e := range modelEndpoints {
		if err := agents.add(f.Processes["agent-"+e.name]); err != nil {
			return entry, agents, err
		}
	}
	return entry, agents, nil
}

func writeLoad(page *strings.Builder, usage loadUsage, firstTokens [2][]time.Duration) {
	quantile := func(times []time.Duration, q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	fmt.Fprintf(page, "## under load\n\nOne entry, 2 prefill and 3 decode endpoints, %d concurrent streams of %d tokens.\n\n", concurrentStreams, outputTokens)
	fmt.Fprintf(page, "| figure | value |\n|---|---|\n")
	fmt.Fprintf(page, "| completed requests | %d of %d |\n", usage.requests, concurrentStreams*requestsPerStream)
	fmt.Fprintf(page, "| entry: processor time per token | %.1f microseconds |\n", 1e6*usage.entryTicks/ticksPerSecond/float64(max(1, usage.tokens)))
	fmt.Fprintf(page, "| agents, all: processor time per token | %.1f microseconds |\n", 1e6*usage.agentTicks/ticksPerSecond/float64(max(1, usage.tokens)))
	fmt.Fprintf(page, "| entry: bytes of reservation, release and platform calls per request | %.0f |\n", usage.controlBytes/float64(max(1, usage.requests)))
	fmt.Fprintf(page, "\n## first token on an idle machine\n\n%d requests on each path, alternating.\n\n| path | ms at 50 | ms at 95 | ms at 99 |\n|---|---|---|---|\n", firstTokenSamples)
	for i, name := range []string{"through entry and agents", "directly at the engines"} {
		fmt.Fprintf(page, "| %s | %.2f | %.2f | %.2f |\n", name, quantile(firstTokens[i], 0.5), quantile(firstTokens[i], 0.95), quantile(firstTokens[i], 0.99))
	}
	fmt.Fprintf(page, "| difference | %.2f | %.2f | %.2f |\n\n", quantile(firstTokens[0], 0.5)-quantile(firstTokens[1], 0.5), quantile(firstTokens[0], 0.95)-quantile(firstTokens[1], 0.95), quantile(firstTokens[0], 0.99)-quantile(firstTokens[1], 0.99))
}
