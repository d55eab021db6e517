package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"crocusstep/caller"
	"crocusstep/fake"
	"crocusstep/fleet"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/route"
)

// Deployment is one of the example deployments, as far as its model goes.
type Deployment struct {
	Name     string
	Services string
	Service  ident.ServiceName
	Prefill  ident.PoolName
	Decode   ident.PoolName
	// Home has the endpoints and two entries, Away one entry.
	Home, Away ident.RegionName
	Shape      Shape
	// FirstToken and BetweenTokens repeat the document's targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// The deployments of the brief, with 9 model workers each.
var (
	Halvorsen = Deployment{
		Name: "Halvorsen", Services: "../examples/halvorsen/services", Service: "packet-reading",
		Prefill: "reading-prefill", Decode: "reading-decode", Home: "cascadia-west", Away: "willamette",
		Shape:      Shape{MeanTokens: 4000, AnswerTokens: 80, Shared: 0.3},
		FirstToken: 4 * time.Second, BetweenTokens: 76 * time.Millisecond,
	}
	Khuzam = Deployment{
		Name: "Khuzam", Services: "../examples/khuzam/services", Service: "kiosk-model",
		Prefill: "kiosk-prefill", Decode: "kiosk-decode", Home: "muscat", Away: "salalah",
		Shape:      Shape{MeanTokens: 6000, AnswerTokens: 60, Shared: 0.1},
		FirstToken: 6 * time.Second, BetweenTokens: 76 * time.Millisecond,
	}
)

const (
	prefillWorkers = 3
	decodeWorkers  = 6

	zoneLatency   = 500 * time.Microsecond
	regionLatency = 12 * time.Millisecond
	callerLatency = time.Millisecond
	// settle lets entries read the lagging list before the first arrival.
	settle     = 10 * time.Second
	warmUpSeed = 1
	// patience is how long a caller waits in all, returns included.
	patience = 90 * time.Second
)

// Case is one situation.
type Case struct {
	Name string
	// Load is the arrival rate as a share of the prefill capacity; Herd is the
	// number of callers in one second instead.
	Load float64
	Herd int
	// Fault breaks something once the entries are up.
	Fault func(f *fleet.Fleet, d Deployment)
	// Lanes is how many prefill lanes are left, for the bound.
	Lanes float64
}

// PolicyOf makes a policy for one entry.
type PolicyOf struct {
	Name string
	New  func() route.Policy
}

// Policies is the product's policy and the baselines.
var Policies = []PolicyOf{
	{"learned", func() route.Policy { return route.LoadAware{} }},
	{"least reported", func() route.Policy { return route.LeastLoaded{} }},
	{"round robin", func() route.Policy { return &route.RoundRobin{} }},
}

// Capacity is the requests per second that the prefill endpoints can read.
func (d Deployment) Capacity() float64 {
	perRequest := d.Shape.MeanTokens * fake.DefaultEngineConfig(nil).PrefillPerToken.Seconds()
	return prefillWorkers / perRequest
}

// Run runs one case under one policy. It must run in virtual time.
func Run(d Deployment, c Case, p PolicyOf, span time.Duration, seed uint64) (result Result, err error) {
	f, err := d.start(p, seed)
	if err != nil {
		return result, err
	}
	defer f.Close()
	time.Sleep(settle)
	d.warmUp(f)
	if c.Fault != nil {
		c.Fault(f, d)
	}
	w := d.workload(c, span, seed)
	result = Result{Case: c.Name, Policy: p.Name, Outcomes: make([]Outcome, len(w.Arrivals))}
	before := d.read(f)
	var tasks conc.WaitGroup
	started := time.Now()
	for i, a := range w.Arrivals {
		tasks.Go(func() {
			time.Sleep(time.Until(started.Add(a.At)))
			result.Outcomes[i] = d.send(f, a)
		})
	}
	tasks.Wait()
	result.Bound = w.Bound(c.Lanes, fake.DefaultEngineConfig(nil).PrefillPerToken, d.FirstToken)
	result.Read = d.read(f) - before
	for i, o := range result.Outcomes {
		if o.Served {
			result.Useful += w.Arrivals[i].Tokens
		}
	}
	return result, nil
}

// warmUp lets the agents learn their endpoints' costs, as callers who come back
// after a power cut of their own find routers that have run all along.
func (d Deployment) warmUp(f *fleet.Fleet) {
	w := Steady(d.Shape, d.Capacity()/2, settle, warmUpSeed)
	for _, a := range w.Arrivals {
		_, _ = f.Caller(entryName(a.Entry)).Chat(context.Background(), d.Service, a.Content, true)
	}
}

func (d Deployment) workload(c Case, span time.Duration, seed uint64) Workload {
	if c.Herd > 0 {
		return Herd(d.Shape, c.Herd, span, seed)
	}
	return Steady(d.Shape, c.Load*d.Capacity(), span, seed)
}

func (d Deployment) start(p PolicyOf, seed uint64) (*fleet.Fleet, error) {
	f, err := fleet.NewFleet(fleet.Config{
		Platform:  fake.PlatformConfig{Latency: 3 * time.Millisecond, InstanceLag: 4 * time.Second},
		Engine:    fake.DefaultEngineConfig(nil),
		Seed:      seed,
		NewPolicy: p.New,
	})
	if err != nil {
		return nil, err
	}
	f.Network.SetLatency(d.latency)
	if err := f.PutDocuments(context.Background(), d.Services); err != nil {
		return nil, err
	}
	for i := range prefillWorkers {
		if err := f.AddModel(ident.EndpointName(fmt.Sprint("prefill-", i)), d.Prefill, d.Home); err != nil {
			return nil, err
		}
	}
	for i := range decodeWorkers {
		if err := f.AddModel(ident.EndpointName(fmt.Sprint("decode-", i)), d.Decode, d.Home); err != nil {
			return nil, err
		}
	}
	for i, region := range []ident.RegionName{d.Home, d.Home, d.Away} {
		if err := f.AddEntry(entryName(i), region); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func entryName(i int) ident.InstanceName { return ident.InstanceName(fmt.Sprint("entry-", i)) }

// latency is the one-way time of a new connection's handshake.
func (Deployment) latency(from, to memnet.Host) time.Duration {
	away := memnet.Host(entryName(2))
	switch {
	case from == "caller" || to == "caller":
		return callerLatency
	case from == away || to == away:
		return regionLatency
	}
	return zoneLatency
}

// send asks once and, if refused with a time to come back, once more.
func (d Deployment) send(f *fleet.Fleet, a Arrival) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	chat, err := f.Caller(entryName(a.Entry)).Chat(ctx, d.Service, a.Content, true)
	o := d.judge(chat, err)
	if !o.Refused || chat.Problem == nil || chat.Problem.RetryAfterSeconds == 0 {
		return o
	}
	time.Sleep(time.Duration(chat.Problem.RetryAfterSeconds) * time.Second)
	chat, err = f.Caller(entryName(a.Entry)).Chat(ctx, d.Service, a.Content, true)
	second := d.judge(chat, err)
	second.Refused = true
	second.Returned = second.InTime
	// A request counts as in time by its first sending only.
	second.InTime = false
	return second
}

func (d Deployment) judge(chat caller.ChatResult, err error) Outcome {
	o := Outcome{FirstToken: chat.FirstToken, MeanGap: chat.MeanGap}
	switch {
	case err != nil, chat.Problem != nil && chat.Tokens > 0:
		o.Broken = true
	case chat.Problem != nil:
		o.Refused = true
	default:
		o.Served = chat.Complete
		o.InTime = chat.Complete && chat.FirstToken <= d.FirstToken && chat.MeanGap <= d.BetweenTokens
	}
	return o
}

// read returns the tokens that the prefill engines have read for their work;
// a cached prefix counts as read, since an answer was made from it all the same.
func (d Deployment) read(f *fleet.Fleet) ident.TokenCount {
	total := ident.TokenCount(0)
	for _, e := range f.Endpoints(d.Prefill) {
		total += e.Engine().PromptTokens()
	}
	return total
}
