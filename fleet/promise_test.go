package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/caller"
	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/seed"
)

const (
	chatPatience = 6 * time.Second
	callPatience = 5 * time.Second
	// promisedOutput is the largest limit of tokens in the documents and of the callers.
	promisedOutput = 200
)

// promise adds silences and changed documents to planned stops, and checks that each request that
// an entry has read gets an answer, or a refusal that is true.
type promise struct {
	*stopPlan
	// signalled holds when each entry that stops got its signal.
	signalled map[ident.InstanceName]time.Time
	// outputs holds the limits of tokens that the documents have had.
	outputs map[int]bool
	// responses counts the responses that callers got.
	responses int
	// notRun holds the prompts that were refused as not run.
	notRun []string
	calls  []callRecord
}

// callRecord is the last result of a call.
type callRecord struct {
	kind, id string
	result   caller.CallResult
	err      error
}

func (p *promise) locked(update func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	update()
}

// isStopping reports whether an entry got its signal before now.
func (p *promise) isStopping(name ident.InstanceName) (stopping bool) {
	p.locked(func() {
		at, ok := p.signalled[name]
		stopping = ok && time.Since(at) > time.Millisecond
	})
	return stopping
}

func (p *promise) putDocuments() {
	output := 20 + p.randIntN(promisedOutput-20)
	p.locked(func() { p.outputs[output] = true })
	documents := map[string]string{
		"reading": fmt.Sprintf("service: packet-reading\nworkspace: halvorsen\nkind: language-model\n"+
			"pools: {prefill: reading-prefill, decode: reading-decode}\n"+
			"targets: {first-token: 2s, between-tokens: 76ms, patience: %s}\nlimits: {output-tokens: %d, waiting: %d}\n"+
			"retries: {budget-percent: 50}\n", chatPatience, output, 1+p.randIntN(20)),
		"desk": fmt.Sprintf("service: renewal-desk\nworkspace: halvorsen\nkind: plain\npools: {serve: renewal-desk}\n"+
			"targets: {whole-answer: 2s, patience: %s}\ncalls: [{match: POST /renewals, class: action, key-fields: [permit, period]}, "+
			"{match: 'GET /permits/{permit}/status', class: lookup, share: true}]\nlimits: {lookups: %d, actions: %d}\n",
			callPatience, 1+p.randIntN(8), 1+p.randIntN(8)),
	}
	for file, text := range documents {
		if err := p.f.PutDocument(context.Background(), file, []byte(text)); err != nil {
			// An entry that starts or stops may not acknowledge it.
			p.count("change not accepted")
		}
	}
}

func (p *promise) changeDocuments(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(p.randDuration(8 * time.Second))
		p.putDocuments()
	}
}

func (p *promise) stopEntries(until time.Time, names ...ident.InstanceName) {
	for time.Now().Before(until) {
		time.Sleep(p.randDuration(2 * time.Second))
		name := names[p.randIntN(len(names))]
		shutdown := shutdownAfter(p.randDuration(5*time.Second), p.randDuration(60*time.Second))
		p.locked(func() { p.signalled[name] = time.Now() })
		p.f.StopEntry(name, shutdown)
		p.locked(func() { delete(p.signalled, name) })
		if err := p.f.AddEntry(name, "cascadia-west"); err != nil {
			p.report("%s: %v", name, err)
		}
	}
}

// silenceHosts makes one host after the other silent, for less than an agent tolerates or for
// longer than callers wait.
func (p *promise) silenceHosts(until time.Time) {
	hosts := []memnet.Host{"platform"}
	for _, name := range append(append([]ident.EndpointName{}, modelNames...), plainNames...) {
		hosts = append(hosts, AgentHost(name), EngineHost(name))
	}
	for time.Now().Before(until) {
		time.Sleep(p.randDuration(4 * time.Second))
		host := hosts[p.randIntN(len(hosts))]
		p.f.Network.Silence(host, true)
		time.Sleep(p.randDuration([]time.Duration{2 * time.Second, 10 * time.Second}[p.randIntN(2)]))
		p.f.Network.Silence(host, false)
	}
}

// loop sends requests on kept connections to the entries in turn.
func (p *promise) loop(until time.Time, worker int, send func(name ident.InstanceName, c *caller.Client, id string)) {
	names := []ident.InstanceName{"e1", "e2"}
	clients := map[ident.InstanceName]*caller.Client{}
	for _, name := range names {
		clients[name] = p.f.Caller(name)
	}
	for round := 0; time.Now().Before(until); round++ {
		name := names[(worker+round/4)%len(names)]
		send(name, clients[name], fmt.Sprintf("%d-%d", worker, round))
		time.Sleep(p.randDuration(600 * time.Millisecond))
	}
}

func (p *promise) chat(name ident.InstanceName, c *caller.Client, id string) {
	limit, length := p.randIntN(promisedOutput), 1+p.randIntN(2*promisedOutput)
	prompt := fmt.Sprintf("packet %s length=%d", id, length)
	isStream, inStop, began := p.randIntN(4) > 0, p.isStopping(name), time.Now()
	chat, err := c.LimitedChat(context.Background(), "packet-reading", prompt, isStream, limit)
	took := time.Since(began)
	if err != nil && chat.Status == 0 {
		p.count("chat not read")
		return
	}
	expected := fake.Output(caller.RenderPrompt(prompt), ident.TokenCount(chat.Tokens))
	p.locked(func() { p.responses++ })
	switch {
	case err != nil, chat.Problem == nil && !chat.Complete:
		p.report("a chat was cut after %d tokens without an error event: %v", chat.Tokens, err)
	case chat.Problem == nil:
		whole := chat.Tokens == length || chat.Tokens == limit
		p.locked(func() { whole = whole || p.outputs[chat.Tokens] })
		if chat.Text != expected || !whole {
			p.report("an incorrect response with %d of %d tokens, limit %d: %q", chat.Tokens, length, limit, chat.Text)
		}
		p.count(fmt.Sprintf("chat complete, in a stop %v", inStop))
	default:
		p.checkRefusal("chat", inStop, chat.Problem)
		if chat.Tokens == 0 && isStream && took >= chatPatience {
			p.report("a chat was refused after %s: %+v", took, chat.Problem)
		}
		if !strings.HasPrefix(fake.Output(caller.RenderPrompt(prompt), promisedOutput), chat.Text) {
			p.report("an incorrect part of a response: %q", chat.Text)
		}
		if chat.Problem.Outcome == fault.NotExecuted {
			p.locked(func() { p.notRun = append(p.notRun, caller.RenderPrompt(prompt)) })
		}
	}
}

// checkRefusal checks what holds for refusals of all kinds: callers never leave, no prompt crashes
// an engine, and nothing that came in a stop is cut by it.
func (p *promise) checkRefusal(kind string, inStop bool, problem *fault.Problem) {
	p.count(fmt.Sprintf("%s %s %s", kind, problem.Code, problem.Outcome))
	if problem.Code == fault.Cancelled || problem.Code == fault.RequestBlocked {
		p.report("a %s was refused: %+v", kind, problem)
	}
	if inStop && strings.Contains(problem.Detail, "the entry stopped") {
		p.report("a %s that came in a stop was cut by it: %+v", kind, problem)
	}
	if problem.Code == fault.Draining && problem.RetryAfterSeconds <= 0 {
		p.report("a %s was refused without Retry-After: %+v", kind, problem)
	}
}

func (p *promise) lookup(name ident.InstanceName, c *caller.Client, id string) {
	p.call(name, c, callRecord{kind: "lookup", id: id}, http.MethodGet, "/permits/"+id+"/status", "")
}

// action sends an action once more with the same key if its outcome is unknown.
func (p *promise) action(name ident.InstanceName, c *caller.Client, id string) {
	for range 2 {
		record := p.call(name, c, callRecord{kind: "action", id: id}, http.MethodPost, "/renewals", fmt.Sprintf(`{"permit":%q,"period":"1"}`, id))
		if record.err == nil && (record.result.Problem == nil || record.result.Problem.Outcome != fault.Unknown) {
			return
		}
		time.Sleep(time.Second)
	}
}

func (p *promise) call(name ident.InstanceName, c *caller.Client, record callRecord, method, path, body string) callRecord {
	inStop, began := p.isStopping(name), time.Now()
	record.result, record.err = c.Call(context.Background(), "renewal-desk", method, path, "", body)
	took := time.Since(began)
	p.locked(func() { p.calls = append(p.calls, record) })
	if record.err != nil && record.result.Status == 0 {
		p.count(record.kind + " not read")
		return record
	}
	p.locked(func() { p.responses++ })
	if record.err != nil {
		p.report("the response to a %s was cut: %v", record.kind, record.err)
	}
	if took >= callPatience {
		p.report("a %s took %s: %+v", record.kind, took, record.result)
	}
	if record.result.Problem != nil {
		p.checkRefusal(record.kind, inStop, record.result.Problem)
	} else {
		p.count(fmt.Sprintf("%s answered, in a stop %v", record.kind, inStop))
	}
	return record
}

// check compares what callers were told with what endpoints have done.
func (p *promise) check() {
	if received := p.f.Received(); received != p.responses {
		p.report("entries have read %d requests, callers got %d responses", received, p.responses)
	}
	for _, prompt := range p.notRun {
		for _, e := range append(p.f.Endpoints("reading-prefill"), p.f.Endpoints("reading-decode")...) {
			if e.Engine().HasAccepted(prompt) {
				p.report("%q was refused as not run and has reached %s", prompt, e.Name)
			}
		}
	}
	runs := map[string]int{}
	for _, e := range p.f.Endpoints("renewal-desk") {
		for _, run := range e.PlainService.Runs() {
			id := strings.TrimSuffix(strings.TrimPrefix(run.Path, "/permits/"), "/status")
			if run.Method == http.MethodPost {
				id, _, _ = strings.Cut(strings.TrimPrefix(run.Body, `{"permit":"`), `"`)
			}
			runs[run.Method+" "+id]++
		}
	}
	last := map[string]callRecord{}
	for _, record := range p.calls {
		method := http.MethodGet
		if record.kind == "action" {
			method = http.MethodPost
		}
		last[method+" "+record.id] = record
	}
	for id, record := range last {
		count := runs[id]
		switch {
		case record.kind == "action" && count > 1:
			p.report("%s ran %d times", id, count)
		case record.err == nil && record.result.Problem == nil && count == 0:
			p.report("%s got a response and did not run", id)
		case record.err == nil && record.result.Problem != nil && record.result.Problem.Outcome == fault.NotExecuted && count > 0:
			p.report("%s ran and was refused as not run: %+v", id, record.result.Problem)
		}
	}
}

// TestPromises guards against requests that an entry has read and that get neither an answer nor a
// true refusal, and against ones that are cut by the stop in which they came, whatever stops, falls
// silent or changes meanwhile.
func TestPromises(t *testing.T) {
	for _, number := range seed.List(3) {
		t.Run(fmt.Sprint("seed ", number), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSlowHalvorsen(t, 700*time.Millisecond)
				defer f.Close()
				p := &promise{
					stopPlan:  &stopPlan{f: f, random: rand.New(rand.NewPCG(number, 12)), outcomes: map[string]int{}},
					signalled: map[ident.InstanceName]time.Time{},
					outputs:   map[int]bool{},
				}
				p.putDocuments()
				until := time.Now().Add(2 * scheduleDuration)
				var tasks conc.WaitGroup
				for worker, send := range []func(ident.InstanceName, *caller.Client, string){p.chat, p.lookup, p.action} {
					for i := range 6 {
						tasks.Go(func() { p.loop(until, 10*worker+i, send) })
					}
				}
				tasks.Go(func() { p.stopEntries(until, "e1") })
				tasks.Go(func() { p.stopEntries(until, "e2") })
				tasks.Go(func() { p.stopAgents(until, "p1", "p2", "d1", "d2", "d3") })
				tasks.Go(func() { p.stopAgents(until, plainNames...) })
				tasks.Go(func() { p.changeDocuments(until) })
				tasks.Go(func() { p.silenceHosts(until) })
				tasks.Wait()
				time.Sleep(recoveryTime)
				p.check()
				t.Log(formatCounts(p.outcomes))
				for _, violation := range p.violations {
					t.Error(violation)
				}
				assert.Assert(t, p.outcomes["chat complete, in a stop true"] > 0 && p.outcomes["action answered, in a stop true"] > 0)
			})
		})
	}
}
