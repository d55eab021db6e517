package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/caller"
	"crocusstep/fake"
	"crocusstep/ident"
)

const (
	maxOutput = 1500
	// maxOrphanDuration is how long an engine may hold memory for a request that is
	// gone: 5 s until the kernel gives a vanished peer up, 1 s for a cancel that
	// is lost, and one sweep of 2 s with its call of 1 s.
	maxOrphanDuration = 9 * time.Second
)

// sendChat sends a reading request and checks that the answer is whole and right.
func sendChat(f *Fleet, entry ident.InstanceName, prompt string) (caller.Chat, error) {
	chat, err := f.Caller(entry).Ask(context.Background(), "packet-reading", prompt, true)
	switch {
	case err != nil:
		return chat, fmt.Errorf("cut: %w", err)
	case chat.Problem != nil:
		return chat, fmt.Errorf("refused: %s: %s", chat.Problem.Code, chat.Problem.Detail)
	case !chat.Whole:
		return chat, fmt.Errorf("not whole after %d pieces", chat.Pieces)
	case chat.Text != fake.Output(caller.Prompt(prompt), maxOutput):
		return chat, fmt.Errorf("wrong answer: %q", chat.Text)
	}
	return chat, nil
}

// awaitDecode returns the endpoint that decodes for somebody.
func awaitDecode(f *Fleet) *Endpoint {
	for {
		for _, e := range f.Endpoints("reading-decode") {
			for _, r := range e.Engine().Requests() {
				if r.State == "decode" {
					return e
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// countEngineRequests returns what all engines hold memory for.
func countEngineRequests(f *Fleet) int {
	count := 0
	for _, pool := range []ident.PoolName{"reading-prefill", "reading-decode"} {
		for _, e := range f.Endpoints(pool) {
			count += len(e.Engine().Requests())
		}
	}
	return count
}

// countInFlight returns the countInFlight that all agents think are taken.
func countInFlight(f *Fleet) int {
	count := 0
	for _, pool := range []ident.PoolName{"reading-prefill", "reading-decode", "renewal-desk"} {
		for _, e := range f.Endpoints(pool) {
			count += e.Agent().InFlight()
		}
	}
	return count
}

// TestStreamSurvivesFaults breaks something in the middle of a stream; the caller
// still gets the whole answer.
func TestStreamSurvivesFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		fault    func(f *Fleet, e *Endpoint)
	}{
		{"the decode engine dies", func(f *Fleet, e *Endpoint) { f.KillEngine(e.Name) }},
		{"the decode agent dies", func(f *Fleet, e *Endpoint) { f.KillAgent(e.Name) }},
		{"the entry and the decode agent lose each other", func(f *Fleet, e *Endpoint) { f.Network.Partition("e1", AgentHost(e.Name)) }},
		{"the agent and its engine lose each other", func(f *Fleet, e *Endpoint) { f.Network.Partition(AgentHost(e.Name), EngineHost(e.Name)) }},
		{"the engine stops generating", func(_ *Fleet, e *Endpoint) { e.Engine().StallDecodes(true) }},
		{"the platform goes down", func(f *Fleet, _ *Endpoint) { f.Platform.SetFaults(fake.PlatformFaults{Down: true}) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				var tasks conc.WaitGroup
				tasks.Go(func() {
					started := time.Now()
					_, err := sendChat(f, "e1", "a packet length=200")
					assert.NilError(t, err)
					// Both streams take under 5 s each; a fault is noticed in 5 s.
					assert.Assert(t, time.Since(started) < 15*time.Second, "it took %s", time.Since(started))
				})
				e := awaitDecode(f)
				time.Sleep(time.Second)
				s.fault(f, e)
				tasks.Wait()
			})
		})
	}
}

// TestStalledTransfer makes every import at one endpoint hang.
func TestStalledTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		for _, e := range f.Endpoints("reading-decode")[:2] {
			e.Engine().StallTransfers(true)
		}
		for i := range 6 {
			_, err := sendChat(f, "e1", fmt.Sprintf("packet %d length=5", i))
			assert.NilError(t, err)
		}
		time.Sleep(maxOrphanDuration)
		assert.Equal(t, countEngineRequests(f), 0)
	})
}

// TestMemoryIsFreed leaves requests behind in every way that was thought of.
func TestMemoryIsFreed(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, f *Fleet, e *Endpoint)
	}{
		{
			testName: "the entry is killed",
			run:      func(_ *testing.T, f *Fleet, _ *Endpoint) { f.KillEntry("e1") },
		},
		{
			testName: "the entry is killed and cancels are lost",
			run: func(_ *testing.T, f *Fleet, e *Endpoint) {
				e.Engine().DropCancels(droppedCancels)
				f.KillEntry("e1")
			},
		},
		{
			testName: "the agent is killed and restarted",
			run: func(t *testing.T, f *Fleet, e *Endpoint) {
				f.KillAgent(e.Name)
				f.KillEntry("e1")
				time.Sleep(time.Second)
				assert.Assert(t, countEngineRequests(f) > 0, "the engine should go on by itself")
				assert.NilError(t, f.RestartAgent(e.Name))
			},
		},
		{
			testName: "entry and agent are killed at once, the agent is restarted",
			run: func(t *testing.T, f *Fleet, e *Endpoint) {
				f.KillEntry("e1")
				f.KillAgent(e.Name)
				assert.NilError(t, f.RestartAgent(e.Name))
			},
		},
		{
			testName: "the entry and the agent lose each other",
			run:      func(_ *testing.T, f *Fleet, e *Endpoint) { f.Network.Partition("e1", AgentHost(e.Name)) },
		},
		{
			testName: "the decode agent and its engine lose each other for a while",
			run: func(_ *testing.T, f *Fleet, e *Endpoint) {
				f.Network.Partition(AgentHost(e.Name), EngineHost(e.Name))
				f.KillEntry("e1")
				time.Sleep(20 * time.Second)
				f.Network.Heal(AgentHost(e.Name), EngineHost(e.Name))
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				go func() { _, _ = sendChat(f, "e1", "a very long answer length=1400") }()
				e := awaitDecode(f)
				time.Sleep(time.Second)
				s.run(t, f, e)
				if len(f.EntryNames()) > 1 {
					// The request lives on elsewhere; only the old place counts.
					time.Sleep(maxOrphanDuration)
					assert.Equal(t, len(e.Engine().Requests()), 0)
					return
				}
				time.Sleep(maxOrphanDuration)
				assert.Equal(t, countEngineRequests(f), 0)
				assert.Equal(t, countInFlight(f), 0)
			})
		})
	}
}

// droppedCancels is more cancels than an agent sends before it leaves the rest
// to its sweep.
const droppedCancels = 3

// TestCallerDisconnects ends the caller's connection; cancel reaches the engine.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = f.Caller("e1").Ask(ctx, "packet-reading", "long length=1400", true) }()
		awaitDecode(f)
		cancel()
		time.Sleep(time.Second)
		assert.Equal(t, countEngineRequests(f), 0)
		assert.Equal(t, countInFlight(f), 0)
	})
}

// TestReservationWithoutPrefill kills the prefill engine while a slot waits.
func TestReservationWithoutPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		tasks.Go(func() { _, _ = f.Caller("e1").Ask(context.Background(), "packet-reading", longPrompt(20_000), true) })
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, countInFlight(f) > 0)
		f.KillEntry("e1")
		for _, e := range f.Endpoints("reading-prefill") {
			f.KillEngine(e.Name)
		}
		tasks.Wait()
		time.Sleep(maxHold)
		assert.Equal(t, countInFlight(f), 0)
	})
}

// longPrompt is a prompt of so many tokens.
func longPrompt(tokens int) string {
	text := "length=10"
	for i := range tokens - 2 {
		text += fmt.Sprint(" w", i)
	}
	return text
}

// TestPoisonRequest sends a request that crashes every engine that decodes it, again
// and again through both entries, beside innocent ones.
func TestPoisonRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		for i := range 12 {
			tasks.Go(func() {
				for round := range 6 {
					entry := f.EntryNames()[i%2]
					_, _ = sendChat(f, entry, fmt.Sprintf("innocent %d %d length=100", i, round))
				}
			})
		}
		var last *caller.Chat
		for i := range 8 {
			chat, err := f.Caller(f.EntryNames()[i%2]).Ask(context.Background(), "packet-reading", "a "+fake.PoisonMarker+" packet", true)
			if err == nil {
				last = &chat
			}
			time.Sleep(2 * time.Second)
		}
		tasks.Wait()
		crashes := 0
		for _, e := range f.Endpoints("reading-decode") {
			crashes += e.Crashes()
		}
		assert.Assert(t, crashes > 0 && crashes <= 3, "%d endpoints crashed", crashes)
		assert.Equal(t, string(last.Problem.Code), "request-blocked")
		time.Sleep(10 * time.Second)
		for i := range 12 {
			_, err := sendChat(f, "e1", fmt.Sprintf("innocent %d %d length=100", i, 0))
			assert.NilError(t, err, "an innocent request is still blamed")
		}
	})
}

// TestDeadEngineWastesNoPrefill kills a decode engine whose agent lives: at most the
// requests under way at that moment spend a prefill on it.
func TestDeadEngineWastesNoPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		// Enough at once that every endpoint has work, and so is known.
		var warm conc.WaitGroup
		for i := range 40 {
			warm.Go(func() {
				_, err := sendChat(f, "e1", fmt.Sprintf("warm %d length=5", i))
				assert.NilError(t, err)
			})
		}
		warm.Wait()
		f.KillEngine("d1")
		time.Sleep(2 * sweepInterval)
		before := countPromptTokens(f)
		const requests = 30
		for i := range requests {
			_, err := sendChat(f, "e1", fmt.Sprintf("%s %d", longPrompt(50), i))
			assert.NilError(t, err)
		}
		// A packet has 49 tokens; its number and the role's name are two more.
		assert.Equal(t, countPromptTokens(f)-before, requests*(49+2))
	})
}

func countPromptTokens(f *Fleet) int {
	total := 0
	for _, e := range f.Endpoints("reading-prefill") {
		total += int(e.Engine().PromptTokens())
	}
	return total
}
