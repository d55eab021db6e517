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

// ActionRunner runs actions and records them on the platform.
type ActionRunner interface {
	Run(ctx context.Context, action ledger.Action, call ledger.CallFunc) (ledger.Result, error)
}

// ObjectPerAction is the baseline: it stores one object for each action, created before
// the call and updated after it.
type ObjectPerAction struct {
	Store store.Store
}

// Run implements ActionRunner.
func (p ObjectPerAction) Run(ctx context.Context, action ledger.Action, call ledger.CallFunc) (result ledger.Result, err error) {
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

// LedgerResult is the result of one method under one load.
type LedgerResult struct {
	Method   string
	Actions  int
	Failed   int
	Writes   int
	Duration time.Duration
	// Latencies holds those of the actions that did not fail, sorted.
	Latencies []time.Duration
}

// NewShardedLedger returns the router's ledger, which groups actions by shard, for one
// owner.
func NewShardedLedger(ctx context.Context, s store.Store, owner string) (*ledger.Ledger, error) {
	c, err := common.NewDiscard()
	if err != nil {
		return nil, err
	}
	return ledger.NewLedger(ctx, c, ledger.Config{Store: s, Owner: ident.InstanceName(owner), Incarnation: ident.NewNonce()}), nil
}

// RunLedger sends actions at a constant rate, given per second, through runners, each of
// which owns its shards, and measures latencies and failures. It must run in virtual time.
func RunLedger(method string, runners []ActionRunner, actions int, rate float64) LedgerResult {
	const callDuration = 20 * time.Millisecond
	result := LedgerResult{Method: method, Actions: actions}
	var mutex sync.Mutex
	var tasks conc.WaitGroup
	started := time.Now()
	for i := range actions {
		key := ident.IdempotencyKey(fmt.Sprint("key-", i))
		runner := runners[ledger.ShardIndex(key, 16)%len(runners)]
		tasks.Go(func() {
			time.Sleep(time.Duration(float64(i) / rate * float64(time.Second)))
			sent := time.Now()
			_, err := runner.Run(context.Background(), ledger.Action{
				Service: "s", Shards: 16, Retention: 24 * time.Hour, Key: key, Digest: "d", Attempt: ident.NewAttemptID(),
			}, func(context.Context, store.Version) (ledger.Response, error) {
				time.Sleep(callDuration)
				return ledger.Response{Status: 201, Body: []byte(`{"run":1}`)}, nil
			})
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				result.Failed++
				return
			}
			result.Latencies = append(result.Latencies, time.Since(sent))
		})
	}
	tasks.Wait()
	result.Duration = time.Since(started)
	slices.Sort(result.Latencies)
	return result
}

// WriteLedgerTable writes the results as a Markdown table.
func WriteLedgerTable(w io.Writer, results map[string][]LedgerResult) error {
	var errs error
	row := func(format string, args ...any) {
		_, err := fmt.Fprintf(w, format, args...)
		errs = errors.Join(errs, err)
	}
	row("## Records of actions\n\nThe platform accepts 300 writes per second, each in 3 ms; the call takes 20 ms; 3 owners, 16 shards.\n\n")
	row("| load | method | actions | failed | writes per action | latency ms 50/95/99 |\n|---|---|---|---|---|---|\n")
	for _, load := range slices.Sorted(maps.Keys(results)) {
		for _, r := range results[load] {
			row("| %s | %s | %d | %d | %.2f | %s |\n", load, r.Method, r.Actions, r.Failed, float64(r.Writes)/float64(r.Actions), r.latencies())
		}
	}
	return errs
}

func (r LedgerResult) latencies() string {
	if len(r.Latencies) == 0 {
		return "-"
	}
	at := func(q float64) int64 { return r.Latencies[int(q*float64(len(r.Latencies)-1))].Milliseconds() }
	return fmt.Sprintf("%d / %d / %d", at(0.5), at(0.95), at(0.99))
}
