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
	scheduleDuration = 60 * time.Second
	// recoveryTime is the time without faults or requests before the properties
	// that must hold after recovery are checked.
	recoveryTime = time.Minute
)

// schedule runs callers of all kinds and injects faults, both drawn from one seed.
type schedule struct {
	t      *testing.T
	f      *Fleet
	mutex  sync.Mutex
	random *rand.Rand
	// actions is the history of each permit's renewal.
	actions map[string][]porcupine.Operation
	// outcomes counts the results of chat requests and lookups.
	outcomes       map[string]int
	faults         map[string]int
	violations     []string
	documentNumber int
	// entriesAdded makes the names of added entries unique.
	entriesAdded int
}

func (s *schedule) randIntN(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(n)
}

func (s *schedule) randDuration(limit time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *schedule) count(counts map[string]int, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts[key]++
}

func (s *schedule) entry() ident.InstanceName {
	for {
		if names := s.f.EntryNames(); len(names) > 0 {
			return names[s.randIntN(len(names))]
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// chat sends a chat request: its response must be complete and correct, or report
// that it is not.
func (s *schedule) chat(worker, round int) {
	prompt := fmt.Sprintf("packet %d %d length=%d", worker, round, 10+s.randIntN(80))
	if s.randIntN(40) == 0 {
		prompt += " " + fake.PoisonMarker
	}
	chat, err := s.f.Caller(s.entry()).Chat(context.Background(), "packet-reading", prompt, s.randIntN(2) == 0)
	expected := fake.Output(caller.RenderPrompt(prompt), maxOutput)
	switch {
	case err != nil:
		s.count(s.outcomes, "interrupted")
	case chat.Problem != nil:
		s.count(s.outcomes, "refused")
	case chat.Complete && chat.Text == expected:
		s.count(s.outcomes, "complete")
	default:
		s.report("an incorrect response was reported as complete: %q", chat.Text)
	}
	if !strings.HasPrefix(expected, chat.Text) {
		s.report("%q is not a prefix of the correct output %q", chat.Text, expected)
	}
}

func (s *schedule) report(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// renew sends one of a few renewals, so that most are sent more than once.
func (s *schedule) renew(client, round int) {
	permit := fmt.Sprintf("p%d-%d", round/5, s.randIntN(6))
	started := time.Now().UnixNano()
	result, err := s.f.Caller(s.entry()).Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "",
		fmt.Sprintf(`{"permit":%q,"period":"1","sent-at":%d}`, permit, started))
	outcome := observedOutcome(result, err)
	ended := time.Now().UnixNano()
	if outcome == "unknown" {
		// An action with an unknown outcome may take effect at any later time.
		ended = math.MaxInt64
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.actions[permit] = append(s.actions[permit], porcupine.Operation{ClientId: client, Input: permit, Output: outcome, Call: started, Return: ended})
}

// observedOutcome returns what a caller observes: the response, not-run or unknown.
func observedOutcome(result caller.CallResult, err error) string {
	switch {
	case err == nil && result.Problem == nil:
		return "response " + result.Body
	case err == nil && result.Problem.Outcome == fault.NotExecuted:
		return "not-run"
	}
	return "unknown"
}

func (s *schedule) lookup(worker, _ int) {
	result, err := s.f.Caller(s.entry()).Call(context.Background(), "renewal-desk", http.MethodGet, fmt.Sprintf("/permits/%d/status", worker), "", "")
	if err == nil && result.Problem == nil {
		s.count(s.outcomes, "lookup succeeded")
	}
}

// changeDocument activates the document with the next number and checks that no
// entry serves an older one after MaxStaleness.
func (s *schedule) changeDocument() {
	s.mutex.Lock()
	s.documentNumber++
	number := s.documentNumber
	s.mutex.Unlock()
	if err := putClock(s.f, "operator", number, docset.AnyRevision); err != nil {
		s.count(s.faults, "change not accepted")
		return
	}
	s.count(s.faults, "change accepted")
	time.Sleep(docset.MaxStaleness)
	for _, entry := range s.f.EntryNames() {
		for older := 1; older < number; older++ {
			result, err := s.f.Caller(entry).Call(context.Background(), "clock", http.MethodGet, fmt.Sprint("/number/", older), "", "")
			if err == nil && result.Problem == nil {
				s.report("%s serves number %d after number %d was accepted", entry, older, number)
			}
		}
	}
}

var (
	modelNames = []ident.EndpointName{"p1", "p2", "d1", "d2", "d3"}
	plainNames = []ident.EndpointName{"r1", "r2", "r3"}
)

// injectFaults injects random faults, one after another. Two calls run concurrently,
// so that faults overlap.
func (s *schedule) injectFaults(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(s.randDuration(3 * time.Second))
		kinds := []func() string{
			s.killAgent, s.killEngine, s.killEntry, s.failPlatform, s.partitionAgent, s.partitionPlatform, s.stallTransfers, s.replaceAgent,
		}
		s.count(s.faults, kinds[s.randIntN(len(kinds))]())
	}
}

func (s *schedule) killAgent() string {
	names := append(append([]ident.EndpointName(nil), modelNames...), plainNames...)
	name := names[s.randIntN(len(names))]
	s.f.KillAgent(name)
	time.Sleep(s.randDuration(3 * time.Second))
	assert.NilError(s.t, s.f.RestartAgent(name))
	return "agent killed"
}

func (s *schedule) killEngine() string {
	name := modelNames[s.randIntN(len(modelNames))]
	s.f.KillEngine(name)
	time.Sleep(s.randDuration(3 * time.Second))
	s.f.RestartEngine(name)
	return "engine killed"
}

func (s *schedule) killEntry() string {
	s.mutex.Lock()
	s.entriesAdded++
	name := ident.InstanceName(fmt.Sprint("extra", s.entriesAdded))
	s.mutex.Unlock()
	assert.NilError(s.t, s.f.AddEntry(name, "cascadia-west"))
	time.Sleep(s.randDuration(8 * time.Second))
	names := s.f.EntryNames()
	s.f.KillEntry(names[s.randIntN(len(names))])
	return "entry killed"
}

func (s *schedule) failPlatform() string {
	faults := []fake.PlatformFaults{{Down: true}, {ExtraLatency: s.randDuration(1500 * time.Millisecond)}, {LoseResponses: 1 + s.randIntN(5)}}
	s.f.Platform.SetFaults(faults[s.randIntN(len(faults))])
	time.Sleep(s.randDuration(8 * time.Second))
	s.f.Platform.SetFaults(fake.PlatformFaults{})
	return "platform failed"
}

func (s *schedule) partitionAgent() string {
	entry, agent := s.entry(), AgentHost(modelNames[s.randIntN(len(modelNames))])
	s.f.Network.Partition(memnet.Host(entry), agent)
	time.Sleep(s.randDuration(6 * time.Second))
	s.f.Network.Heal(memnet.Host(entry), agent)
	return "entry and agent partitioned"
}

func (s *schedule) partitionPlatform() string {
	host := AgentHost(plainNames[s.randIntN(len(plainNames))])
	if s.randIntN(2) == 0 {
		host = memnet.Host(s.entry())
	}
	s.f.Network.Partition(host, "platform")
	time.Sleep(s.randDuration(12 * time.Second))
	s.f.Network.Heal(host, "platform")
	return "platform partitioned"
}

func (s *schedule) stallTransfers() string {
	engine := s.f.Endpoint(modelNames[2+s.randIntN(3)]).Engine()
	engine.StallTransfers(true)
	time.Sleep(s.randDuration(4 * time.Second))
	engine.StallTransfers(false)
	return "transfers stalled"
}

func (s *schedule) replaceAgent() string {
	name := plainNames[s.randIntN(len(plainNames))]
	s.f.StopAgent(name, 20*time.Second)
	assert.NilError(s.t, s.f.RestartAgent(name))
	return "agent replaced"
}

// TestSchedules checks all properties together under random faults: actions run at
// most once, responses are complete and correct or report that they are not, no
// outdated document is served, and memory and reservations are freed.
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
		actions: map[string][]porcupine.Operation{}, outcomes: map[string]int{}, faults: map[string]int{},
	}
	until := time.Now().Add(scheduleDuration)
	var tasks conc.WaitGroup
	loop := func(worker int, step func(worker, round int)) {
		tasks.Go(func() {
			for round := 0; time.Now().Before(until); round++ {
				step(worker, round)
				time.Sleep(s.randDuration(2 * time.Second))
			}
		})
	}
	for worker := range 10 {
		loop(worker, s.chat)
	}
	for worker := range 6 {
		loop(worker, s.renew)
	}
	for worker := range 4 {
		loop(worker, s.lookup)
	}
	for range 2 {
		tasks.Go(func() { s.injectFaults(until) })
	}
	loop(0, func(int, int) {
		s.changeDocument()
		time.Sleep(s.randDuration(5 * time.Second))
	})
	tasks.Wait()
	time.Sleep(recoveryTime)
	s.check()
}

func (s *schedule) check() {
	s.t.Helper()
	runs := s.runs()
	for permit, bodies := range runs {
		assert.Assert(s.t, len(bodies) <= 1, "%s ran %d times", permit, len(bodies))
	}
	operations := 0
	for permit, history := range s.actions {
		operations += len(history)
		assert.Assert(s.t, porcupine.CheckOperations(renewalModel(), history), "the history of %s violates the model: %+v", permit, history)
		for _, operation := range history {
			ran := len(runs[permit]) > 0
			assert.Assert(s.t, ran || !strings.HasPrefix(operation.Output.(string), "response"), "%s got a response without being executed", permit)
		}
	}
	assert.DeepEqual(s.t, s.violations, []string(nil))
	assert.Equal(s.t, countEngineRequests(s.f), 0, "engines still hold memory")
	assert.Equal(s.t, countInFlight(s.f), 0, "agents still count requests as in flight")
	s.t.Logf("%d requests for %d renewals, %d ran; outcomes %s; faults %s",
		operations, len(s.actions), len(runs), formatCounts(s.outcomes), formatCounts(s.faults))
	assert.Assert(s.t, s.outcomes["complete"] > 0 && len(runs) > 0, "the schedule served nothing")
}

// runs returns the bodies of each permit's executed renewals at all endpoints.
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

// renewalModel models what callers observe of one renewal: it runs at most once, and
// all responses to it are the same.
func renewalModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, _, output any) []any {
			previous, outcome := state.(string), output.(string)
			switch {
			case outcome == "not-run" && previous == "":
				return []any{""}
			case outcome == "unknown" && previous == "":
				return []any{"", "ran"}
			case outcome == "unknown":
				return []any{previous}
			case strings.HasPrefix(outcome, "response") && (previous == "" || previous == "ran" || previous == outcome):
				return []any{outcome}
			}
			return nil
		},
	}
	return model.ToModel()
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for key, count := range counts {
		parts = append(parts, fmt.Sprint(key, " ", count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
