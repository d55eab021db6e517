package fleet

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/poison"
	"crocusstep/wire"
)

// silence makes hosts silent.
func silence[Name ~string](f *Fleet, host func(Name) memnet.Host, names ...Name) {
	for _, name := range names {
		f.Network.Silence(host(name), true)
	}
}

// TestSilenceBeforeResumption guards against streams that hang for ever, as the endpoints at which
// they could go on are silent.
func TestSilenceBeforeResumption(t *testing.T) {
	for name, host := range map[string]func(ident.EndpointName) memnet.Host{"agents": AgentHost, "engines": EngineHost} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				var tasks conc.WaitGroup
				tasks.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					chat, err := f.Caller("e1").Chat(ctx, "packet-reading", "a packet length=400", true)
					assert.Check(t, err, "the stream has no end")
					assert.Check(t, chat.Tokens > 0 && chat.Problem != nil && chat.Problem.Outcome == fault.Unknown, "%+v", chat)
				})
				e := awaitDecode(f)
				time.Sleep(time.Second)
				silence(f, host, "p1", "p2")
				f.KillEngine(e.Name)
				tasks.Wait()
			})
		})
	}
}

// TestSilenceIsAnswered guards against callers that leave without an answer or refusal when their
// patience ends, as an agent, endpoint or the platform is silent.
func TestSilenceIsAnswered(t *testing.T) {
	engines := []ident.EndpointName{"p1", "p2", "d1", "d2", "d3"}
	scenarios := []struct {
		testName string
		silence  func(f *Fleet)
	}{
		{"agents", func(f *Fleet) { silence(f, AgentHost, append(engines, plainNames...)...) }},
		{"prefill engines", func(f *Fleet) { silence(f, EngineHost, "p1", "p2") }},
		{"decode engines", func(f *Fleet) { silence(f, EngineHost, "d1", "d2", "d3") }},
		{"decode agents", func(f *Fleet) { silence(f, AgentHost, "d1", "d2", "d3") }},
		{"plain services", func(f *Fleet) { silence(f, EngineHost, plainNames...) }},
		{"the platform", func(f *Fleet) { f.Network.Silence("platform", true) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				// What the documents state.
				leave := func(patience time.Duration) context.Context {
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					context.AfterFunc(ctx, cancel)
					return ctx
				}
				f.Network.SetLatency(func(_, _ memnet.Host) time.Duration { return 10 * time.Millisecond })
				s.silence(f)
				var tasks conc.WaitGroup
				tasks.Go(func() {
					chat, err := f.Caller("e1").Chat(leave(30*time.Second), "packet-reading", "a packet length=20", true)
					assert.Check(t, err, "the chat")
					assert.Check(t, chat.Complete || chat.Problem != nil, "%+v", chat)
				})
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					tasks.Go(func() {
						path, body := "/permits/7/status", ""
						if method == http.MethodPost {
							path, body = "/renewals", `{"permit":"7","period":"1"}`
						}
						_, err := f.Caller("e1").Call(leave(10*time.Second), "renewal-desk", method, path, "", body)
						assert.Check(t, err, "%s", method)
					})
				}
				tasks.Wait()
			})
		})
	}
}

// TestCrashBesideSilentPlatform guards against a stopping entry that sends no response, as it waits
// until the platform has stored a crash.
func TestCrashBesideSilentPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		tasks.Go(func() {
			chat := read(t, f, "a packet length=400", 0)
			assert.Check(t, chat.Problem != nil && chat.Problem.Outcome == fault.Unknown, "%+v", chat)
		})
		e := awaitDecode(f)
		f.Network.Silence("platform", true)
		tasks.Go(func() { f.StopEntry("e1", shutdownAfter(0, time.Second)) })
		time.Sleep(500 * time.Millisecond)
		f.KillEngine(e.Name)
		tasks.Wait()
		f.Network.Silence("platform", false)
	})
}

// TestStoppedAgentBesideSilentEngine guards against streams that count as crashes by their prompts,
// as an agent that stops waits for its silent engine and sends no response.
func TestStoppedAgentBesideSilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		var tasks conc.WaitGroup
		tasks.Go(func() {
			_, err := sendChat(f, "e1", "a packet length=400")
			assert.Check(t, err)
		})
		e := awaitDecode(f)
		f.Network.Silence(EngineHost(e.Name), true)
		f.StopAgent(e.Name, time.Second)
		// The entry stores a crash at once.
		time.Sleep(100 * time.Millisecond)
		suspects, err := poison.List(context.Background(), f.Store("operator"))
		assert.NilError(t, err)
		assert.Equal(t, len(suspects), 0, "%+v", suspects)
		tasks.Wait()
	})
}

// TestStoppedAgentFreesMemory guards against requests that stay in an engine after its agent has
// stopped.
func TestStoppedAgentFreesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		f.Network.SetLatency(func(_, _ memnet.Host) time.Duration { return time.Millisecond })
		var tasks conc.WaitGroup
		tasks.Go(func() {
			_, err := sendChat(f, "e1", "a packet length=400")
			assert.Check(t, err)
		})
		e := awaitDecode(f)
		f.StopAgent(e.Name, time.Second)
		assert.Equal(t, len(e.Engine().Requests()), 0)
		tasks.Wait()
	})
}

// TestSilentAgentIsLeft guards against chats that wait at a silent agent until their patience ends,
// though other endpoints can serve them.
func TestSilentAgentIsLeft(t *testing.T) {
	// What the document states.
	const firstToken = 4 * time.Second
	for _, name := range []ident.EndpointName{"p1", "d1"} {
		t.Run(string(name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				silence(f, AgentHost, name)
				for i := range 10 {
					began := time.Now()
					chat := read(t, f, "packet "+strconv.Itoa(i), 20)
					answered := time.Since(began)
					if chat.Complete {
						answered = chat.FirstToken
					}
					assert.Check(t, answered <= firstToken+wire.StreamIdleTimeout, "%s: %+v", answered, chat.Problem)
				}
			})
		})
	}
}

// TestSilentEngineKeepsStream guards against streams that are cut at an engine which sends no tokens
// for some seconds and goes on, as no retry is granted.
func TestSilentEngineKeepsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		assert.NilError(t, f.PutDocument(context.Background(), "reading", []byte("service: packet-reading\nworkspace: halvorsen\nkind: language-model\n"+
			"pools: {prefill: reading-prefill, decode: reading-decode}\ntargets: {first-token: 4s, between-tokens: 76ms, patience: 30s}\n"+
			"retries: {attempts: 1}\n")))
		time.Sleep(10 * time.Second)
		var tasks conc.WaitGroup
		tasks.Go(func() {
			_, err := sendChat(f, "e1", "a packet length=400")
			assert.Check(t, err)
		})
		e := awaitDecode(f)
		time.Sleep(time.Second)
		e.Engine().StallDecodes(true)
		time.Sleep(2 * wire.StreamIdleTimeout)
		e.Engine().StallDecodes(false)
		tasks.Wait()
	})
}
