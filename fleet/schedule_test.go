package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/caller"
	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/seed"
)

const (
	scheduleSpan = 60 * time.Second
	// quiet is how long everything is left alone before the properties that
	// hold only after faults are checked.
	quiet = time.Minute
)

// schedule runs callers of all kinds under faults drawn from one seed.
type schedule struct {
	t      *testing.T
	f      *Fleet
	mutex  sync.Mutex
	random *rand.Rand
	// actions is the history of each renewal.
	actions map[string][]porcupine.Operation
	// answers counts what readers saw.
	answers map[string]int
	faults  map[string]int
	wrong   []string
	number  int
	// extra counts the entries that were added, so that each has its own name.
	extra int
}

func (s *schedule) draw(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(n)
}

func (s *schedule) span(most time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(s.random.Int64N(int64(most)))
}

func (s *schedule) count(counts map[string]int, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts[key]++
}

func (s *schedule) entry() ident.InstanceName {
	for {
		if names := s.f.EntryNames(); len(names) > 0 {
			return names[s.draw(len(names))]
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// read asks a model: an answer is whole and right, or says that it is not.
func (s *schedule) read(worker, round int) {
	prompt := fmt.Sprintf("packet %d %d length=%d", worker, round, 10+s.draw(80))
	if s.draw(40) == 0 {
		prompt += " " + fake.PoisonMarker
	}
	chat, err := s.f.Caller(s.entry()).Chat(context.Background(), "packet-reading", prompt, s.draw(2) == 0)
	right := fake.Output(caller.RenderPrompt(prompt), maxOutput)
	switch {
	case err != nil:
		s.count(s.answers, "cut")
	case chat.Problem != nil:
		s.count(s.answers, "refused")
	case chat.Complete && chat.Text == right:
		s.count(s.answers, "whole")
	default:
		s.report("a wrong answer was presented as whole: %q", chat.Text)
	}
	if !strings.HasPrefix(right, chat.Text) {
		s.report("%q is no prefix of the right answer %q", chat.Text, right)
	}
}

func (s *schedule) report(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, args...))
}

// act files one of a few renewals, most of them more than once.
func (s *schedule) act(client, round int) {
	permit := fmt.Sprintf("p%d-%d", round/5, s.draw(6))
	started := time.Now().UnixNano()
	reply, err := s.f.Caller(s.entry()).Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "",
		fmt.Sprintf(`{"permit":%q,"period":"1","sent-at":%d}`, permit, started))
	told := actionVerdict(reply, err)
	ended := time.Now().UnixNano()
	if told == "unknown" {
		// What is unknown may still take effect at any later time.
		ended = math.MaxInt64
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.actions[permit] = append(s.actions[permit], porcupine.Operation{ClientId: client, Input: permit, Output: told, Call: started, Return: ended})
}

// actionVerdict is what a caller may believe: an answer, not-run or unknown.
func actionVerdict(reply caller.CallResult, err error) string {
	switch {
	case err == nil && reply.Problem == nil:
		return "answer " + reply.Body
	case err == nil && reply.Problem.Outcome == fault.NotExecuted:
		return "not-run"
	}
	return "unknown"
}

func (s *schedule) look(worker, _ int) {
	reply, err := s.f.Caller(s.entry()).Call(context.Background(), "renewal-desk", http.MethodGet, fmt.Sprintf("/permits/%d/status", worker), "", "")
	if err == nil && reply.Problem == nil {
		s.count(s.answers, "lookup answered")
	}
}

// change puts the next number in force and checks that no entry serves an older
// one after the bound.
func (s *schedule) change() {
	s.mutex.Lock()
	s.number++
	number := s.number
	s.mutex.Unlock()
	if err := put(s.f, "operator", number, docset.AnyRevision); err != nil {
		s.count(s.faults, "change not accepted")
		return
	}
	s.count(s.faults, "change accepted")
	time.Sleep(docset.MaxStaleness)
	for _, entry := range s.f.EntryNames() {
		for older := 1; older < number; older++ {
			reply, err := s.f.Caller(entry).Call(context.Background(), "clock", http.MethodGet, fmt.Sprint("/number/", older), "", "")
			if err == nil && reply.Problem == nil {
				s.report("%s serves number %d after number %d was accepted", entry, older, number)
			}
		}
	}
}

var (
	modelNames = []ident.EndpointName{"p1", "p2", "d1", "d2", "d3"}
	plainNames = []ident.EndpointName{"r1", "r2", "r3"}
)

// disturb causes one fault after another, some of them together.
func (s *schedule) disturb(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(s.span(3 * time.Second))
		kinds := []func() string{
			s.killAgent, s.killEngine, s.killEntry, s.breakPlatform, s.cutAgent, s.cutPlatform, s.stall, s.replaceAgent,
		}
		s.count(s.faults, kinds[s.draw(len(kinds))]())
	}
}

func (s *schedule) killAgent() string {
	names := append(append([]ident.EndpointName(nil), modelNames...), plainNames...)
	name := names[s.draw(len(names))]
	s.f.KillAgent(name)
	time.Sleep(s.span(3 * time.Second))
	assert.NilError(s.t, s.f.RestartAgent(name))
	return "agent killed"
}

func (s *schedule) killEngine() string {
	name := modelNames[s.draw(len(modelNames))]
	s.f.KillEngine(name)
	time.Sleep(s.span(3 * time.Second))
	s.f.RestartEngine(name)
	return "engine killed"
}

func (s *schedule) killEntry() string {
	s.mutex.Lock()
	s.extra++
	name := ident.InstanceName(fmt.Sprint("extra", s.extra))
	s.mutex.Unlock()
	assert.NilError(s.t, s.f.AddEntry(name, "cascadia-west"))
	time.Sleep(s.span(8 * time.Second))
	names := s.f.EntryNames()
	s.f.KillEntry(names[s.draw(len(names))])
	return "entry killed"
}

func (s *schedule) breakPlatform() string {
	broken := []fake.PlatformFaults{{Down: true}, {ExtraLatency: s.span(1500 * time.Millisecond)}, {LoseResponses: 1 + s.draw(5)}}
	s.f.Platform.SetFaults(broken[s.draw(len(broken))])
	time.Sleep(s.span(8 * time.Second))
	s.f.Platform.SetFaults(fake.PlatformFaults{})
	return "platform broken"
}

func (s *schedule) cutAgent() string {
	entry, agent := s.entry(), AgentHost(modelNames[s.draw(len(modelNames))])
	s.f.Network.Partition(memnet.Host(entry), agent)
	time.Sleep(s.span(6 * time.Second))
	s.f.Network.Heal(memnet.Host(entry), agent)
	return "entry and agent cut"
}

func (s *schedule) cutPlatform() string {
	host := AgentHost(plainNames[s.draw(len(plainNames))])
	if s.draw(2) == 0 {
		host = memnet.Host(s.entry())
	}
	s.f.Network.Partition(host, "platform")
	time.Sleep(s.span(12 * time.Second))
	s.f.Network.Heal(host, "platform")
	return "platform cut off"
}

func (s *schedule) stall() string {
	engine := s.f.Endpoint(modelNames[2+s.draw(3)]).Engine()
	engine.StallTransfers(true)
	time.Sleep(s.span(4 * time.Second))
	engine.StallTransfers(false)
	return "transfers stalled"
}

func (s *schedule) replaceAgent() string {
	name := plainNames[s.draw(len(plainNames))]
	s.f.StopAgent(name, 20*time.Second)
	assert.NilError(s.t, s.f.RestartAgent(name))
	return "agent replaced"
}

// TestSchedules is every property at once, under generated faults.
func TestSchedules(t *testing.T) {
	for _, number := range seed.List(3) {
		t.Run(fmt.Sprint("seed ", number), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSchedule(t, number) })
		})
	}
}

func runSchedule(t *testing.T, number uint64) {
	f := newHalvorsen(t)
	defer f.Close()
	s := &schedule{
		t: t, f: f, random: rand.New(rand.NewPCG(number, 3)),
		actions: map[string][]porcupine.Operation{}, answers: map[string]int{}, faults: map[string]int{},
	}
	until := time.Now().Add(scheduleSpan)
	var tasks conc.WaitGroup
	loop := func(worker int, step func(worker, round int)) {
		tasks.Go(func() {
			for round := 0; time.Now().Before(until); round++ {
				step(worker, round)
				time.Sleep(s.span(2 * time.Second))
			}
		})
	}
	for worker := range 10 {
		loop(worker, s.read)
	}
	for worker := range 6 {
		loop(worker, s.act)
	}
	for worker := range 4 {
		loop(worker, s.look)
	}
	for range 2 {
		tasks.Go(func() { s.disturb(until) })
	}
	loop(0, func(int, int) {
		s.change()
		time.Sleep(s.span(5 * time.Second))
	})
	tasks.Wait()
	time.Sleep(quiet)
	s.check()
}

func (s *schedule) check() {
	s.t.Helper()
	runs := s.runs()
	for permit, answers := range runs {
		assert.Assert(s.t, len(answers) <= 1, "%s ran %d times", permit, len(answers))
	}
	operations := 0
	for permit, history := range s.actions {
		operations += len(history)
		assert.Assert(s.t, porcupine.CheckOperations(renewalModel(), history), "the history of %s breaks the promise: %+v", permit, history)
		for _, operation := range history {
			ran := len(runs[permit]) > 0
			assert.Assert(s.t, ran || !strings.HasPrefix(operation.Output.(string), "answer"), "%s was answered without a run", permit)
		}
	}
	assert.DeepEqual(s.t, s.wrong, []string(nil))
	assert.Equal(s.t, held(s.f), 0, "engines still hold memory")
	assert.Equal(s.t, places(s.f), 0, "agents still hold places")
	s.t.Logf("%d sendings of %d renewals, %d ran; readers %s; faults %s",
		operations, len(s.actions), len(runs), counted(s.answers), counted(s.faults))
	assert.Assert(s.t, s.answers["whole"] > 0 && len(runs) > 0, "the schedule served nothing")
}

// runs returns the runs of each renewal over all endpoints.
func (s *schedule) runs() map[string][]string {
	runs := map[string][]string{}
	for _, e := range s.f.Endpoints("renewal-desk") {
		for _, run := range e.PlainService.Runs() {
			if run.Method != http.MethodPost {
				continue
			}
			_, rest, _ := strings.Cut(run.Body, `"permit":"`)
			permit, _, _ := strings.Cut(rest, `"`)
			runs[permit] = append(runs[permit], run.Body)
		}
	}
	return runs
}

// renewalModel is the same promise as the ledger's, seen by callers.
func renewalModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, _, output any) []any {
			before, told := state.(string), output.(string)
			switch {
			case told == "not-run" && before == "":
				return []any{""}
			case told == "unknown" && before == "":
				return []any{"", "ran"}
			case told == "unknown":
				return []any{before}
			case strings.HasPrefix(told, "answer") && (before == "" || before == "ran" || before == told):
				return []any{told}
			}
			return nil
		},
	}
	return model.ToModel()
}

func counted(counts map[string]int) string {
	var parts []string
	for key, count := range counts {
		parts = append(parts, fmt.Sprint(key, " ", count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
