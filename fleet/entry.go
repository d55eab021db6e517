package fleet

import (
	"context"
	"net/http"
	"slices"
	"time"

	"crocusstep/caller"
	"crocusstep/conf"
	"crocusstep/entry"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/parser"
	"crocusstep/route"
	"crocusstep/store"
	"crocusstep/wire"
)

type runningEntry struct {
	process *process
	entry   *entry.Entry
}

// AddEntry starts an entry.
func (f *Fleet) AddEntry(name ident.InstanceName, region ident.RegionName) error {
	c, err := f.common(string(name))
	if err != nil {
		return err
	}
	p := f.newProcess(memnet.Host(name))
	f.mutex.Lock()
	f.entriesStarted++
	seed := f.config.Seed + f.entriesStarted
	f.mutex.Unlock()
	var policy route.Policy
	if f.config.NewPolicy != nil {
		policy = f.config.NewPolicy()
	}
	e := entry.NewEntry(c, entry.Config{
		Policy:          policy,
		Instance:        name,
		Region:          region,
		Store:           f.Store(p.host),
		Peers:           wire.NewClient(f.client(p.host), f.keyring, c.Meter.CountControlMessage),
		BodyTimeout:     bodyTimeout,
		WriteTimeout:    10 * time.Second,
		MaxBody:         4 * parser.MiB,
		TransferTimeout: 2 * time.Second,
		Seed:            seed,
	})
	go e.Run(p.ctx)
	handler := e.Handler()
	f.listen(p, entryAddress(name), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.received.Add(1)
		handler.ServeHTTP(w, r)
	}))
	f.mutex.Lock()
	f.entries[name] = &runningEntry{process: p, entry: e}
	f.mutex.Unlock()
	f.Platform.SetInstance(store.Instance{Name: name, Role: store.EntryRole, Address: entryAddress(name), Region: region, State: store.Live})
	return nil
}

// EntryNames returns the sorted names of the running entries.
func (f *Fleet) EntryNames() []ident.InstanceName {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var names []ident.InstanceName
	for name := range f.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Received returns the number of requests that entries have read, at least their heads.
func (f *Fleet) Received() int { return int(f.received.Load()) }

// KillEntry kills an entry as SIGKILL does.
func (f *Fleet) KillEntry(name ident.InstanceName) {
	f.mutex.Lock()
	e := f.entries[name]
	delete(f.entries, name)
	f.mutex.Unlock()
	f.kill(e.process)
	f.Platform.RemoveInstance(name)
}

// StopEntry shuts an entry down gracefully. The load balancer, which here is the
// callers' choice from EntryNames, stops sending requests to the entry immediately;
// callers that keep its address are served until the delay has passed.
func (f *Fleet) StopEntry(name ident.InstanceName, shutdown conf.Shutdown) {
	f.mutex.Lock()
	e := f.entries[name]
	delete(f.entries, name)
	f.mutex.Unlock()
	endsAt := time.Now().Add(shutdown.ShutdownDelay.Std() + shutdown.Timeout.Std())
	e.entry.Drain(endsAt)
	time.Sleep(shutdown.ShutdownDelay.Std())
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	_ = e.process.server.Shutdown(ctx)
	f.kill(e.process)
	f.Platform.RemoveInstance(name)
}

// Ready reports whether the entry runs and its readiness probe succeeds.
func (f *Fleet) Ready(name ident.InstanceName) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e, ok := f.entries[name]
	return ok && e.entry.Ready()
}

// Caller returns a client of an entry.
func (f *Fleet) Caller(entry ident.InstanceName) *caller.Client {
	return caller.NewClient(f.client(callerHost), entryAddress(entry))
}
