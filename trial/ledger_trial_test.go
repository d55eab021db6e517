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

const ledgerHolders = 3

// ledgerBench runs one way of keeping records in virtual time.
func ledgerBench(t *testing.T, grouped bool, actions int, rate float64) (result LedgerResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Hour) }) // Handlers that sleep end within this.
		network := memnet.NewNetwork()
		stand := fake.NewPlatform(fake.PlatformConfig{Latency: 3 * time.Millisecond, WritesPerSecond: 300})
		server := &http.Server{Handler: stand.Handler()}
		listener := network.Listen("platform", "platform:1")
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var holders []Recorder
		var ledgers []*ledger.Ledger
		way := "one object per action"
		for i := range ledgerHolders {
			client := network.Client(memnet.Host(fmt.Sprint("holder", i)))
			defer client.CloseIdleConnections()
			s := platform.NewStore(platform.StoreConfig{Address: "platform:1", HTTP: client, Timeout: 10 * time.Second})
			if !grouped {
				holders = append(holders, PerAction{Store: s})
				continue
			}
			way = "grouped by shard"
			l, err := Grouped(ctx, s, fmt.Sprint("holder", i))
			assert.NilError(t, err)
			holders = append(holders, l)
			ledgers = append(ledgers, l)
		}
		result = RunLedger(way, holders, actions, rate)
		for _, l := range ledgers {
			l.Flush(ctx)
		}
		result.Writes = stand.Calls().Writes
		cancel()
		for _, l := range ledgers {
			l.Wait()
		}
	})
	return result
}

// TestLedgerWrites holds the product to what the platform can carry: the writes
// must not grow one for one with the actions.
func TestLedgerWrites(t *testing.T) {
	r := ledgerBench(t, true, 1000, 1000)
	assert.Equal(t, r.Failed, 0)
	assert.Assert(t, r.Writes < r.Actions, "%d writes for %d actions", r.Writes, r.Actions)
}

// TestMeasureLedger compares the two ways and writes docs/measure/ledger.md.
func TestMeasureLedger(t *testing.T) {
	folder := os.Getenv(measureVariable)
	if folder == "" {
		t.Skip("make measure runs this")
	}
	results := map[string][]LedgerResult{}
	for _, load := range []struct {
		name string
		rate float64
	}{{"1: 20 a second", 20}, {"2: 100 a second", 100}, {"3: 500 a second", 500}, {"4: 2000 at once", 1e9}} {
		actions := int(min(load.rate*10, 2000))
		for _, grouped := range []bool{true, false} {
			results[load.name] = append(results[load.name], ledgerBench(t, grouped, actions, load.rate))
		}
	}
	file, err := os.Create(filepath.Join(folder, "ledger.md"))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	assert.NilError(t, WriteLedgerTable(file, results))
}
