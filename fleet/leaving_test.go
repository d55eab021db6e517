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

	"crocusstep/ident"
)

// leavingBound is how long an endpoint that is only on the list as leaving may
// get new work: the list's lag of 4 s and one and a half readings of it.
const leavingBound = 4*time.Second + 3*time.Second

// load keeps callers of all kinds busy until stop is called, and collects what
// went wrong.
type load struct {
	f        *Fleet
	tasks    conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	mutex    sync.Mutex
	random   *rand.Rand
	asked    int
	actions  int
	lookups  int
	problems []string
}

func newLoad(f *Fleet, seed uint64, readers, actors, lookers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{f: f, ctx: ctx, cancel: cancel, random: rand.New(rand.NewPCG(seed, 9))}
	for i := range readers {
		l.tasks.Go(func() { l.loop(i, l.read) })
	}
	for i := range actors {
		l.tasks.Go(func() { l.loop(i, l.act) })
	}
	for i := range lookers {
		l.tasks.Go(func() { l.loop(i, l.look) })
	}
	return l
}

// stop ends the load after the requests under way.
func (l *load) stop() {
	l.cancel()
	l.tasks.Wait()
}

func (l *load) loop(worker int, step func(worker, round int)) {
	for round := 0; l.ctx.Err() == nil; round++ {
		step(worker, round)
		time.Sleep(l.drawSpan(time.Second))
	}
}

func (l *load) drawSpan(most time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Duration(l.random.Int64N(int64(most)))
}

// entry chooses one that the balancer would choose.
func (l *load) entry() ident.InstanceName {
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

func (l *load) note(count *int, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	*count++
	if err != nil {
		l.problems = append(l.problems, err.Error())
	}
}

func (l *load) read(worker, round int) {
	_, err := ask(l.f, l.entry(), fmt.Sprintf("packet %d %d length=40", worker, round))
	l.note(&l.asked, err)
}

func (l *load) act(worker, round int) {
	body := fmt.Sprintf(`{"permit":"%d","period":"%d"}`, worker, round)
	reply, err := l.f.Caller(l.entry()).Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "", body)
	if err == nil && reply.Problem != nil {
		err = fmt.Errorf("action refused: %s: %s", reply.Problem.Code, reply.Problem.Detail)
	}
	l.note(&l.actions, err)
}

func (l *load) look(worker, _ int) {
	reply, err := l.f.Caller(l.entry()).Call(context.Background(), "renewal-desk", http.MethodGet, fmt.Sprintf("/permits/%d/status", worker), "", "")
	if err == nil && reply.Problem != nil {
		err = fmt.Errorf("lookup refused: %s: %s", reply.Problem.Code, reply.Problem.Detail)
	}
	l.note(&l.lookups, err)
}

// TestRollingReplacement replaces every agent and every entry under load:
// nothing is cut, refused or run twice.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		l := newLoad(f, 1, 12, 4, 8)
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
			f.StopEntry(name, time.Minute)
		}
		l.stop()
		t.Logf("%d readings, %d actions, %d lookups", l.asked, l.actions, l.lookups)
		assert.DeepEqual(t, l.problems, []string(nil))
		assert.Equal(t, countRuns(f), l.actions+l.lookupRuns())
	})
}

// lookupRuns counts the lookups that reached an endpoint, as some are shared.
func (l *load) lookupRuns() int {
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

// TestLeavingEndpoint marks an endpoint as leaving on the lagging list only.
func TestLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		l := newLoad(f, 2, 40, 0, 0)
		defer l.stop()
		time.Sleep(5 * time.Second)
		f.MarkLeaving("d1")
		time.Sleep(leavingBound)
		// What had begun by now ends within its 40 tokens.
		time.Sleep(5 * time.Second)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(f.Endpoint("d1").Engine().Requests()), 0, "the leaving endpoint got new work")
		}
		l.stop()
		assert.DeepEqual(t, l.problems, []string(nil))
	})
}

// TestDrainingAgent tells the agent alone; neither the list nor its own record,
// which it cannot write, says anything.
func TestDrainingAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		l := newLoad(f, 3, 40, 0, 0)
		defer l.stop()
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f.Network.Partition(AgentHost("d1"), "platform")
		f.Endpoint("d1").Agent().Drain(ctx)
		assert.NilError(t, ctx.Err(), "the drain did not end")
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(f.Endpoint("d1").Engine().Requests()), 0, "the draining endpoint got new work")
		}
		l.stop()
		assert.DeepEqual(t, l.problems, []string(nil))
	})
}
