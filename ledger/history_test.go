package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/platform"
	"crocusstep/seed"
	"crocusstep/store"
)

const (
	historyHolders = 3
	historyCallers = 8
	historyKeys    = 5
	historySpan    = 60 * time.Second
)

// verdict is what a caller was told of one sending.
type verdict struct {
	kind verdictKind
	// answer is the run that answered.
	answer string
}

type verdictKind string

const (
	answered verdictKind = "answered"
	notRun   verdictKind = "not-run"
	unknown  verdictKind = "unknown"
)

// actionState is a key's state in the model.
type actionState string

const (
	neverRan actionState = ""
	// ranSomehow is a run whose answer nobody has seen yet.
	ranSomehow actionState = "?"
)

// actionModel is the promise of one key: it runs at most once, all answers are
// that run's, and not-run is said only while nothing has run.
func actionModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{neverRan} },
		Step: func(state, _, output any) []any {
			before := state.(actionState)
			told := output.(verdict)
			switch {
			case told.kind == notRun && before == neverRan:
				return []any{neverRan}
			case told.kind == unknown && before == neverRan:
				return []any{neverRan, ranSomehow}
			case told.kind == unknown:
				return []any{before}
			case told.kind == answered && (before == neverRan || before == ranSomehow || before == actionState(told.answer)):
				return []any{actionState(told.answer)}
			}
			return nil
		},
	}
	return model.ToModel()
}

// bench is a platform with several holders that can be killed.
type bench struct {
	t        *testing.T
	network  *memnet.Network
	platform *fake.Platform
	random   *rand.Rand

	mutex   sync.Mutex
	holders []*holder
	runs    map[ident.IdempotencyKey]int
	history map[ident.IdempotencyKey][]porcupine.Operation
	// told counts the verdicts, to show that a run tried something.
	told map[verdictKind]int
}

// holder is one incarnation of an agent.
type holder struct {
	host   memnet.Host
	ledger *Ledger
	cancel context.CancelFunc
	ctx    context.Context
}

func newBench(t *testing.T, seed uint64) *bench {
	b := &bench{
		t:        t,
		network:  memnet.NewNetwork(),
		platform: fake.NewPlatform(fake.PlatformConfig{Latency: 3 * time.Millisecond}),
		random:   rand.New(rand.NewPCG(seed, 1)),
		runs:     map[ident.IdempotencyKey]int{},
		history:  map[ident.IdempotencyKey][]porcupine.Operation{},
		told:     map[verdictKind]int{},
		holders:  make([]*holder, historyHolders),
	}
	t.Cleanup(func() { time.Sleep(time.Minute) }) // Handlers that sleep end within this.
	serve(t, b.network, "platform:1", b.platform.Handler())
	for i := range b.holders {
		b.restart(i)
	}
	t.Cleanup(func() {
		for _, h := range b.holders {
			h.cancel()
			h.ledger.Wait()
		}
	})
	return b
}

// restart starts a new incarnation in place of the i-th holder.
func (b *bench) restart(i int) {
	c, err := common.NewDiscard()
	assert.NilError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	host := memnet.Host(fmt.Sprintf("holder-%d", i))
	client := b.network.Client(host)
	b.t.Cleanup(client.CloseIdleConnections)
	h := &holder{host: host, ctx: ctx, cancel: cancel}
	h.ledger = NewLedger(ctx, c, Config{
		Store:       platform.NewStore(platform.StoreConfig{Address: "platform:1", HTTP: client, Timeout: time.Second}),
		Owner:       ident.InstanceName(host),
		Incarnation: ident.NewNonce(),
	})
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.holders[i] = h
}

func (b *bench) kill(i int) {
	b.mutex.Lock()
	h := b.holders[i]
	b.mutex.Unlock()
	h.cancel()
	b.network.Kill(h.host)
}

func (b *bench) draw(n int) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.random.IntN(n)
}

func (b *bench) drawSpan(most time.Duration) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Duration(b.random.Int64N(int64(most)))
}

// call is the endpoint as a holder reaches it. A killed holder sends nothing
// more; what it has sent takes effect. One call in eight is held back for long
// between the ledger's last check and the sending, as by a pause.
func (b *bench) call(h *holder, key ident.IdempotencyKey) CallFunc {
	return func(_ context.Context, _ store.Version) (Response, error) {
		if b.draw(8) == 0 {
			time.Sleep(b.drawSpan(40 * time.Second))
		}
		if h.ctx.Err() != nil {
			return Response{}, errors.New("killed")
		}
		if b.draw(10) == 0 {
			return Response{}, ErrNotSent
		}
		time.Sleep(b.drawSpan(200 * time.Millisecond))
		b.mutex.Lock()
		b.runs[key]++
		answer := fmt.Sprintf("%s run %d", key, b.runs[key])
		b.mutex.Unlock()
		time.Sleep(b.drawSpan(200 * time.Millisecond))
		if h.ctx.Err() != nil || b.draw(10) == 0 {
			return Response{}, errors.New("the answer was lost")
		}
		return Response{Status: 200, Body: []byte(answer)}, nil
	}
}

// send sends an action once and notes what came of it.
func (b *bench) send(client int, key ident.IdempotencyKey) {
	b.mutex.Lock()
	h := b.holders[b.random.IntN(historyHolders)]
	b.mutex.Unlock()
	started := time.Now()
	ctx, cancel := context.WithTimeout(h.ctx, 8*time.Second)
	defer cancel()
	result, err := h.ledger.Run(ctx, Action{
		Service:   "s",
		Shards:    2,
		Retention: time.Hour,
		Key:       key,
		Digest:    "d",
		Attempt:   ident.NewAttemptID(),
	}, b.call(h, key))
	told := verdictOf(result, err)
	ended := time.Now().UnixNano()
	if told.kind == unknown {
		// What is unknown may still take effect at any later time.
		ended = math.MaxInt64
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.told[told.kind]++
	b.history[key] = append(b.history[key], porcupine.Operation{
		ClientId: client, Input: key, Call: started.UnixNano(), Output: told, Return: ended,
	})
}

func verdictOf(result Result, err error) verdict {
	if err == nil {
		return verdict{kind: answered, answer: string(result.Response.Body)}
	}
	if fault.AsRefusal(err).Outcome == fault.NotRun {
		return verdict{kind: notRun}
	}
	return verdict{kind: unknown}
}

// disturb kills holders and breaks the platform until the span is over.
func (b *bench) disturb(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(b.drawSpan(4 * time.Second))
		switch b.draw(5) {
		case 0:
			i := b.draw(historyHolders)
			b.kill(i)
			time.Sleep(b.drawSpan(2 * time.Second))
			b.restart(i)
		case 1:
			b.platform.SetFaults(fake.PlatformFaults{Down: true})
			time.Sleep(b.drawSpan(8 * time.Second))
		case 2:
			b.platform.SetFaults(fake.PlatformFaults{SlowNS: b.drawSpan(1500 * time.Millisecond)})
			time.Sleep(b.drawSpan(4 * time.Second))
		case 3:
			b.platform.SetFaults(fake.PlatformFaults{LoseAnswers: 1 + b.draw(4)})
			time.Sleep(time.Second)
		}
		b.platform.SetFaults(fake.PlatformFaults{})
	}
}

// TestHistory runs callers that send the same keys again through several
// holders, under kills, pauses and a failing platform, and checks the history.
func TestHistory(t *testing.T) {
	told := map[verdictKind]int{}
	for _, seed := range seed.List(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, seed)
				until := time.Now().Add(historySpan)
				var tasks conc.WaitGroup
				tasks.Go(func() { b.disturb(until) })
				for client := range historyCallers {
					tasks.Go(func() {
						for round := 0; time.Now().Before(until); round++ {
							key := ident.IdempotencyKey(fmt.Sprintf("key-%d-%d", round/4, b.draw(historyKeys)))
							b.send(client, key)
							time.Sleep(b.drawSpan(2 * time.Second))
						}
					})
				}
				tasks.Wait()
				// Calls that a pause holds back end within this.
				time.Sleep(time.Minute)
				b.check()
				for kind, count := range b.told {
					told[kind] += count
				}
			})
		})
	}
	assert.Assert(t, told[answered] > 0 && told[notRun] > 0 && told[unknown] > 0, "the schedules tried too little: %v", told)
}

func (b *bench) check() {
	b.t.Helper()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	operations := 0
	for key, runs := range b.runs {
		assert.Assert(b.t, runs <= 1, "%s ran %d times", key, runs)
	}
	for key, history := range b.history {
		operations += len(history)
		assert.Assert(b.t, porcupine.CheckOperations(actionModel(), history), "the history of %s breaks the promise: %+v", key, history)
	}
	b.t.Logf("%d sendings of %d keys, %d ran; told %v", operations, len(b.history), len(b.runs), b.told)
}
