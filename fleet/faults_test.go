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
	// maxOrphanDuration bounds how long an engine holds memory for an orphaned
	// request: 5 s until the kernel closes the connection to an unresponsive peer, 1 s for
	// a lost cancel request, and a sweep interval of 2 s with its call of 1 s.
	maxOrphanDuration = 9 * time.Second
)

// sendChat sends a chat request and checks that the response is complete and
// correct.
func sendChat(f *Fleet, entry ident.InstanceName, prompt string) (caller.ChatResult, error) {
	chat, err := f.Caller(entry).Chat(context.Background(), "packet-reading", prompt, true)
	switch {
	case err != nil:
		return chat, fmt.Errorf("connection failed: %w", err)
	case chat.Problem != nil:
		return chat, fmt.Errorf("refused: %s: %s", chat.Problem.Code, chat.Problem.Detail)
	case !chat.Complete:
		return chat, fmt.Errorf("incomplete after %d tokens", chat.Tokens)
	case chat.Text != fake.Output(caller.RenderPrompt(prompt), maxOutput):
		return chat, fmt.Errorf("wrong output: %q", chat.Text)
	}
	return chat, nil
}

// awaitDecode waits until an endpoint decodes a request, and returns it.
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

// countEngineRequests returns the number of requests that hold memory in an engine.
func countEngineRequests(f *Fleet) int {
	count := 0
	for _, pool := range []ident.PoolName{"reading-prefill", "reading-decode"} {
		for _, e := range f.Endpoints(pool) {
			count += len(e.Engine().Requests())
		}
	}
	return count
}

// countInFlight returns the number of reservations and requests that the agents
// count as in flight.
func countInFlight(f *Fleet) int {
	count := 0
	for _, pool := range []ident.PoolName{"reading-prefill", "reading-decode", "renewal-desk"} {
		for _, e := range f.Endpoints(pool) {
			count += e.Agent().InFlight()
		}
	}
	return count
}

// TestStreamSurvivesFaults injects a fault during a stream and checks that the
// caller still receives the complete output.
func TestStreamSurvivesFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		fault    func(f *Fleet, e *Endpoint)
	}{
		{"the decode engine is killed", func(f *Fleet, e *Endpoint) { f.KillEngine(e.Name) }},
		{"the decode agent is killed", func(f *Fleet, e *Endpoint) { f.KillAgent(e.Name) }},
		{"the entry and the decode agent are partitioned", func(f *Fleet, e *Endpoint) { f.Network.Partition("e1", AgentHost(e.Name)) }},
		{"the agent and its engine are partitioned", func(f *Fleet, e *Endpoint) { f.Network.Partition(AgentHost(e.Name), EngineHost(e.Name)) }},
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
					// The two streams take less than 5 s each, and the fault is
					// detected within 5 s.
					assert.Assert(t, time.Since(started) < 15*time.Second, "the request took %s", time.Since(started))
				})
				e := awaitDecode(f)
				time.Sleep(time.Second)
				s.fault(f, e)
				tasks.Wait()
			})
		})
	}
}

// TestStalledTransfer stalls the imports at two of three endpoints and checks that
// requests still complete and that the engines free their memory.
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

// TestMemoryIsFreed orphans a decode by different faults and checks that the engine
// frees its memory.
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
			testName: "the entry is killed and cancel requests are lost",
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
				assert.Assert(t, countEngineRequests(f) > 0, "the engine should continue without the agent")
				assert.NilError(t, f.RestartAgent(e.Name))
			},
		},
		{
			testName: "the entry and the agent are killed and the agent is restarted immediately",
			run: func(t *testing.T, f *Fleet, e *Endpoint) {
				f.KillEntry("e1")
				f.KillAgent(e.Name)
				assert.NilError(t, f.RestartAgent(e.Name))
			},
		},
		{
			testName: "the entry and the agent are partitioned",
			run:      func(_ *testing.T, f *Fleet, e *Endpoint) { f.Network.Partition("e1", AgentHost(e.Name)) },
		},
		{
			testName: "the decode agent and its engine are partitioned for 20 s",
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
					// The request continues at another endpoint; only the first one
					// must free its memory.
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

// droppedCancels is more than the number of cancel requests that an agent sends
// before it leaves the cancellation to its sweep.
const droppedCancels = 3

// TestCallerDisconnects checks that the engine's request is cancelled when the
// caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = f.Caller("e1").Chat(ctx, "packet-reading", "long length=1400", true) }()
		awaitDecode(f)
		cancel()
		time.Sleep(time.Second)
		assert.Equal(t, countEngineRequests(f), 0)
		assert.Equal(t, countInFlight(f), 0)
	})
}

// TestReservationWithoutPrefill kills the entry and the prefill engines while a
// decode slot is reserved, and checks that the reservation expires.
func TestReservationWithoutPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		tasks.Go(func() { _, _ = f.Caller("e1").Chat(context.Background(), "packet-reading", longPrompt(20_000), true) })
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, countInFlight(f) > 0)
		f.KillEntry("e1")
		for _, e := range f.Endpoints("reading-prefill") {
			f.KillEngine(e.Name)
		}
		tasks.Wait()
		time.Sleep(maxHoldTimeout)
		assert.Equal(t, countInFlight(f), 0)
	})
}

// longPrompt returns a message that has the given number of tokens in the prompt,
// which adds the name of the role.
func longPrompt(tokens int) string {
	text := "length=10"
	for i := range tokens - 2 {
		text += fmt.Sprint(" w", i)
	}
	return text
}

// TestPoisonRequest repeatedly sends a request that crashes every engine that
// decodes it through both entries, along with harmless requests. The former must be
// blocked after at most 3 crashes, the latter must not be.
func TestPoisonRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		for i := range 12 {
			tasks.Go(func() {
				for round := range 6 {
					entry := f.EntryNames()[i%2]
					_, _ = sendChat(f, entry, fmt.Sprintf("harmless %d %d length=100", i, round))
				}
			})
		}
		var last *caller.ChatResult
		for i := range 8 {
			chat, err := f.Caller(f.EntryNames()[i%2]).Chat(context.Background(), "packet-reading", "a "+fake.PoisonMarker+" packet", true)
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
			_, err := sendChat(f, "e1", fmt.Sprintf("harmless %d %d length=100", i, 0))
			assert.NilError(t, err, "a harmless request is still treated as poison")
		}
	})
}

// TestDeadEngineWastesNoPrefill kills a decode engine whose agent keeps running: at
// most the requests in flight at that moment may waste a prefill on it, later ones
// must not.
func TestDeadEngineWastesNoPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		// There are enough concurrent requests for each endpoint to serve some, so
		// that the entry has an estimate for each.
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
		// longPrompt(50) has 49 tokens; the request's number and the name of the
		// role add two.
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
