package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/caller"
	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/seed"
)

// maxStopTime is how long a process may take beyond its shutdown timeout.
const maxStopTime = time.Second

// stopPlan stops and restarts entries and agents in plan, with shutdown timeouts that are too
// short for many requests, while callers use their open connections until the process is gone.
type stopPlan struct {
	f *Fleet

	mutex  sync.Mutex
	random *rand.Rand
	// outcomes counts the results of requests.
	outcomes   map[string]int
	violations []string
}

func (p *stopPlan) randDuration(limit time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Duration(p.random.Int64N(int64(limit)))
}

func (p *stopPlan) randIntN(n int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.IntN(n)
}

func (p *stopPlan) count(outcome string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcomes[outcome]++
}

func (p *stopPlan) report(format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// stopEntries stops an entry and starts it again at the same address, one after the other.
func (p *stopPlan) stopEntries(until time.Time, names ...ident.InstanceName) {
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(p.randDuration(3 * time.Second))
		name := names[i%len(names)]
		shutdown := shutdownAfter(p.randDuration(2*time.Second), p.randDuration(3*time.Second))
		began := time.Now()
		p.f.StopEntry(name, shutdown)
		if took := time.Since(began); took > shutdown.ShutdownDelay.Std()+shutdown.Timeout.Std()+maxStopTime {
			p.report("%s took %s to stop in %+v", name, took, shutdown)
		}
		if err := p.f.AddEntry(name, "cascadia-west"); err != nil {
			p.report("%s: %v", name, err)
		}
	}
}

func (p *stopPlan) stopAgents(until time.Time, names ...ident.EndpointName) {
	for time.Now().Before(until) {
		time.Sleep(p.randDuration(3 * time.Second))
		name := names[p.randIntN(len(names))]
		timeout, began := p.randDuration(3*time.Second), time.Now()
		p.f.StopAgent(name, timeout)
		if took := time.Since(began); took > timeout+maxStopTime {
			p.report("the agent of %s took %s to stop in %s", name, took, timeout)
		}
		if err := p.f.RestartAgent(name); err != nil {
			p.report("%s: %v", name, err)
		}
	}
}

// loop sends requests on a kept connection to one entry after the other.
func (p *stopPlan) loop(until time.Time, worker int, send func(c *caller.Client, id string)) {
	names := []ident.InstanceName{"e1", "e2"}
	clients := map[ident.InstanceName]*caller.Client{}
	for _, name := range names {
		clients[name] = p.f.Caller(name)
	}
	for round := 0; time.Now().Before(until); round++ {
		send(clients[names[(worker+round/8)%len(names)]], fmt.Sprintf("%d-%d", worker, round))
		time.Sleep(p.randDuration(300 * time.Millisecond))
	}
}

func (p *stopPlan) chat(c *caller.Client, id string) {
	prompt := fmt.Sprintf("packet %s length=%d", id, 20+p.randIntN(200))
	expected := fake.Output(caller.RenderPrompt(prompt), maxOutput)
	chat, err := c.Chat(context.Background(), "packet-reading", prompt, p.randIntN(4) > 0)
	switch {
	case err != nil && chat.Status == 0:
		// The request crossed the close of its connection.
		p.count("chat not read")
	case err != nil, chat.Problem == nil && !chat.Complete:
		p.report("a chat was cut after %d tokens without an error event: %v", chat.Tokens, err)
	case chat.Problem != nil:
		p.count("chat " + string(chat.Problem.Code))
		if chat.Problem.Code == fault.Cancelled || chat.Problem.Code == fault.RequestBlocked {
			p.report("a chat was refused: %+v", chat.Problem)
		}
	default:
		p.count("chat complete")
	}
	if !strings.HasPrefix(expected, chat.Text) || chat.Complete && chat.Text != expected {
		p.report("an incorrect response: %q", chat.Text)
	}
}

func (p *stopPlan) lookup(c *caller.Client, id string) {
	result, err := c.Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/"+id+"/status", "", "")
	p.checkCall("lookup", id, result, err)
}

func (p *stopPlan) action(c *caller.Client, id string) {
	result, err := c.Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "", fmt.Sprintf(`{"permit":%q,"period":"1"}`, id))
	p.checkCall("action", id, result, err)
}

// checkCall compares a result with what the endpoints have executed. Each call has a path or
// body of its own.
func (p *stopPlan) checkCall(kind, id string, result caller.CallResult, err error) {
	// A call that was cut may still run.
	time.Sleep(5 * time.Second)
	runs := 0
	for _, e := range p.f.Endpoints("renewal-desk") {
		for _, run := range e.PlainService.Runs() {
			isLookup := run.Method == http.MethodGet
			if isLookup == (kind == "lookup") && (strings.Contains(run.Path, "/"+id+"/") || strings.Contains(run.Body, `"`+id+`"`)) {
				runs++
			}
		}
	}
	switch {
	case err != nil:
		p.count(kind + " not read")
		if runs > 0 {
			p.report("%s %s has run, and its connection closed without a response: %v", kind, id, err)
		}
	case result.Problem == nil:
		p.count(kind + " answered")
		if runs == 0 {
			p.report("%s %s got a response and did not run", kind, id)
		}
	case result.Problem.Outcome == fault.NotExecuted && runs > 0:
		p.report("%s %s has run, and was refused as not run: %+v", kind, id, result.Problem)
	default:
		p.count(kind + " " + string(result.Problem.Code) + " " + string(result.Problem.Outcome))
	}
	if kind == "action" && runs > 1 {
		p.report("action %s ran %d times", id, runs)
	}
}

// TestPlannedStops guards against requests that are cut without a response, or with one that
// isn't true, in planned stops of entries and agents that overlap.
func TestPlannedStops(t *testing.T) {
	for _, number := range seed.List(3) {
		t.Run(fmt.Sprint("seed ", number), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSlowHalvorsen(t, 700*time.Millisecond)
				defer f.Close()
				p := &stopPlan{f: f, random: rand.New(rand.NewPCG(number, 11)), outcomes: map[string]int{}}
				until := time.Now().Add(scheduleDuration)
				var tasks conc.WaitGroup
				for worker, send := range []func(*caller.Client, string){p.chat, p.lookup, p.action} {
					for i := range 8 {
						tasks.Go(func() { p.loop(until, 10*worker+i, send) })
					}
				}
				tasks.Go(func() { p.stopEntries(until, "e1", "e2") })
				tasks.Go(func() { p.stopAgents(until, "p1", "d1", "d2") })
				tasks.Go(func() { p.stopAgents(until, plainNames...) })
				tasks.Wait()
				t.Log(formatCounts(p.outcomes))
				assert.DeepEqual(t, p.violations, []string(nil))
				assert.Assert(t, p.outcomes["chat complete"] > 0 && p.outcomes["action answered"] > 0)
			})
		})
	}
}
