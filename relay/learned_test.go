package relay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/cost"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
)

// measuredKeepers are keepers whose engines differ in backlog and speed.
type measuredKeepers struct {
	*fakeBackend
	backlogs map[ident.EndpointName]time.Duration
	speeds   map[ident.EndpointName]cost.Speed
	// prefills and reserves are the requests received, granted the endpoints that granted a
	// prefill slot.
	prefills []keeper.PrefillRequest
	reserves []keeper.ReserveRequest
	granted  []ident.EndpointName
	// lapsed counts the reports of prompts that could not be fetched.
	lapsed int
}

func endpointAt(address ident.Address) ident.EndpointName {
	return ident.EndpointName(strings.TrimSuffix(string(address), ":1"))
}

func (k *measuredKeepers) SchedulePrefill(_ context.Context, address ident.Address, request keeper.PrefillRequest) (keeper.PrefillResponse, error) {
	if request.Lapsed {
		k.lapsed++
		return keeper.PrefillResponse{}, nil
	}
	k.prefills = append(k.prefills, request)
	name := endpointAt(address)
	response := keeper.PrefillResponse{Backlog: k.backlogs[name], Slowdown: 1, Granted: k.backlogs[name] <= request.MaxWait}
	if request.Speed {
		speed := k.speeds[name]
		response.Speed = &speed
	}
	if response.Granted {
		k.granted = append(k.granted, name)
	}
	return response, nil
}

func (k *measuredKeepers) Reserve(_ context.Context, address ident.Address, request keeper.ReserveRequest) (keeper.ReserveResponse, error) {
	k.reserves = append(k.reserves, request)
	response := keeper.ReserveResponse{Granted: true, Capacity: 100_000, Headroom: 50_000}
	if request.Speed {
		speed := k.speeds[endpointAt(address)]
		response.Speed = &speed
	}
	return response, nil
}

func newMeasuredRelay(t testing.TB, k *measuredKeepers, learned bool) *Relay {
	r := newTestRelay(t, k.fakeBackend)
	r.config.Keepers = k
	r.config.LearnedCosts = learned
	return r
}

// TestLearnedCostsOff checks that no message differs unless learned costs are switched on.
func TestLearnedCostsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &measuredKeepers{fakeBackend: &fakeBackend{}}
		r := newMeasuredRelay(t, k, false)
		_, refusal := send(t.Context(), r, "/read/x")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, len(k.prefills), 1)
		assert.Equal(t, len(k.reserves), 1)
		assert.Assert(t, !k.prefills[0].Speed && !k.reserves[0].Speed)
		assert.Equal(t, len(r.learned.services), 0)
	})
}

// TestPrefillAtIdleEngine gives one of two engines a backlog: the prompt goes to the other one.
func TestPrefillAtIdleEngine(t *testing.T) {
	for _, busy := range []ident.EndpointName{"r1", "r2"} {
		t.Run(string(busy)+" is busy", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &measuredKeepers{fakeBackend: &fakeBackend{}, backlogs: map[ident.EndpointName]time.Duration{busy: 300 * time.Millisecond}}
				r := newMeasuredRelay(t, k, true)
				for range 5 {
					_, refusal := send(t.Context(), r, "/read/x")
					assert.Assert(t, refusal == nil, "%v", refusal)
				}
				for _, name := range k.granted {
					assert.Assert(t, name != busy)
				}
			})
		})
	}
}

// TestPrefillWaitsAtBestEngine gives both engines a backlog: the prompt waits where its prefill is
// expected to end first, at the engine with the longer backlog, which is twice as fast.
func TestPrefillWaitsAtBestEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &measuredKeepers{
			fakeBackend: &fakeBackend{},
			backlogs:    map[ident.EndpointName]time.Duration{"r1": 100 * time.Millisecond, "r2": 120 * time.Millisecond},
			speeds:      map[ident.EndpointName]cost.Speed{"r1": {Slowdown: 1.8}, "r2": {Slowdown: 0.8}},
		}
		r := newMeasuredRelay(t, k, true)
		_, refusal := send(t.Context(), r, "/read/x")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.DeepEqual(t, k.granted, []ident.EndpointName{"r2"})
	})
}

// TestSlowEngineStallsLess checks that a local prefill may take less nominal time at a slow engine,
// whose other streams it stalls for longer.
func TestSlowEngineStallsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newMeasuredRelay(t, &measuredKeepers{fakeBackend: &fakeBackend{}}, true)
		speeds := r.learned.service("model").speeds
		for name, step := range map[ident.EndpointName]time.Duration{"d1": 2 * time.Millisecond, "d2": time.Millisecond, "d3": time.Millisecond} {
			speeds.Learn(name, cost.Process{Version: "v1"}, cost.Speed{Step: step}, time.Now())
		}
		e := &exchange{Relay: r, request: &Request{}, service: r.Table().Services["model"]}
		e.service.Name = "model"
		e.route.TargetEventGap = 300 * time.Millisecond
		s := &stream{exchange: e}
		member := func(name ident.EndpointName) pool.Member {
			return pool.Member{Endpoint: pool.Endpoint{Name: name, Version: "v1"}}
		}
		assert.Equal(t, s.nominalStall(member("d2")), s.maxStall())
		assert.Equal(t, s.nominalStall(member("d1")), s.maxStall()/2)
	})
}

// TestLapseIsReported lets the handle of a prompt lapse: the keeper of the engine that prefilled it is
// told, if learned costs are switched on.
func TestLapseIsReported(t *testing.T) {
	for _, learned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			k := &measuredKeepers{fakeBackend: &fakeBackend{nextDecode: rejects}}
			r := newMeasuredRelay(t, k, learned)
			_, refusal := send(t.Context(), r, "/read/x")
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, k.lapsed > 0, learned)
		})
	}
}
