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

// Deployment describes the language model service of an example deployment.
type Deployment struct {
	Name           string
	ServicesFolder string
	Service        ident.ServiceName
	Prefill        ident.PoolName
	Decode         ident.PoolName
	// HomeRegion has the endpoints and two entries, RemoteRegion one entry.
	HomeRegion, RemoteRegion ident.RegionName
	Shape                    RequestShape
	// FirstToken and BetweenTokens are the targets in the service's document.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// The example deployments, with 9 engines each.
var (
	Halvorsen = Deployment{
		Name: "Halvorsen", ServicesFolder: "../examples/halvorsen/services", Service: "packet-reading",
		Prefill: "reading-prefill", Decode: "reading-decode", HomeRegion: "cascadia-west", RemoteRegion: "willamette",
		Shape:      RequestShape{MeanPromptTokens: 4000, OutputTokens: 80, SharedPrefixShare: 0.3},
		FirstToken: 4 * time.Second, BetweenTokens: 76 * time.Millisecond,
	}
	Khuzam = Deployment{
		Name: "Khuzam", ServicesFolder: "../examples/khuzam/services", Service: "kiosk-model",
		Prefill: "kiosk-prefill", Decode: "kiosk-decode", HomeRegion: "muscat", RemoteRegion: "salalah",
		Shape:      RequestShape{MeanPromptTokens: 6000, OutputTokens: 60, SharedPrefixShare: 0.1},
		FirstToken: 6 * time.Second, BetweenTokens: 76 * time.Millisecond,
	}
)

const (
	prefillEngineCount = 3
	decodeEngineCount  = 6

	zoneLatency   = 500 * time.Microsecond
	regionLatency = 12 * time.Millisecond
	callerLatency = time.Millisecond
	// settleTime lets entries read the platform's delayed instance list before the first
	// arrival.
	settleTime = 10 * time.Second
	warmUpSeed = 1
	// callerTimeout is how long a caller waits in total, retry included.
	callerTimeout = 90 * time.Second
)

// Case is a load, with or without a fault.
type Case struct {
	Name string
	// Load is the arrival rate as a share of the prefill capacity. HerdSize replaces it by
	// that many requests within one second.
	Load     float64
	HerdSize int
	// Fault injects a fault after the warm-up.
	Fault func(f *fleet.Fleet, d Deployment)
	// PrefillEngines is the remaining prefill capacity in engines, for the bound.
	PrefillEngines float64
}

// PolicyFactory creates the policy of one entry.
type PolicyFactory struct {
	Name string
	New  func() route.Policy
}

// Policies holds the default policy and the baselines.
var Policies = []PolicyFactory{
	{"learned", func() route.Policy { return route.LoadAware{} }},
	{"least loaded", func() route.Policy { return route.LeastLoaded{} }},
	{"round robin", func() route.Policy { return &route.RoundRobin{} }},
}

// Capacity returns the requests per second that the prefill engines can handle.
func (d Deployment) Capacity() float64 {
	perRequest := d.Shape.MeanPromptTokens * fake.DefaultEngineConfig(nil).PrefillPerToken.Seconds()
	return prefillEngineCount / perRequest
}

// Run measures one case under one policy. It must run in virtual time.
func Run(d Deployment, c Case, p PolicyFactory, duration time.Duration, seed uint64) (result Result, err error) {
	f, err := d.start(p, seed)
	if err != nil {
		return result, err
	}
	defer f.Close()
	time.Sleep(settleTime)
	d.warmUp(f)
	if c.Fault != nil {
		c.Fault(f, d)
	}
	w := d.workload(c, duration, seed)
	result = Result{Case: c.Name, Policy: p.Name, Outcomes: make([]Outcome, len(w.Arrivals))}
	before := d.promptTokens(f)
	var tasks conc.WaitGroup
	started := time.Now()
	for i, a := range w.Arrivals {
		tasks.Go(func() {
			time.Sleep(time.Until(started.Add(a.At)))
			result.Outcomes[i] = d.sendRequest(f, a)
		})
	}
	tasks.Wait()
	result.Bound = w.Bound(c.PrefillEngines, fake.DefaultEngineConfig(nil).PrefillPerToken, d.FirstToken)
	result.PrefilledTokens = d.promptTokens(f) - before
	for i, o := range result.Outcomes {
		if o.Served {
			result.UsefulTokens += w.Arrivals[i].PromptTokens
		}
	}
	return result, nil
}

// warmUp lets the agents measure their engines' speed: a thundering herd usually follows
// an outage on the callers' side, during which the routers keep running.
func (d Deployment) warmUp(f *fleet.Fleet) {
	w := NewSteadyWorkload(d.Shape, d.Capacity()/2, settleTime, warmUpSeed)
	for _, a := range w.Arrivals {
		_, _ = f.Caller(entryName(a.Entry)).Chat(context.Background(), d.Service, a.Content, true)
	}
}

func (d Deployment) workload(c Case, duration time.Duration, seed uint64) Workload {
	if c.HerdSize > 0 {
		return NewHerdWorkload(d.Shape, c.HerdSize, duration, seed)
	}
	return NewSteadyWorkload(d.Shape, c.Load*d.Capacity(), duration, seed)
}

func (d Deployment) start(p PolicyFactory, seed uint64) (*fleet.Fleet, error) {
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
	if err := f.PutDocuments(context.Background(), d.ServicesFolder); err != nil {
		return nil, err
	}
	for i := range prefillEngineCount {
		if err := f.AddModel(ident.EndpointName(fmt.Sprint("prefill-", i)), d.Prefill, d.HomeRegion); err != nil {
			return nil, err
		}
	}
	for i := range decodeEngineCount {
		if err := f.AddModel(ident.EndpointName(fmt.Sprint("decode-", i)), d.Decode, d.HomeRegion); err != nil {
			return nil, err
		}
	}
	for i, region := range []ident.RegionName{d.HomeRegion, d.HomeRegion, d.RemoteRegion} {
		if err := f.AddEntry(entryName(i), region); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func entryName(i int) ident.InstanceName { return ident.InstanceName(fmt.Sprint("entry-", i)) }

// latency returns the one-way latency between two hosts, which delays new connections.
func (Deployment) latency(from, to memnet.Host) time.Duration {
	remoteEntry := memnet.Host(entryName(2))
	switch {
	case from == "caller" || to == "caller":
		return callerLatency
	case from == remoteEntry || to == remoteEntry:
		return regionLatency
	}
	return zoneLatency
}

// sendRequest sends a request and, if it is refused with a Retry-After, retries it once.
func (d Deployment) sendRequest(f *fleet.Fleet, a Arrival) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	chat, err := f.Caller(entryName(a.Entry)).Chat(ctx, d.Service, a.Content, true)
	o := d.outcome(chat, err)
	if !o.Refused || chat.Problem == nil || chat.Problem.RetryAfterSeconds == 0 {
		return o
	}
	time.Sleep(time.Duration(chat.Problem.RetryAfterSeconds) * time.Second)
	chat, err = f.Caller(entryName(a.Entry)).Chat(ctx, d.Service, a.Content, true)
	retry := d.outcome(chat, err)
	retry.Refused = true
	retry.RetriedInTime = retry.InTime
	// Only the first attempt counts as in time.
	retry.InTime = false
	return retry
}

func (d Deployment) outcome(chat caller.ChatResult, err error) Outcome {
	o := Outcome{FirstToken: chat.FirstToken, MeanInterTokenLatency: chat.MeanInterTokenLatency}
	switch {
	case err != nil, chat.Problem != nil && chat.Tokens > 0:
		o.Failed = true
	case chat.Problem != nil:
		o.Refused = true
	default:
		o.Served = chat.Complete
		o.InTime = chat.Complete && chat.FirstToken <= d.FirstToken && chat.MeanInterTokenLatency <= d.BetweenTokens
	}
	return o
}

// promptTokens returns the prompt tokens sent to the prefill engines. Those of a cached
// prefix are included, as they are in UsefulTokens.
func (d Deployment) promptTokens(f *fleet.Fleet) ident.TokenCount {
	total := ident.TokenCount(0)
	for _, e := range f.Endpoints(d.Prefill) {
		total += e.Engine().PromptTokens()
	}
	return total
}
