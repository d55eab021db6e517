package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"crocusstep/platform/double"
	"crocusstep/socket"
)

// faultKind is a kind of fault that is injected into the running processes.
type faultKind struct {
	name string
	// affectsTiming is set if the time limits don't apply during the fault.
	affectsTiming bool
	// planned is set for what operators do on purpose, which excuses no request without an answer.
	planned bool
	// inject returns when the fault has ended.
	inject func(f *fleet, rng *rand.Rand, duration time.Duration) error
}

// allFaults returns the faults of relays, keepers, entries and agents. They are drawn by index, so
// their order is part of the schedule of a seed. Planned returns only those that excuse nothing.
func allFaults(planned bool) []faultKind {
	all := slices.Concat(relayFaults, ownFaults,
		stopsOf(relayRole), stopsOf(keeperRole), stopsOf(entryRole), stopsOf(agentRole), lossesOf(entryRole), lossesOf(agentRole))
	if planned {
		return slices.DeleteFunc(all, func(k faultKind) bool { return !k.planned })
	}
	return all
}

var relayFaults = []faultKind{
	{name: "kill a relay", affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		r := f.relays[rng.IntN(len(f.relays))]
		return f.restart(r.name, syscall.SIGKILL, duration/4, func() error { return f.startRelay(r) })
	}},
	{name: "stop a relay", planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
		r := f.relays[rng.IntN(len(f.relays))]
		return f.restart(r.name, syscall.SIGTERM, 0, func() error { return f.startRelay(r) })
	}},
	{name: "pause a relay", affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return f.pause(f.relays[rng.IntN(len(f.relays))].name, duration)
	}},
	{name: "reload a relay's settings", planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
		return f.reload(f.relays[rng.IntN(len(f.relays))].name)
	}},
	{name: "kill a keeper", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		e := f.randomEngine(rng)
		return f.restart(e.keeper, syscall.SIGKILL, duration/4, func() error { return f.startKeeper(e) })
	}},
	{name: "pause a keeper", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return f.pause(f.randomEngine(rng).keeper, duration)
	}},
	{name: "drop all store traffic of a relay", affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return impairFor(f.relays[rng.IntN(len(f.relays))].store, impairment{dropRequests: true, dropResponses: true}, duration)
	}},
	{name: "drop the store's responses to a relay", affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return impairFor(f.relays[rng.IntN(len(f.relays))].store, impairment{dropResponses: true}, duration)
	}},
	{name: "refuse store connections of all relays", affectsTiming: true, inject: func(f *fleet, _ *rand.Rand, duration time.Duration) error {
		for _, r := range f.relays {
			r.store.setImpairment(impairment{refuse: true})
			r.store.resetConns()
		}
		time.Sleep(duration)
		for _, r := range f.relays {
			r.store.setImpairment(impairment{})
		}
		return nil
	}},
	{name: "delay store traffic of a relay", affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return impairFor(f.relays[rng.IntN(len(f.relays))].store, impairment{delay: 200 * time.Millisecond}, duration)
	}},
	{name: "compact the store's history", affectsTiming: true, inject: func(f *fleet, _ *rand.Rand, _ time.Duration) error {
		f.store.Compact()
		return nil
	}},
	{name: "drop all traffic of an endpoint", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return f.impairEndpoint(f.randomEndpoint(rng), impairment{dropRequests: true, dropResponses: true}, duration)
	}},
	{name: "drop an endpoint's responses", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return f.impairEndpoint(f.randomEndpoint(rng), impairment{dropResponses: true}, duration)
	}},
	{name: "delay an endpoint's traffic", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return impairFor(f.randomEndpoint(rng).proxy, impairment{delay: 50 * time.Millisecond}, duration)
	}},
	{name: "reset an endpoint's connections", inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
		e := f.randomEndpoint(rng)
		end := f.beginOutage(e.address(), "reset")
		e.proxy.resetConns()
		end()
		return nil
	}},
	{name: "replace an endpoint", planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
		return f.replace(f.randomEndpoint(rng))
	}},
	{name: "change the configuration", planned: true, inject: func(f *fleet, _ *rand.Rand, _ time.Duration) error {
		f.mutex.Lock()
		f.version++
		f.versionAt = time.Now()
		version := f.version
		f.mutex.Unlock()
		return f.store.PutConfiguration(version)
	}},
	{name: "an endpoint asks for a pause", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		f.processAt(f.randomEndpoint(rng)).RejectFor(duration)
		time.Sleep(duration)
		return nil
	}},
	{name: "restore the store from a copy", affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		c := f.store.Copy()
		time.Sleep(duration)
		f.store.Restore(c)
		return f.writeAgain(rng)
	}},
	{name: "an endpoint states a limit", inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
		f.limit(f.processAt(f.randomEndpoint(rng)), 2+rng.IntN(4))
		return nil
	}},
	{name: "store a configuration that cannot be understood", affectsTiming: true, inject: func(f *fleet, _ *rand.Rand, duration time.Duration) error {
		f.mutex.Lock()
		version := f.version
		f.mutex.Unlock()
		if err := f.store.PutUnusableConfiguration(version + 1); err != nil {
			return err
		}
		time.Sleep(duration)
		f.mutex.Lock()
		version = f.version
		f.mutex.Unlock()
		return f.store.PutConfiguration(version)
	}},
}

// limitSpan is how long an endpoint states a limit; arrivals count from limitWindow on.
const (
	limitSpan   = 2 * limitWindow
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// limit makes an endpoint state a limit, and checks what it receives from all relays together.
func (f *fleet) limit(e *double.Endpoint, perSecond int) {
	began := time.Now()
	e.SetLimit(float64(perSecond))
	time.Sleep(limitSpan)
	received := f.recorder.ArrivalsAt(e.Name, began.Add(limitSpan-limitWindow))
	e.SetLimit(0)
	allowed := int(limitExcess*float64(perSecond)*limitWindow.Seconds()) + limitSlack
	if received > allowed && f.undisturbedSince(began.Add(-quietInterval)) {
		f.reportViolation("%s states a limit of %d a second and received %d requests in %s, %d allowed", e.Name, perSecond, received, limitWindow, allowed)
	}
}

// writeAgain does what operators, endpoints and the platform do after a restore of the
// store: they write again what the copy lacks, and delete the records of endpoints that are
// gone.
func (f *fleet) writeAgain(rng *rand.Rand) error {
	time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
	f.mutex.Lock()
	version := f.version
	f.mutex.Unlock()
	if err := f.store.PutConfiguration(version); err != nil {
		return err
	}
	present := map[string]bool{}
	for _, e := range f.endpoints {
		f.mutex.Lock()
		process, draining := e.Endpoint, e.draining
		f.mutex.Unlock()
		present[process.Name] = true
		if err := f.store.Register(process, e.address(), zone, draining); err != nil {
			return err
		}
	}
	time.Sleep(missedHeartbeats)
	records, _ := f.store.Objects("servers")
	for _, o := range records {
		if !present[o.Name] && !f.isPresent(o.Name) {
			f.store.Remove("servers", o.Name)
		}
	}
	return nil
}

func (f *fleet) isPresent(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, e := range f.endpoints {
		if e.Name == name {
			return true
		}
	}
	return false
}

// setDraining records whether an endpoint's process drains.
func (f *fleet) setDraining(e *endpoint, draining bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e.draining = draining
}

// missedHeartbeats is the time after which the platform deletes the record of an endpoint
// that is gone.
const missedHeartbeats = 3600 * time.Millisecond

func impairFor(p *proxy, i impairment, duration time.Duration) error {
	p.setImpairment(i)
	time.Sleep(duration)
	p.setImpairment(impairment{})
	// Connections that dropped bytes forward nothing more, so they are reset.
	if i.dropRequests || i.dropResponses {
		p.resetConns()
	}
	return nil
}

// impairEndpoint drops traffic of an endpoint, which then looks silent.
func (f *fleet) impairEndpoint(e *endpoint, i impairment, duration time.Duration) error {
	defer f.beginOutage(e.address(), "silence")()
	return impairFor(e.proxy, i, duration)
}

func (f *fleet) randomEndpoint(rng *rand.Rand) *endpoint {
	return f.endpoints[rng.IntN(len(f.endpoints))]
}

func (f *fleet) randomEngine(rng *rand.Rand) *endpoint {
	for {
		if e := f.randomEndpoint(rng); e.keeper != "" {
			return e
		}
	}
}

// maxStopTime is well above the grace periods of all roles.
const maxStopTime = 20 * time.Second

// restart ends a process by a signal, waits until it has exited, and starts it
// again. It does nothing if another fault has claimed the process.
func (f *fleet) restart(name string, signal syscall.Signal, downtime time.Duration, start func() error) error {
	if !f.claim(name) {
		return nil
	}
	defer f.release(name)
	if signal == syscall.SIGKILL {
		defer f.beginOutageOf(f.node(name), "kill")()
	}
	if err := f.Signal(name, signal); err != nil {
		return err
	}
	select {
	case <-f.Exited(name):
	case <-time.After(maxStopTime):
		f.reportViolation("%s has not exited %s after its signal", name, maxStopTime)
		<-f.Exited(name)
	}
	time.Sleep(downtime)
	if err := start(); err != nil {
		return err
	}
	return f.awaitListening(f.node(name))
}

// awaitListening waits until a process accepts connections. Before that it may not have taken over the
// handling of signals, and a reload would end it.
func (f *fleet) awaitListening(n node) error {
	ctx, cancel := context.WithTimeout(f.ctx, startTimeout)
	defer cancel()
	for {
		c, err := socket.Dial(ctx, "tcp", n.address)
		if err == nil {
			return c.Close()
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s does not listen %s after its start: %w", n.name, startTimeout, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reload signals a process unless another fault has stopped it.
func (f *fleet) reload(name string) error {
	if !f.claim(name) {
		return nil
	}
	defer f.release(name)
	return f.Signal(name, syscall.SIGHUP)
}

func (f *fleet) pause(name string, duration time.Duration) error {
	if !f.claim(name) {
		return nil
	}
	defer f.release(name)
	defer f.beginOutageOf(f.node(name), "freeze")()
	if err := f.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration)
	return f.Signal(name, syscall.SIGCONT)
}

// claim reserves a process or address for one fault. It returns false if another
// fault holds it.
func (f *fleet) claim(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.claimed[name] {
		return false
	}
	f.claimed[name] = true
	return true
}

func (f *fleet) release(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.claimed, name)
}

// replace marks an endpoint as leaving, keeps it running for a drain period, and then
// registers a new process at its address.
func (f *fleet) replace(e *endpoint) error {
	if !f.claim(e.address()) {
		return nil
	}
	defer f.release(e.address())
	old := f.processAt(e)
	f.setDraining(e, true)
	old.SetLeaving()
	if err := f.store.Register(old, e.address(), zone, true); err != nil {
		return err
	}
	markedAt := time.Now()
	time.Sleep(maxDrainDelay + maxDrainDelay/2)
	if last := f.recorder.LastArrival(old.Name); last.Sub(markedAt) > maxDrainDelay && f.undisturbedSince(markedAt.Add(-quietInterval)) {
		f.reportViolation("%s received a request %s after it was marked as leaving", old.Name, last.Sub(markedAt).Round(time.Millisecond))
	}
	f.store.Unregister(old)
	f.mutex.Lock()
	e.Endpoint = f.newEndpoint(old.Service, old.Stage)
	e.draining = false
	next := e.Endpoint
	f.addresses[next.Name] = e.address()
	f.mutex.Unlock()
	return f.store.Register(next, e.address(), zone, false)
}
