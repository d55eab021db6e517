package trial

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/ledger"
	"crocusstep/memnet"
	"crocusstep/platform"
)

const ledgerOwners = 3

// benchLedger measures one method of recording actions in virtual time.
func benchLedger(t *testing.T, sharded bool, actions int, rate float64) (result LedgerResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Hour) }) // Lets sleeping handlers end.
		network := memnet.NewNetwork()
		platformFake := fake.NewPlatform(fake.PlatformConfig{Latency: 3 * time.Millisecond, WritesPerSecond: 300})
		server := &http.Server{Handler: platformFake.Handler()}
		listener := network.Listen("platform", "platform:1")
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var runners []ActionRunner
		var ledgers []*ledger.Ledger
		method := "one object per action"
		for i := range ledgerOwners {
			client := network.Client(memnet.Host(fmt.Sprint("owner", i)))
			defer client.CloseIdleConnections()
			s := platform.NewStore(platform.StoreConfig{Address: "platform:1", HTTP: client, Timeout: 10 * time.Second})
			if !sharded {
				runners = append(runners, ObjectPerAction{Store: s})
				continue
			}
			method = "grouped by shard"
			l, err := NewShardedLedger(ctx, s, fmt.Sprint("owner", i))
			assert.NilError(t, err)
			runners = append(runners, l)
			ledgers = append(ledgers, l)
		}
		result = RunLedger(method, runners, actions, rate)
		for _, l := range ledgers {
			l.Flush(ctx)
		}
		result.Writes = platformFake.Calls().Writes
		cancel()
		for _, l := range ledgers {
			l.Wait()
		}
	})
	return result
}

// TestLedgerWrites checks that the ledger needs fewer writes than actions, as the
// platform's write rate is limited.
func TestLedgerWrites(t *testing.T) {
	r := benchLedger(t, true, 1000, 1000)
	assert.Equal(t, r.Failed, 0)
	assert.Assert(t, r.Writes < r.Actions, "%d writes for %d actions", r.Writes, r.Actions)
}

// TestMeasureLedger compares both methods and writes docs/measure/ledger.md.
func TestMeasureLedger(t *testing.T) {
	folder := os.Getenv(measureVariable)
	if folder == "" {
		t.Skip("make measure runs this")
	}
	results := map[string][]LedgerResult{}
	for _, load := range []struct {
		name string
		rate float64
	}{{"1: 20 per second", 20}, {"2: 100 per second", 100}, {"3: 500 per second", 500}, {"4: 2000 at once", 1e9}} {
		actions := int(min(load.rate*10, 2000))
		for _, sharded := range []bool{true, false} {
			results[load.name] = append(results[load.name], benchLedger(t, sharded, actions, load.rate))
		}
	}
	file, err := os.Create(filepath.Join(folder, "ledger.md"))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	assert.NilError(t, WriteLedgerTable(file, results))
}
