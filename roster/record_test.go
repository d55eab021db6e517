package roster

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/platform"
	"crocusstep/store"
)

func TestUpToDate(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	of := func(state store.InstanceState, address ident.Address, registered time.Time) Record {
		return Record{Instance: store.Instance{Name: "i", Address: address, State: state}, Registered: registered}
	}
	scenarios := []struct {
		testName       string
		stored, wanted Record
		expected       bool
	}{
		{"the same", of(store.Live, "a", at), of(store.Live, "a", at), true},
		{"marked as leaving by an entry", of(store.Leaving, "a", at), of(store.Live, "a", at), true},
		{"starts to drain", of(store.Live, "a", at), of(store.Leaving, "a", at), false},
		{"written by an earlier process", of(store.Leaving, "a", at), of(store.Live, "a", at.Add(time.Second)), false},
		{"another address", of(store.Live, "a", at), of(store.Live, "b", at), false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { assert.Equal(t, upToDate(s.stored, s.wanted), s.expected) })
	}
}

func TestReconcile(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	scenarios := []struct {
		testName   string
		registered time.Time
		listed     []store.Instance
		expected   []Change
	}{
		{"listed and live", now.Add(-time.Hour), []store.Instance{{Name: "i", State: store.Live}}, nil},
		{"missing from the list", now.Add(-time.Hour), nil, []Change{{Name: "e", Deleted: true, Registered: now.Add(-time.Hour)}}},
		{"too new to be on the list", now.Add(-time.Second), nil, nil},
		{"leaving", now.Add(-time.Hour), []store.Instance{{Name: "i", State: store.Leaving}}, []Change{{Name: "e", Registered: now.Add(-time.Hour)}}},
		{"restarted while the list still shows the old process leaving", now.Add(-time.Second), []store.Instance{{Name: "i", State: store.Leaving}}, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			records := map[ident.EndpointName]Record{"e": {Instance: store.Instance{Name: "i", Endpoint: "e", State: store.Live}, Registered: s.registered}}
			assert.DeepEqual(t, Reconcile(records, s.listed, now), s.expected)
		})
	}
}

// TestReconcileKeepsNewProcess guards against deleting the record of a process
// that registered after the list was read and before the change is written.
func TestReconcileKeepsNewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Hour) }) // Handlers that sleep end within this.
		network := memnet.NewNetwork()
		server := &http.Server{Handler: fake.NewPlatform(fake.PlatformConfig{Latency: time.Millisecond}).Handler()}
		listener := network.Listen("platform", "platform:1")
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		client := network.Client("test")
		defer client.CloseIdleConnections()
		s := platform.NewStore(platform.StoreConfig{Address: "platform:1", HTTP: client, Timeout: time.Second})
		value, err := json.Marshal(Record{Instance: store.Instance{Name: "i", Endpoint: "e"}, Registered: time.Now()})
		assert.NilError(t, err)
		key := store.Key{Kind: Kind, Name: "e"}
		_, err = s.Put(t.Context(), key, value, 0)
		assert.NilError(t, err)
		c, err := common.NewDiscard()
		assert.NilError(t, err)
		r := NewRoster(c, s)
		assert.NilError(t, r.write(t.Context(), Change{Name: "e", Deleted: true, Registered: time.Now().Add(-time.Hour)}))
		_, err = s.Get(t.Context(), key)
		assert.NilError(t, err, "the new process's record was deleted")
	})
}
