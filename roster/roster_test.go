package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/store"
	"crocusstep/wire"
)

func newTestRoster(t *testing.T, count int) *Roster {
	t.Helper()
	c, err := common.NewDiscard()
	assert.NilError(t, err)
	r := NewRoster(c, nil)
	r.SetInstances(instancesOf(count))
	return r
}

func instancesOf(count int) []store.Instance {
	var list []store.Instance
	for i := range count {
		list = append(list, store.Instance{
			Name: ident.InstanceName(fmt.Sprint("i", i)), Role: store.AgentRole, Address: ident.Address(fmt.Sprint("a", i)),
			Endpoint: ident.EndpointName(fmt.Sprint("e", i)), Pool: "p", Region: "r", State: store.Live,
		})
	}
	return list
}

func TestRoster(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, r *Roster)
	}{
		{
			testName: "an older load report is ignored",
			run: func(t *testing.T, r *Roster) {
				r.UpdateLoad(wire.Load{Endpoint: "e0", Incarnation: "a", Sequence: 2, FreeSlots: 5})
				r.UpdateLoad(wire.Load{Endpoint: "e0", Incarnation: "a", Sequence: 1, FreeSlots: 9})
				m, _ := r.Member("e0")
				assert.Equal(t, m.Load.FreeSlots, 5)
			},
		},
		{
			testName: "a restarted agent's report is stored although its sequence is lower",
			run: func(t *testing.T, r *Roster) {
				r.UpdateLoad(wire.Load{Endpoint: "e0", Incarnation: "a", Sequence: 9, FreeSlots: 5})
				r.UpdateLoad(wire.Load{Endpoint: "e0", Incarnation: "b", Sequence: 1, FreeSlots: 9})
				m, _ := r.Member("e0")
				assert.Equal(t, m.Load.FreeSlots, 9)
			},
		},
		{
			testName: "an unlisted member is removed, a new address resets the load",
			run: func(t *testing.T, r *Roster) {
				r.UpdateLoad(wire.Load{Endpoint: "e0", Incarnation: "a", Sequence: 1, FreeSlots: 5})
				moved := instancesOf(1)
				moved[0].Address = "elsewhere"
				r.SetInstances(moved)
				assert.Equal(t, len(r.Pool("p", "r")), 1)
				m, _ := r.Member("e0")
				assert.Assert(t, !m.LoadKnown)
			},
		},
		{
			testName: "a draining agent gets no new requests until the report expires",
			run: func(t *testing.T, r *Roster) {
				r.UpdateLoad(wire.Load{Endpoint: "e0", Incarnation: "a", Sequence: 1, Draining: true})
				assert.Equal(t, len(r.Pool("p", "r")), 2)
				_, found := r.Member("e0")
				assert.Assert(t, !found)
				time.Sleep(drainingTTL)
				_, found = r.Member("e0")
				assert.Assert(t, found, "a new process may have replaced it")
			},
		},
		{
			testName: "a pool keeps its members if all are suspended, and suspensions expire",
			run: func(t *testing.T, r *Roster) {
				for _, name := range []ident.EndpointName{"e0", "e1", "e2"} {
					r.RecordFailure(name)
				}
				assert.Equal(t, len(r.Pool("p", "r")), 3)
				time.Sleep(minSuspension)
				for _, m := range r.Pool("p", "r") {
					assert.Assert(t, !m.Suspended)
				}
			},
		},
		{
			testName: "the suspension grows with failures and ends with a success",
			run: func(t *testing.T, r *Roster) {
				for range 10 {
					r.RecordFailure("e0")
				}
				time.Sleep(maxSuspension - time.Millisecond)
				m, _ := r.Member("e0")
				assert.Assert(t, m.Suspended)
				r.RecordSuccess("e0")
				m, _ = r.Member("e0")
				assert.Assert(t, !m.Suspended)
			},
		},
		{
			testName: "a sample has no duplicates and holds all of a small pool",
			run: func(t *testing.T, r *Roster) {
				random := rand.New(rand.NewPCG(1, 2))
				r.SetInstances(instancesOf(50))
				for range 200 {
					seen := map[ident.EndpointName]bool{}
					for _, m := range r.Sample("p", "r", 8, random) {
						assert.Assert(t, !seen[m.Instance.Endpoint])
						seen[m.Instance.Endpoint] = true
					}
					assert.Equal(t, len(seen), 8)
				}
				assert.Equal(t, len(r.Sample("p", "r", 80, random)), 50)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { s.run(t, newTestRoster(t, 3)) })
		})
	}
}
