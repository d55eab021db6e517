package main

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one thing done to the system from outside; it returns when it is over.
type fault struct {
	name string
	// times is set if the bounds on time do not hold while it lasts.
	times bool
	run   func(f *fleet, random *rand.Rand, span time.Duration) error
}

var faults = []fault{
	{name: "kill a relay", times: true, run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		r := f.relays[random.IntN(len(f.relays))]
		return f.restart(r.name, syscall.SIGKILL, span/4, func() error { return f.startRelay(r) })
	}},
	{name: "stop a relay", run: func(f *fleet, random *rand.Rand, _ time.Duration) error {
		r := f.relays[random.IntN(len(f.relays))]
		return f.restart(r.name, syscall.SIGTERM, 0, func() error { return f.startRelay(r) })
	}},
	{name: "pause a relay", times: true, run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return f.pause(f.relays[random.IntN(len(f.relays))].name, span)
	}},
	{name: "reload a relay", run: func(f *fleet, random *rand.Rand, _ time.Duration) error {
		return f.Signal(f.relays[random.IntN(len(f.relays))].name, syscall.SIGHUP)
	}},
	{name: "kill a keeper", run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		b := f.engine(random)
		return f.restart(b.keeper, syscall.SIGKILL, span/4, func() error { return f.startKeeper(b) })
	}},
	{name: "pause a keeper", run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return f.pause(f.engine(random).keeper, span)
	}},
	{name: "silence the store for a relay", times: true, run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return harmFor(f.relays[random.IntN(len(f.relays))].store, harm{muteThere: true, muteBack: true}, span)
	}},
	{name: "lose the store's answers", times: true, run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return harmFor(f.relays[random.IntN(len(f.relays))].store, harm{muteBack: true}, span)
	}},
	{name: "refuse the store for all relays", times: true, run: func(f *fleet, _ *rand.Rand, span time.Duration) error {
		for _, r := range f.relays {
			r.store.set(harm{refuse: true})
			r.store.reset()
		}
		time.Sleep(span)
		for _, r := range f.relays {
			r.store.set(harm{})
		}
		return nil
	}},
	{name: "slow the store for a relay", times: true, run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return harmFor(f.relays[random.IntN(len(f.relays))].store, harm{delay: 200 * time.Millisecond}, span)
	}},
	{name: "forget the store's history", times: true, run: func(f *fleet, _ *rand.Rand, _ time.Duration) error {
		f.store.Compact()
		return nil
	}},
	{name: "silence an endpoint", run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return harmFor(f.any(random).proxy, harm{muteThere: true, muteBack: true}, span)
	}},
	{name: "lose an endpoint's answers", run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return harmFor(f.any(random).proxy, harm{muteBack: true}, span)
	}},
	{name: "slow an endpoint", run: func(f *fleet, random *rand.Rand, span time.Duration) error {
		return harmFor(f.any(random).proxy, harm{delay: 50 * time.Millisecond}, span)
	}},
	{name: "reset an endpoint's connections", run: func(f *fleet, random *rand.Rand, _ time.Duration) error {
		f.any(random).proxy.reset()
		return nil
	}},
	{name: "replace an endpoint", run: func(f *fleet, random *rand.Rand, _ time.Duration) error {
		return f.replace(f.any(random))
	}},
	{name: "change the configuration", run: func(f *fleet, _ *rand.Rand, _ time.Duration) error {
		f.mutex.Lock()
		f.version++
		version := f.version
		f.mutex.Unlock()
		return f.store.PutConfiguration(version)
	}},
}

func harmFor(p *proxy, h harm, span time.Duration) error {
	p.set(h)
	time.Sleep(span)
	p.set(harm{})
	// What was muted left holes; those connections are of no more use.
	if h.muteThere || h.muteBack {
		p.reset()
	}
	return nil
}

func (f *fleet) any(random *rand.Rand) *back { return f.backs[random.IntN(len(f.backs))] }

func (f *fleet) engine(random *rand.Rand) *back {
	for {
		if b := f.any(random); b.keeper != "" {
			return b
		}
	}
}

// restart ends a process by a signal, waits until it has exited, and starts it
// again. A process that another fault has just ended is left to that.
func (f *fleet) restart(name string, signal syscall.Signal, down time.Duration, start func() error) error {
	if !f.claim(name) {
		return nil
	}
	defer f.yield(name)
	if err := f.Signal(name, signal); err != nil {
		return err
	}
	<-f.Exited(name)
	time.Sleep(down)
	return start()
}

func (f *fleet) pause(name string, span time.Duration) error {
	if !f.claim(name) {
		return nil
	}
	defer f.yield(name)
	if err := f.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	return f.Signal(name, syscall.SIGCONT)
}

// claim keeps two faults from one process at a time.
func (f *fleet) claim(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.claimed[name] {
		return false
	}
	f.claimed[name] = true
	return true
}

func (f *fleet) yield(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.claimed, name)
}

// replace marks an endpoint as leaving, lets it serve on, and puts another process
// at its address.
func (f *fleet) replace(b *back) error {
	if !f.claim(b.address()) {
		return nil
	}
	defer f.yield(b.address())
	old := f.endpointOf(b)
	if err := f.store.Register(old, b.address(), zone, true); err != nil {
		return err
	}
	marked := time.Now()
	time.Sleep(drainBound + drainBound/2)
	if last := f.book.LastArrival(old.Name); last.Sub(marked) > drainBound && f.calmSince(marked.Add(-contact)) {
		f.report("%s got a request %s after it was marked as leaving", old.Name, last.Sub(marked).Round(time.Millisecond))
	}
	f.store.Unregister(old)
	f.mutex.Lock()
	b.Endpoint = f.newEndpoint(old.Service, old.Stage)
	next := b.Endpoint
	f.mutex.Unlock()
	return f.store.Register(next, b.address(), zone, false)
}
