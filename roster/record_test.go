package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
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
		{"begins to drain", of(store.Live, "a", at), of(store.Leaving, "a", at), false},
		{"left by an earlier process", of(store.Leaving, "a", at), of(store.Live, "a", at.Add(time.Second)), false},
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
		{"gone from the list", now.Add(-time.Hour), nil, []Change{{Name: "e", Gone: true}}},
		{"too young to be on the list", now.Add(-time.Second), nil, nil},
		{"leaving", now.Add(-time.Hour), []store.Instance{{Name: "i", State: store.Leaving}}, []Change{{Name: "e"}}},
		{"started anew while the list still shows the old one leaving", now.Add(-time.Second), []store.Instance{{Name: "i", State: store.Leaving}}, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			records := map[ident.EndpointName]Record{"e": {Instance: store.Instance{Name: "i", Endpoint: "e", State: store.Live}, Registered: s.registered}}
			assert.DeepEqual(t, Reconcile(records, s.listed, now), s.expected)
		})
	}
}
