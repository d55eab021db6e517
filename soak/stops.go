package main

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// role is the role of a process.
type role string

const (
	relayRole  role = "relay"
	keeperRole role = "keeper"
	entryRole  role = "entry"
	agentRole  role = "agent"
)

// node is a process that faults may stop, kill, freeze and start again.
type node struct {
	role role
	name string
	// address accepts connections while the process runs.
	address string
	start   func() error
	// endpoint is the name under which outages of an agent's endpoint are recorded; requests that
	// went there are excused by a kill or freeze of the agent, too.
	endpoint string
}

const (
	// stopSpread is the time within which all processes of a role are told to stop.
	stopSpread = 3 * time.Second
	// maxFreeze is the longest freeze of an entry or agent.
	maxFreeze = 1500 * time.Millisecond
	// quickChanges is the number of changes of a document in quick succession.
	quickChanges = 4
)

func (f *fleet) addNode(r role, name, address string, start func() error) {
	n := node{role: r, name: name, address: address, start: start}
	if r == agentRole {
		n.endpoint = name[len("agent-"):]
	}
	f.nodes = append(f.nodes, n)
}

// checkAlive reports processes that have ended by themselves. No fault is in progress.
func (f *fleet) checkAlive() {
	for _, n := range f.nodes {
		select {
		case <-f.Exited(n.name):
			f.reportViolation("%s has ended by itself", n.name)
		default:
		}
	}
}

// nodesOf returns the processes of a role in random order.
func (f *fleet) nodesOf(r role, rng *rand.Rand) (list []node) {
	for _, n := range f.nodes {
		if n.role == r {
			list = append(list, n)
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// beginOutageOf records that a process, and with it its endpoint, is out from now on.
func (f *fleet) beginOutageOf(n node, kind string) (end func()) {
	endProcess := f.beginOutage(n.name, kind)
	if n.endpoint == "" {
		return endProcess
	}
	endEndpoint := f.beginOutage(n.endpoint, kind)
	return func() { endProcess(); endEndpoint() }
}

// stopAndStart stops a process as planned, waits until it has exited, and starts it again.
func (f *fleet) stopAndStart(n node) error {
	return f.restart(n.name, syscall.SIGTERM, 0, n.start)
}

// killAndStart kills a process and starts it again.
func (f *fleet) killAndStart(n node, downtime time.Duration) error {
	return f.restart(n.name, syscall.SIGKILL, downtime, n.start)
}

// stopTogether stops some processes of a role at random moments within a time.
func (f *fleet) stopTogether(list []node, within time.Duration, rng *rand.Rand) error {
	var group sync.WaitGroup
	failures := make([]error, len(list))
	for i, n := range list {
		delay := time.Duration(rng.Int64N(int64(within)))
		group.Go(func() {
			time.Sleep(delay)
			failures[i] = f.stopAndStart(n)
		})
	}
	group.Wait()
	return firstError(failures)
}

func firstError(failures []error) error {
	if i := slices.IndexFunc(failures, func(err error) bool { return err != nil }); i >= 0 {
		return failures[i]
	}
	return nil
}

// stopInSeries stops the processes of a role one after the other.
func (f *fleet) stopInSeries(list []node) error {
	for _, n := range list {
		if err := f.stopAndStart(n); err != nil {
			return err
		}
	}
	return nil
}

// stopsOf returns the planned stops and reloads of the processes of a role, which excuse nothing.
func stopsOf(r role) []faultKind {
	return []faultKind{
		{name: "stop one " + string(r), planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
			return f.stopAndStart(f.nodesOf(r, rng)[0])
		}},
		{name: "stop two of the role, overlapping: " + string(r), planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
			list := f.nodesOf(r, rng)
			return f.stopTogether(list[:min(2, len(list))], time.Second, rng)
		}},
		{name: "stop all of the role within seconds: " + string(r), planned: true, affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
			return f.stopTogether(f.nodesOf(r, rng), stopSpread, rng)
		}},
		{name: "stop two of the role in series: " + string(r), planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
			list := f.nodesOf(r, rng)
			return f.stopInSeries(list[:min(2, len(list))])
		}},
		{name: "reload all of the role: " + string(r), planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
			for _, n := range f.nodesOf(r, rng) {
				if err := f.reload(n.name); err != nil {
					return err
				}
			}
			return nil
		}},
	}
}

// lossesOf returns the kills and freezes of the processes of a role.
func lossesOf(r role) []faultKind {
	return []faultKind{
		{name: "kill one " + string(r), affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
			return f.killAndStart(f.nodesOf(r, rng)[0], duration/4)
		}},
		{name: "freeze one " + string(r), affectsTiming: true, inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
			return f.pause(f.nodesOf(r, rng)[0].name, min(duration, maxFreeze))
		}},
	}
}

// ownFaults are the faults of the product's own interface other than those of its processes.
var ownFaults = []faultKind{
	{name: "an engine falls silent", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		e := f.randomOwnEndpoint(rng)
		if e.engine == nil {
			return f.impairOwn(e, impairment{dropResponses: true}, duration)
		}
		defer f.beginOutage(e.name, "silence")()
		e.engine.StallDecodes(true)
		time.Sleep(duration)
		e.engine.StallDecodes(false)
		return nil
	}},
	{name: "drop all traffic of an agent's endpoint", inject: func(f *fleet, rng *rand.Rand, duration time.Duration) error {
		return f.impairOwn(f.randomOwnEndpoint(rng), impairment{dropRequests: true, dropResponses: true}, duration)
	}},
	{name: "reset the connections of an agent's endpoint", inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
		e := f.randomOwnEndpoint(rng)
		end := f.beginOutage(e.name, "reset")
		e.proxy.resetConns()
		end()
		return nil
	}},
	{name: "change a document several times", planned: true, inject: func(f *fleet, rng *rand.Rand, _ time.Duration) error {
		for range quickChanges {
			service := []string{chatModel, callApp}[rng.IntN(2)]
			// A change isn't accepted while an entry is down.
			if err := f.putDocument(f.ctx, service, 1+rng.IntN(1000)); err != nil {
				f.note("a change of %s was not accepted: %v", service, err)
			}
		}
		return nil
	}},
}

func (f *fleet) randomOwnEndpoint(rng *rand.Rand) *ownEndpoint {
	return f.own.endpoints[rng.IntN(len(f.own.endpoints))]
}

// impairOwn impairs the traffic of an agent's endpoint.
func (f *fleet) impairOwn(e *ownEndpoint, i impairment, duration time.Duration) error {
	defer f.beginOutage(e.name, "silence")()
	return impairFor(e.proxy, i, duration)
}
