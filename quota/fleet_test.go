package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// bounds are those that the operators of the grown deployments state.
var bounds = Bounds{Window: 8 * time.Second, Excess: 0.1, Slack: 120_000}

// run is a request that an endpoint ran.
type run struct {
	at     time.Time
	amount Units
}

// change is a limit that applies from a moment on.
type change struct {
	at    time.Time
	limit Limit
}

// fleet is a number of relays and of keepers that share one quota.
type fleet struct {
	now      time.Time
	relays   []*fleetRelay
	keepers  []*Grants[string]
	limits   []change
	version  int64
	runs     []run
	granters [2]int
	// reaches reports whether a relay reaches a keeper.
	reaches func(relay, keeper int) bool
	// counted is the number of relays that each relay counts.
	counted int
	unused  []unused
}

type fleetRelay struct {
	account *Account
	// knows holds the granter and its deputy, since when this relay knows them, and whether they
	// replaced others.
	knows   [2]int
	since   [2]time.Time
	changed [2]bool
}

// unused is a charge that can still be given back.
type unused struct {
	relay, keeper int
	charge        Charge
	run           int
}

func newFleet(relays, keepers int, perSecond, burst Units) *fleet {
	f := &fleet{now: start, counted: relays, granters: [2]int{0, 1}, reaches: func(int, int) bool { return true }}
	for range relays {
		f.relays = append(f.relays, &fleetRelay{})
	}
	for i := range f.relays {
		f.restartRelay(i)
	}
	for range keepers {
		f.keepers = append(f.keepers, NewGrants[string](f.now))
	}
	f.setLimit(perSecond, burst)
	return f
}

func (f *fleet) restartRelay(i int) {
	f.relays[i] = &fleetRelay{account: NewAccount(), knows: f.granters, since: [2]time.Time{f.now, f.now}}
}

func (f *fleet) setLimit(perSecond, burst Units) {
	f.version++
	f.limits = append(f.limits, change{f.now, bounds.NewLimit(perSecond, burst)})
}

func (f *fleet) limit() Limit { return f.limits[len(f.limits)-1].limit }

// learn makes a relay know the granters of the present records.
func (f *fleet) learn(i int) {
	r := f.relays[i]
	for role, keeper := range f.granters {
		if r.knows[role] != keeper {
			r.knows[role], r.since[role], r.changed[role] = keeper, f.now, true
		}
	}
}

// request makes a caller send a request to a relay, which decides as package relay does. It
// reports whether it was run.
func (f *fleet) request(relay int, amount Units) bool {
	r := f.relays[relay]
	charge, need, extra := r.account.TryCharge(f.now, f.limit(), f.counted, amount)
	if need == 0 {
		f.record(relay, r.knows[0], charge)
		return true
	}
	for role := range r.knows {
		keeper := r.knows[role]
		if !f.reaches(relay, keeper) {
			continue
		}
		emergency := role == 1
		if emergency {
			extra = 0
		}
		response := f.keepers[keeper].Take(f.now, "workspace", Request{
			Limit: f.limit(), Version: f.version, Need: need, Extra: extra, Emergency: emergency,
			ViewAge: f.now.Sub(r.since[role]), Changed: r.changed[role],
		})
		if response.Granted > 0 {
			f.record(relay, keeper, r.account.ApplyGrant(f.now, amount, response, emergency))
			return true
		}
		if !response.Restarted {
			return false
		}
	}
	return false
}

func (f *fleet) record(relay, keeper int, charge Charge) {
	f.unused = append(f.unused, unused{relay, keeper, charge, len(f.runs)})
	f.runs = append(f.runs, run{f.now, charge.Total})
}

// giveBack undoes the request that was charged before the last n.
func (f *fleet) giveBack(n int) {
	if n >= len(f.unused) {
		return
	}
	u := f.unused[len(f.unused)-1-n]
	f.unused = f.unused[:len(f.unused)-1-n]
	f.runs[u.run].amount = 0
	if amount := f.relays[u.relay].account.GiveBack(u.charge); amount > 0 {
		f.keepers[u.keeper].GiveBack(f.now, "workspace", amount, f.now.Sub(u.charge.GrantedAt), u.charge.Emergency)
	}
}

// allowed returns what may be run in a window that begins at a time: a limit applies until one
// window after it is lowered.
func (f *fleet) allowed(from time.Time) (most Units) {
	for i, c := range f.limits {
		replaced := i+1 < len(f.limits) && !from.Before(f.limits[i+1].at.Add(bounds.Window))
		if c.at.Sub(from) < bounds.Window && !replaced {
			most = max(most, c.limit.quota()*Units(1+bounds.Excess)+bounds.Slack)
		}
	}
	return most
}

// check returns an error if more was run in a window than the operators allow.
func (f *fleet) check() error {
	sum, last := Units(0), 0
	for first, r := range f.runs {
		for ; last < len(f.runs) && f.runs[last].at.Sub(r.at) < bounds.Window; last++ {
			sum += f.runs[last].amount
		}
		if allowed := f.allowed(r.at); sum > allowed {
			return fmt.Errorf("%.0f units from %s on, %.0f allowed", sum, r.at.Sub(start), allowed)
		}
		sum -= f.runs[first].amount
	}
	return nil
}

// TestAnyHistoryStaysWithinTheQuota guards the sum over all relays against every history of
// requests, kills, changes of granters, cuts and new limits that is no faster than one fault of
// the granters a window.
func TestAnyHistoryStaysWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.SampledFrom([]int{1, 3, 31}).Draw(t, "relays")
		perSecond := Units(rapid.SampledFrom([]int{29_000, 52_000, 380_000}).Draw(t, "per second"))
		f := newFleet(relays, 6, perSecond, perSecond*Units(rapid.SampledFrom([]float64{0, 0.5, 1, 4}).Draw(t, "burst")))
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "idle")) * time.Second)
		lastFault, cutOff := f.now, -1
		f.reaches = func(relay, keeper int) bool { return relay != cutOff && (relay+keeper)%7 != 6 }
		mayFault := func() bool {
			if f.now.Sub(lastFault) < bounds.Window+maxOverlap {
				return false
			}
			lastFault = f.now
			return true
		}
		var learning []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if mayFault() {
					f.keepers[f.granters[0]] = NewGrants[string](f.now)
				}
			case 1:
				if mayFault() {
					f.granters = [2]int{rapid.IntRange(0, 2).Draw(t, "granter"), rapid.IntRange(3, 5).Draw(t, "deputy")}
					for i := range f.relays {
						learning = append(learning, i)
					}
				}
			case 2:
				f.restartRelay(rapid.IntRange(0, relays-1).Draw(t, "restarted"))
			case 3:
				cutOff = rapid.IntRange(-1, relays-1).Draw(t, "cut off")
			case 4:
				if mayFault() {
					f.setLimit(perSecond*Units(rapid.Float64Range(0.1, 2).Draw(t, "change")), perSecond)
				}
			case 5:
				for range rapid.IntRange(1, 20).Draw(t, "given back") {
					f.giveBack(rapid.IntRange(0, 50).Draw(t, "which"))
				}
			default:
				amount := Units(rapid.SampledFrom([]int{200, 5_270, 15_000}).Draw(t, "amount"))
				from := rapid.IntRange(0, relays-1).Draw(t, "from")
				for i := range rapid.IntRange(1, 400).Draw(t, "requests") {
					f.request((from+i)%relays, amount)
				}
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if f.now.Sub(lastFault) >= maxOverlap*9/10 || rapid.Bool().Draw(t, "all learn") {
				for _, i := range learning {
					f.learn(i)
				}
				learning = nil
			}
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFleet plays the loads and faults of the grown deployments.
func TestFleet(t *testing.T) {
	const (
		step      = 10 * time.Millisecond
		span      = 40 * time.Second
		perSecond = Units(52_000)
		stream    = Units(5_270)
		plain     = Units(200)
	)
	scenarios := []struct {
		testName string
		relays   int
		// demand is a multiple of the quota, of which a fifth is plain requests.
		demand float64
		// onlyFirst is the number of relays with callers, zero for all.
		onlyFirst int
		// at is called at each step.
		at func(f *fleet, elapsed time.Duration)
		// minServed is the lowest part of what callers may use that is served, judged by the
		// whole span.
		minServed float64
	}{
		{testName: "calm, 3 relays", relays: 3, demand: 0.55, minServed: 1},
		{testName: "calm, 31 relays", relays: 31, demand: 0.55, minServed: 1},
		{testName: "calm, 300 relays", relays: 300, demand: 0.55, minServed: 1},
		{testName: "calm, one relay of 31", relays: 31, demand: 0.55, onlyFirst: 1, minServed: 1},
		{testName: "seven times the usual, 3 relays", relays: 3, demand: 3.9, minServed: 1},
		{testName: "seven times the usual, 31 relays", relays: 31, demand: 3.9, minServed: 1},
		{testName: "seven times the usual, 300 relays", relays: 300, demand: 3.9, minServed: 1},
		{testName: "seven times the usual at two relays of 31", relays: 31, demand: 3.9, onlyFirst: 2, minServed: 1},
		{
			testName: "granter restarted", relays: 31, demand: 3.9,
			at: func(f *fleet, elapsed time.Duration) {
				if elapsed == 20*time.Second {
					f.keepers[0] = NewGrants[string](f.now)
				}
			},
		},
		{
			testName: "granter does not respond to anyone", relays: 31, demand: 3.9,
			at: func(f *fleet, elapsed time.Duration) {
				if elapsed == 20*time.Second {
					f.reaches = func(_, keeper int) bool { return keeper != 0 }
				}
			},
		},
		{
			testName: "granter replaced, relays learn over 1.8 s", relays: 31, demand: 3.9,
			at: func(f *fleet, elapsed time.Duration) {
				if elapsed == 20*time.Second {
					f.granters = [2]int{2, 3}
				}
				if i := int((elapsed - 20*time.Second) / (60 * time.Millisecond)); elapsed >= 20*time.Second && i < 31 {
					f.learn(i)
				}
			},
		},
		{
			testName: "two halves that do not know of each other", relays: 30, demand: 3.9,
			at: func(f *fleet, elapsed time.Duration) {
				if elapsed == 20*time.Second {
					f.counted = 15
					f.reaches = func(relay, keeper int) bool { return relay%2 == keeper%2 }
				}
			},
		},
		{
			testName: "all killed", relays: 31, demand: 3.9,
			at: func(f *fleet, elapsed time.Duration) {
				if elapsed == 20*time.Second {
					for i := range f.keepers {
						f.keepers[i] = NewGrants[string](f.now)
					}
					for i := range f.relays {
						f.restartRelay(i)
					}
				}
			},
		},
		{
			testName: "quota lowered far in the midst", relays: 31, demand: 3.9,
			at: func(f *fleet, elapsed time.Duration) {
				if elapsed == 20*time.Second {
					f.setLimit(perSecond/5, perSecond/5)
				}
			},
		},
		{
			testName: "quota raised far in the midst", relays: 31, demand: 3.9,
			at: func(f *fleet, elapsed time.Duration) {
				if elapsed == 20*time.Second {
					f.setLimit(perSecond*3, perSecond*3)
				}
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newFleet(s.relays, 6, perSecond, perSecond)
			f.now = f.now.Add(14 * time.Second)
			begin := f.now
			callers := s.relays
			if s.onlyFirst > 0 {
				callers = s.onlyFirst
			}
			asked, served, streams, plains := Units(0), Units(0), 0.0, 0.0
			random := rand.New(rand.NewPCG(1, 2))
			for elapsed := time.Duration(0); elapsed < span; elapsed += step {
				f.now = begin.Add(elapsed)
				if s.at != nil {
					s.at(f, elapsed)
				}
				// Callers arrive at random, so that some seconds bring twice the mean.
				demand := s.demand * float64(perSecond) * step.Seconds() * random.ExpFloat64()
				streams += 0.8 * demand / float64(stream)
				plains += 0.2 * demand / float64(plain)
				for _, kind := range []struct {
					count  *float64
					amount Units
				}{{&streams, stream}, {&plains, plain}} {
					for ; *kind.count >= 1; *kind.count-- {
						asked += kind.amount
						if f.request(random.IntN(callers), kind.amount) {
							served += kind.amount
						}
					}
				}
			}
			assert.NilError(t, f.check())
			owed := min(asked, perSecond*Units(span.Seconds()))
			t.Logf("%.0f asked, %.0f served, %.3f of what is owed", asked, served, served/owed)
			assert.Assert(t, float64(served) >= s.minServed*float64(owed), "%.0f of %.0f served", served, owed)
		})
	}
}
