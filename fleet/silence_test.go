package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/memnet"
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
