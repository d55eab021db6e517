package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/client"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/quota"
	"crocusstep/table"
)

// quotaBounds are those that the operators of the grown deployments state.
var quotaBounds = quota.Bounds{Window: 8 * time.Second, Excess: 0.1, Slack: 120_000}

// quotaKeepers are keepers that grant quotas as real ones do.
type quotaKeepers struct {
	*fakeBackend
	mutex  sync.Mutex
	grants map[ident.Address]*quota.Grants[ident.WorkspaceName]
	// asked counts the requests for units, returned is what was given back.
	asked    int
	returned quota.Units
	// fails returns the error of a call of a keeper; lost is set if the keeper handles the call
	// and its response is lost.
	fails func(endpoint ident.Address) (err error, lost bool)
}

func newQuotaKeepers() *quotaKeepers {
	return &quotaKeepers{fakeBackend: &fakeBackend{}, grants: map[ident.Address]*quota.Grants[ident.WorkspaceName]{}}
}

// restart makes all keepers forget everything.
func (k *quotaKeepers) restart() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, address := range []ident.Address{"r1:1", "r2:1", "d1:1", "d2:1"} {
		k.grants[address] = quota.NewGrants[ident.WorkspaceName](time.Now())
	}
}

func (k *quotaKeepers) Quota(_ context.Context, endpoint ident.Address, request keeper.QuotaRequest) (response quota.Response, err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	lost := false
	if k.fails != nil {
		err, lost = k.fails(endpoint)
	}
	if err != nil && !lost {
		return response, err
	}
	for _, u := range request.Unused {
		k.returned += u.Amount
		k.grants[endpoint].GiveBack(time.Now(), u.Workspace, u.Amount, u.Age, u.Emergency)
	}
	if request.Need > 0 {
		k.asked++
		response = k.grants[endpoint].Take(time.Now(), request.Workspace, request.Request)
	}
	return response, err
}

const quotaKey = "key of the workspace"

// setQuota gives the relay's table a workspace with a quota.
func setQuota(r *Relay, version table.Version, q *table.Quota) {
	document := *r.Table().Document
	document.Version, document.KeysRequired = version, true
	document.Workspaces = []table.Workspace{{Name: "w", Keys: []table.KeyDigest{table.NewKeyDigest(quotaKey)}, Quota: q}}
	r.SetTable(&document)
}

func newQuotaRelay(t testing.TB, keepers *quotaKeepers, relays int, q *table.Quota) *Relay {
	t.Helper()
	r := newTestRelay(t, keepers.fakeBackend)
	r.config.Keepers = keepers
	r.config.RelayCount = func() int { return relays }
	r.SetQuotas(quotaBounds)
	r.quotas.refresh(r.config.Pool)
	setQuota(r, 2, q)
	return r
}

// sendCharged sends a request of the workspace: a stream of 5,270 tokens, or a plain request.
func sendCharged(ctx context.Context, r *Relay, path string) *fault.Refusal {
	request := &Request{
		Attempt: "a1", Method: "POST", Target: path, Path: path, Host: "h", Header: map[string][]string{},
		Arrived: time.Now(), Timeout: 14 * time.Second, Key: table.NewKeyDigest(quotaKey),
	}
	if strings.HasPrefix(path, "/re") || strings.HasPrefix(path, "/plain-stream") {
		request.Prompt = &Prompt{Tokens: 5200, MaxOutput: 70, EstimatedOutput: 70}
	}
	return r.Serve(ctx, request, httptest.NewRecorder())
}

var defaultQuota = table.Quota{PerSecond: 29_000, Burst: 29_000, CountsTokens: true, PlainTokens: 200}

// TestQuotaCharge guards against requests that are charged for each endpoint, or although no
// endpoint ran them, or not at all.
func TestQuotaCharge(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		prepare  func(k *quotaKeepers)
		// refused is set if the caller gets no response; ran is what is charged in the end.
		refused bool
		ran     quota.Units
	}{
		{testName: "a stream is charged its two counts", path: "/read/x", ran: 5270},
		{testName: "a plain request is charged the default", path: "/lookup/x", ran: 200},
		{
			testName: "a stream that goes on at another engine is charged once", path: "/resume/x", ran: 5270,
			prepare: func(k *quotaKeepers) { k.nextDecode = interruptsStream },
		},
		{
			testName: "a plain request that is sent again is charged once", path: "/lookup/x", ran: 200,
			prepare: func(k *quotaKeepers) {
				k.script = map[ident.EndpointName][]behaviour{"p1": {rejects}, "p2": {rejects}, "p3": {responds}}
			},
		},
		{
			testName: "a stream without memory is not charged", path: "/read/x", refused: true,
			prepare: func(k *quotaKeepers) { k.full = true },
		},
		{
			testName: "a plain request that nobody ran is not charged", path: "/lookup/x", refused: true,
			prepare: func(k *quotaKeepers) {
				k.script = map[ident.EndpointName][]behaviour{"p1": {rejects}, "p2": {rejects}, "p3": {rejects}}
			},
		},
		{
			testName: "a request whose response was lost is charged", path: "/action/x", refused: true, ran: 200,
			prepare: func(k *quotaKeepers) {
				k.script = map[ident.EndpointName][]behaviour{"p1": {losesResponse}, "p2": {losesResponse}, "p3": {losesResponse}}
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newQuotaKeepers()
				k.restart()
				// No slack, so that neither share nor lease hides the charge.
				r := newQuotaRelay(t, k, 1, &defaultQuota)
				r.SetQuotas(quota.Bounds{Window: 8 * time.Second})
				time.Sleep(20 * time.Second)
				if s.prepare != nil {
					s.prepare(k)
				}
				refusal := sendCharged(t.Context(), r, s.path)
				assert.Equal(t, refusal != nil, s.refused, "%v", refusal)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				r.ReturnQuotas(ctx)
				synctest.Wait()
				assert.Equal(t, k.asked, 1)
				used := r.quotas.account("w").TakeUsed()
				assert.Equal(t, used, s.ran)
				charged := quota.Units(200)
				if strings.HasPrefix(s.path, "/re") {
					charged = 5270
				}
				assert.Equal(t, k.returned, charged-s.ran)
			})
		})
	}
}

// TestOverQuota guards against refusals that come late, say nothing of their end or ask a keeper
// each time.
func TestOverQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newQuotaKeepers()
		k.restart()
		r := newQuotaRelay(t, k, 1, &defaultQuota)
		time.Sleep(20 * time.Second)
		var refusals []*fault.Refusal
		began := time.Now()
		for range 200 {
			if refusal := sendCharged(t.Context(), r, "/plain-stream/x"); refusal != nil {
				refusals = append(refusals, refusal)
			}
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, len(refusals) > 150 && k.asked < 50, "%d refusals, %d calls", len(refusals), k.asked)
		soonest, latest := time.Hour, time.Duration(0)
		for _, refusal := range refusals {
			assert.Equal(t, refusal.Code, fault.OverQuota)
			assert.Equal(t, refusal.Outcome, fault.NotExecuted)
			soonest, latest = min(soonest, refusal.RetryAfter), max(latest, refusal.RetryAfter)
		}
		assert.Assert(t, soonest > 0 && latest-soonest > 300*time.Millisecond, "retries from %s to %s", soonest, latest)
		time.Sleep(soonest)
		assert.Assert(t, sendCharged(t.Context(), r, "/plain-stream/x") == nil, "the first caller that comes back is served")
	})
}

// TestQuotaGranterFails guards against relays that serve without limit, or nothing at all, while
// keepers do not respond.
func TestQuotaGranterFails(t *testing.T) {
	errDown := errors.Join(client.ErrNotSent, errors.New("down"))
	scenarios := []struct {
		testName string
		fails    func(granter, deputy, endpoint ident.Address) (error, bool)
		// streams is set if a stream is served; plains is the number of plain requests of 100.
		streams bool
		plains  int
	}{
		{
			testName: "granter down", streams: true, plains: 3,
			fails: func(granter, _, endpoint ident.Address) (error, bool) {
				if endpoint == granter {
					return errDown, false
				}
				return nil, false
			},
		},
		{
			testName: "granter killed after its grant", streams: true, plains: 3,
			fails: func(granter, _, endpoint ident.Address) (error, bool) {
				if endpoint == granter {
					return errDown, true
				}
				return nil, false
			},
		},
		{testName: "cut off", plains: 1, fails: func(_, _, _ ident.Address) (error, bool) { return errDown, false }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newQuotaKeepers()
				k.restart()
				r := newQuotaRelay(t, k, 3, &defaultQuota)
				r.quotas.account("w").TryCharge(time.Now(), quotaBounds.NewLimit(29_000, 29_000), 3, 1)
				time.Sleep(20 * time.Second)
				view := r.quotas.view("w", r.config.Pool)
				k.fails = func(endpoint ident.Address) (error, bool) { return s.fails(view.granter, view.deputy, endpoint) }
				refusal := sendCharged(t.Context(), r, "/plain-stream/x")
				assert.Equal(t, refusal == nil, s.streams, "%v", refusal)
				if refusal != nil {
					assert.Equal(t, refusal.Status(), 503)
				}
				plains := 0
				for range 100 {
					if sendCharged(t.Context(), r, "/lookup/x") == nil {
						plains++
					}
				}
				assert.Assert(t, plains >= s.plains && plains < 100, "%d plain requests served", plains)
				assert.Equal(t, r.quotas.view("w", r.config.Pool).granter, view.granter, "the granter changes with the records only")
			})
		})
	}
}

// TestTokenCountsOfQuotas guards against requests that take work for nothing with token counts
// that are no counts.
func TestTokenCountsOfQuotas(t *testing.T) {
	requests := defaultQuota
	requests.CountsTokens = false
	scenarios := []struct {
		testName string
		quota    *table.Quota
		status   int
		asked    int
	}{
		{testName: "a quota of tokens", quota: &defaultQuota, status: 400},
		{testName: "a quota of requests does not read token counts", quota: &requests, asked: 1},
		{testName: "without a quota nothing is counted"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newQuotaKeepers()
				k.restart()
				r := newQuotaRelay(t, k, 1, s.quota)
				r.SetQuotas(quota.Bounds{Window: 8 * time.Second})
				time.Sleep(20 * time.Second)
				request := &Request{
					Attempt: "a1", Path: "/lookup/x", Target: "/lookup/x", Host: "h", Header: map[string][]string{}, Arrived: time.Now(),
					Timeout: time.Second, Key: table.NewKeyDigest(quotaKey), InvalidTokenCounts: true,
				}
				status := 0
				if refusal := r.Serve(t.Context(), request, httptest.NewRecorder()); refusal != nil {
					status = refusal.Status()
				}
				assert.Equal(t, status, s.status)
				assert.Equal(t, k.asked, s.asked)
				assert.Equal(t, len(r.quotas.accounts), s.asked)
			})
		})
	}
}

// TestQuotaOverRelays plays relays with their keepers against the bound that the operators state.
func TestQuotaOverRelays(t *testing.T) {
	const (
		perSecond = 52_000
		span      = 20 * time.Second
		faultAt   = 6 * time.Second
	)
	even := func(random *rand.Rand, relays int) int { return random.IntN(relays) }
	scenarios := []struct {
		testName string
		relays   int
		// demand is a multiple of the quota; pick chooses the relay of a caller.
		demand float64
		pick   func(random *rand.Rand, relays int) int
		fault  func(k *quotaKeepers, relays []*Relay)
		// allServed is set if every request must be served.
		allServed bool
	}{
		{testName: "calm, 3 relays", relays: 3, demand: 0.55, pick: even, allServed: true},
		{testName: "calm, 31 relays", relays: 31, demand: 0.55, pick: even, allServed: true},
		{testName: "calm, 300 relays", relays: 300, demand: 0.55, pick: even, allServed: true},
		{testName: "calm, one relay", relays: 31, demand: 0.55, pick: func(*rand.Rand, int) int { return 3 }, allServed: true},
		{testName: "calm, skewed", relays: 31, demand: 0.55, allServed: true, pick: func(random *rand.Rand, relays int) int {
			return int(float64(relays) * random.Float64() * random.Float64() * random.Float64())
		}},
		{testName: "hot, 3 relays", relays: 3, demand: 4, pick: even},
		{testName: "hot, 31 relays", relays: 31, demand: 4, pick: even},
		{testName: "hot, 300 relays", relays: 300, demand: 4, pick: even},
		{testName: "hot, all keepers restarted", relays: 31, demand: 4, pick: even, fault: func(k *quotaKeepers, _ []*Relay) { k.restart() }},
		{testName: "hot, grants lost on the way", relays: 31, demand: 4, pick: even, fault: func(k *quotaKeepers, _ []*Relay) {
			k.fails = func(endpoint ident.Address) (error, bool) {
				return errors.New("lost"), endpoint == "r1:1" || endpoint == "d1:1"
			}
		}},
		{testName: "hot, an engine removed", relays: 31, demand: 4, pick: even, fault: func(_ *quotaKeepers, relays []*Relay) {
			granter := relays[0].quotas.view("w", relays[0].config.Pool).granter
			for _, r := range relays {
				list, revision := r.config.Pool.Snapshot()
				kept := []pool.Endpoint{}
				for _, e := range list {
					if e.Address != granter {
						kept = append(kept, e)
					}
				}
				r.config.Pool.ApplySnapshot(kept, revision+1, false)
			}
		}},
		{testName: "hot, quota lowered", relays: 31, demand: 4, pick: even, fault: func(_ *quotaKeepers, relays []*Relay) {
			lower := defaultQuota
			for _, r := range relays {
				setQuota(r, 3, &lower)
			}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, random := newQuotaKeepers(), rand.New(rand.NewPCG(3, 4))
				k.restart()
				q := table.Quota{PerSecond: perSecond, Burst: perSecond, CountsTokens: true, PlainTokens: 200}
				relays := []*Relay{}
				for range s.relays {
					relays = append(relays, newQuotaRelay(t, k, s.relays, &q))
				}
				time.Sleep(14 * time.Second)
				begin, faulted := time.Now(), false
				var at []time.Time
				var amounts []float64
				sent, served := 0, 0
				for time.Since(begin) < span {
					if !faulted && s.fault != nil && time.Since(begin) > faultAt {
						s.fault(k, relays)
						faulted = true
					}
					path, amount := "/plain-stream/x", 5270.0
					if random.IntN(8) > 0 {
						path, amount = "/lookup/x", 200
					}
					sent++
					if refusal := sendCharged(t.Context(), relays[s.pick(random, s.relays)], path); refusal == nil {
						served++
						at, amounts = append(at, time.Now()), append(amounts, amount)
					} else if s.allServed {
						t.Errorf("refused after %s: %v", time.Since(begin), refusal)
					}
					mean := (5270.0 + 7*200) / 8 / (s.demand * perSecond)
					time.Sleep(time.Duration(mean * random.ExpFloat64() * float64(time.Second)))
				}
				allowed := (perSecond*8+perSecond)*1.1 + 120_000
				assert.NilError(t, checkWindows(at, amounts, begin, allowed))
				if faulted && strings.Contains(s.testName, "lowered") {
					// The lower limit binds one window after it.
					assert.NilError(t, checkWindows(at, amounts, begin.Add(faultAt+9*time.Second), (29_000*8+29_000)*1.1+120_000))
				}
				t.Logf("%d of %d served, %d calls", served, sent, k.asked)
			})
		})
	}
}

func checkWindows(at []time.Time, amounts []float64, from time.Time, allowed float64) error {
	for i, first := range at {
		sum := 0.0
		for j := i; j < len(at) && at[j].Sub(first) < quotaBounds.Window; j++ {
			sum += amounts[j]
		}
		if !first.Before(from) && sum > allowed {
			return fmt.Errorf("%.0f tokens from %s on, %.0f allowed", sum, first, allowed)
		}
	}
	return nil
}

// TestQuotaUseIsMetered has more workspaces than metrics name: the largest of those that begin
// together have names, nothing is lost, and what was given back is not counted.
func TestQuotaUseIsMetered(t *testing.T) {
	q := newQuotas(quota.Bounds{Window: 8 * time.Second})
	now := time.Now()
	total := quota.Units(0)
	for i := range 2 * maxMeteredWorkspaces {
		units := quota.Units(i + 1)
		q.account(ident.WorkspaceName(fmt.Sprint(i))).ApplyGrant(now, units, quota.Response{Granted: units}, false)
		total += units
	}
	a := q.account("returned")
	a.GiveBack(a.ApplyGrant(now, 1000, quota.Response{Granted: 1000}, false))
	used := q.takeUsed()
	assert.Equal(t, len(used), maxMeteredWorkspaces+1)
	assert.Equal(t, used["31"], quota.Units(32))
	sum := quota.Units(0)
	for _, units := range used {
		sum += units
	}
	assert.Equal(t, sum, total)
	assert.Equal(t, len(q.takeUsed()), 0)
}
