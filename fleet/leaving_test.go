package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/conf"
	"crocusstep/ident"
	"crocusstep/parser"
)

// maxLeavingDelay bounds how long an endpoint receives new requests after it is marked as
// leaving in the list of instances alone: the list's lag of 4 s and 1.5 intervals of
// 2 s in which the entries read it.
const maxLeavingDelay = 4*time.Second + 3*time.Second

// loadGenerator sends chat requests, actions and lookups until stop is called, and
// collects the errors.
type loadGenerator struct {
	f       *Fleet
	tasks   conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	random  *rand.Rand
	chats   int
	actions int
	lookups int
	errors  []string
}

func newLoadGenerator(f *Fleet, seed uint64, chatClients, actionClients, lookupClients int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{f: f, ctx: ctx, cancel: cancel, random: rand.New(rand.NewPCG(seed, 9))}
	for i := range chatClients {
		l.tasks.Go(func() { l.loop(i, l.chat) })
	}
	for i := range actionClients {
		l.tasks.Go(func() { l.loop(i, l.action) })
	}
	for i := range lookupClients {
		l.tasks.Go(func() { l.loop(i, l.lookup) })
	}
	return l
}

// stop returns after the requests in flight have ended.
func (l *loadGenerator) stop() {
	l.cancel()
	l.tasks.Wait()
}

func (l *loadGenerator) loop(worker int, step func(worker, round int)) {
	for round := 0; l.ctx.Err() == nil; round++ {
		step(worker, round)
		time.Sleep(l.randDuration(time.Second))
	}
}

func (l *loadGenerator) randDuration(limit time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Duration(l.random.Int64N(int64(limit)))
}

// readyEntry returns a random ready entry, as a load balancer would choose it.
func (l *loadGenerator) readyEntry() ident.InstanceName {
	for {
		var ready []ident.InstanceName
		for _, name := range l.f.EntryNames() {
			if l.f.Ready(name) {
				ready = append(ready, name)
			}
		}
		if len(ready) > 0 {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			return ready[l.random.IntN(len(ready))]
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (l *loadGenerator) record(count *int, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	*count++
	if err != nil {
		l.errors = append(l.errors, err.Error())
	}
}

func (l *loadGenerator) chat(worker, round int) {
	_, err := sendChat(l.f, l.readyEntry(), fmt.Sprintf("packet %d %d length=40", worker, round))
	l.record(&l.chats, err)
}

func (l *loadGenerator) action(worker, round int) {
	body := fmt.Sprintf(`{"permit":"%d","period":"%d"}`, worker, round)
	result, err := l.f.Caller(l.readyEntry()).Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "", body)
	if err == nil && result.Problem != nil {
		err = fmt.Errorf("action refused: %s: %s", result.Problem.Code, result.Problem.Detail)
	}
	l.record(&l.actions, err)
}

func (l *loadGenerator) lookup(worker, _ int) {
	result, err := l.f.Caller(l.readyEntry()).Call(context.Background(), "renewal-desk", http.MethodGet, fmt.Sprintf("/permits/%d/status", worker), "", "")
	if err == nil && result.Problem != nil {
		err = fmt.Errorf("lookup refused: %s: %s", result.Problem.Code, result.Problem.Detail)
	}
	l.record(&l.lookups, err)
}

// TestRollingReplacement replaces every agent and every entry under load, and checks
// that no request is interrupted, refused or executed twice.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		l := newLoadGenerator(f, 1, 12, 4, 8)
		defer l.stop()
		for _, name := range []ident.EndpointName{"p1", "p2", "d1", "d2", "d3", "r1", "r2", "r3"} {
			f.StopAgent(name, time.Minute)
			time.Sleep(500 * time.Millisecond)
			assert.NilError(t, f.RestartAgent(name))
			time.Sleep(8 * time.Second)
		}
		for i, name := range []ident.InstanceName{"e1", "e2"} {
			assert.NilError(t, f.AddEntry(ident.InstanceName(fmt.Sprint("new", i)), "cascadia-west"))
			time.Sleep(10 * time.Second)
			f.StopEntry(name, conf.Shutdown{Timeout: parser.Duration(time.Minute)})
		}
		l.stop()
		t.Logf("%d chat requests, %d actions, %d lookups", l.chats, l.actions, l.lookups)
		assert.DeepEqual(t, l.errors, []string(nil))
		assert.Equal(t, countRuns(f), l.actions+l.lookupRuns())
	})
}

// lookupRuns counts the lookups that reached an endpoint: fewer than were sent,
// since some are shared.
func (l *loadGenerator) lookupRuns() int {
	count := 0
	for _, e := range l.f.Endpoints("renewal-desk") {
		for _, run := range e.PlainService.Runs() {
			if run.Method == http.MethodGet {
				count++
			}
		}
	}
	return count
}

// TestLeavingEndpoint marks an endpoint as leaving only in the list of instances,
// which lags, and checks that it receives no new requests after maxLeavingDelay.
func TestLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		l := newLoadGenerator(f, 2, 40, 0, 0)
		defer l.stop()
		time.Sleep(5 * time.Second)
		f.MarkLeaving("d1")
		time.Sleep(maxLeavingDelay)
		// The requests in flight have 40 tokens, and so end within this.
		time.Sleep(5 * time.Second)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(f.Endpoint("d1").Engine().Requests()), 0, "the leaving endpoint received a new request")
		}
		l.stop()
		assert.DeepEqual(t, l.errors, []string(nil))
	})
}

// TestDrainingAgent drains an agent that cannot reach the platform, so neither the
// list of instances nor its own record shows it, and checks that it receives no new
// requests.
func TestDrainingAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		l := newLoadGenerator(f, 3, 40, 0, 0)
		defer l.stop()
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f.Network.Partition(AgentHost("d1"), "platform")
		f.Endpoint("d1").Agent().Drain(ctx)
		assert.NilError(t, ctx.Err(), "the drain did not end")
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(f.Endpoint("d1").Engine().Requests()), 0, "the draining endpoint received a new request")
		}
		l.stop()
		assert.DeepEqual(t, l.errors, []string(nil))
	})
}
