package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/ledger"
	"crocusstep/store"
)

// Recorder is a way to keep the records of actions.
type Recorder interface {
	Run(ctx context.Context, action ledger.Action, call ledger.CallFunc) (ledger.Result, error)
}

// PerAction is the baseline: one object for each action, created before the
// call and updated after it.
type PerAction struct {
	Store store.Store
}

// Run implements Recorder.
func (p PerAction) Run(ctx context.Context, action ledger.Action, call ledger.CallFunc) (result ledger.Result, err error) {
	key := store.Key{Kind: "action", Name: string(action.Key)}
	version, err := p.Store.Put(ctx, key, []byte(action.Digest), 0)
	if err != nil {
		return result, err
	}
	result.Response, err = call(ctx, version)
	if err != nil {
		return result, err
	}
	value, err := json.Marshal(result.Response)
	if err != nil {
		return result, err
	}
	_, err = p.Store.Put(ctx, key, value, version)
	return result, err
}

// LedgerResult is one way under one load.
type LedgerResult struct {
	Way     string
	Actions int
	Failed  int
	Writes  int
	Took    time.Duration
	// Latencies is those of the actions that were answered, in order.
	Latencies []time.Duration
}

// Grouped returns the product's ledger for one holder.
func Grouped(ctx context.Context, s store.Store, holder string) (*ledger.Ledger, error) {
	c, err := common.NewDiscard()
	if err != nil {
		return nil, err
	}
	return ledger.NewLedger(ctx, c, ledger.Config{Store: s, Owner: ident.InstanceName(holder), Incarnation: ident.NewNonce()}), nil
}

// RunLedger sends actions at a steady rate through holders, each of which owns
// its shards, and counts what that costs. It must run in virtual time.
func RunLedger(way string, holders []Recorder, actions int, rate float64) LedgerResult {
	const work = 20 * time.Millisecond
	result := LedgerResult{Way: way, Actions: actions}
	var mutex sync.Mutex
	var tasks conc.WaitGroup
	started := time.Now()
	for i := range actions {
		key := ident.IdempotencyKey(fmt.Sprint("key-", i))
		holder := holders[ledger.ShardIndex(key, 16)%len(holders)]
		tasks.Go(func() {
			time.Sleep(time.Duration(float64(i) / rate * float64(time.Second)))
			asked := time.Now()
			_, err := holder.Run(context.Background(), ledger.Action{
				Service: "s", Shards: 16, Retention: 24 * time.Hour, Key: key, Digest: "d", Attempt: ident.NewAttemptID(),
			}, func(context.Context, store.Version) (ledger.Response, error) {
				time.Sleep(work)
				return ledger.Response{Status: 201, Body: []byte(`{"run":1}`)}, nil
			})
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				result.Failed++
				return
			}
			result.Latencies = append(result.Latencies, time.Since(asked))
		})
	}
	tasks.Wait()
	result.Took = time.Since(started)
	slices.Sort(result.Latencies)
	return result
}

// WriteLedgerTable writes the results as a Markdown table.
func WriteLedgerTable(w io.Writer, results map[string][]LedgerResult) error {
	var failures error
	row := func(format string, args ...any) {
		_, err := fmt.Fprintf(w, format, args...)
		failures = errors.Join(failures, err)
	}
	row("## Records of actions\n\nThe platform takes 300 writes a second, each in 3 ms; the call takes 20 ms; 3 holders, 16 shards.\n\n")
	row("| load | way | actions | failed | writes per action | latency ms 50/95/99 |\n|---|---|---|---|---|---|\n")
	for _, load := range slices.Sorted(maps.Keys(results)) {
		for _, r := range results[load] {
			row("| %s | %s | %d | %d | %.2f | %s |\n", load, r.Way, r.Actions, r.Failed, float64(r.Writes)/float64(r.Actions), r.latencies())
		}
	}
	return failures
}

func (r LedgerResult) latencies() string {
	if len(r.Latencies) == 0 {
		return "-"
	}
	at := func(q float64) int64 { return r.Latencies[int(q*float64(len(r.Latencies)-1))].Milliseconds() }
	return fmt.Sprintf("%d / %d / %d", at(0.5), at(0.95), at(0.99))
}
