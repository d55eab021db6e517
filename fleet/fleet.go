// Package fleet runs a whole small deployment in one process, over in-memory
// connections: a platform, endpoints, agents and entries, which tests and
// measurements can kill, freeze, cut off and restart.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"crocusstep/agent"
	"crocusstep/auth"
	"crocusstep/caller"
	"crocusstep/common"
	"crocusstep/docset"
	"crocusstep/entry"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/meter"
	"crocusstep/route"
	"crocusstep/spec"
	"crocusstep/store"
	"crocusstep/strict"
	"crocusstep/wire"
)

const (
	platformAddress ident.Address = "platform:1"
	callerHost      memnet.Host   = "caller"

	platformTimeout = 2 * time.Second
	sweepInterval   = 2 * time.Second
	maxHold         = 10 * time.Second
	bodyTimeout     = 10 * time.Second
	// closeGrace lets handlers that sleep come to their end; a fleet runs in
	// virtual time, so it costs nothing.
	closeGrace = time.Hour
)

// Config configures a Fleet.
type Config struct {
	Platform fake.PlatformConfig
	// Engine is the timing of every engine; its client is set by the fleet.
	Engine fake.EngineConfig
	Plain  fake.PlainConfig
	// Log gets the logs of all processes.
	Log  *slog.Logger
	Seed uint64
	// NewPolicy makes the policy of each entry; nil means the product's own.
	NewPolicy func() route.Policy
	// RestartDelay is how soon a crashed engine is started again; zero means
	// that it stays down.
	RestartDelay time.Duration
}

// Endpoint is one back end with its agent.
type Endpoint struct {
	Name   ident.EndpointName
	Pool   ident.PoolName
	Region ident.RegionName
	// Plain is set for plain services.
	Plain *fake.Plain

	// lifecycle lets one start at a time end what ran before it.
	lifecycle sync.Mutex

	mutex sync.Mutex
	// engine is set for model endpoints; a restart replaces it.
	engine        *fake.Engine
	agent         *agent.Agent
	agentProcess  *process
	engineProcess *process
	crashes       int
}

// Engine returns the engine that runs at the moment.
func (e *Endpoint) Engine() *fake.Engine {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.engine
}

// Agent returns the agent that runs at the moment.
func (e *Endpoint) Agent() *agent.Agent {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.agent
}

// Crashes returns how often prompts have crashed the engine.
func (e *Endpoint) Crashes() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashes
}

func (e *Endpoint) processes() (agentProcess, engineProcess *process) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.agentProcess, e.engineProcess
}

func (e *Endpoint) kind() spec.ServiceKind {
	if e.Plain != nil {
		return spec.Plain
	}
	return spec.LanguageModel
}

// Fleet is one small deployment.
type Fleet struct {
	Network  *memnet.Network
	Platform *fake.Platform

	config    Config
	keyring   *auth.Keyring
	platform  *process
	endpoints map[ident.EndpointName]*Endpoint

	mutex   sync.Mutex
	entries map[ident.InstanceName]*runningEntry
	started uint64
	clients []*http.Client
	// ctx ends what the fleet does by itself.
	ctx    context.Context
	cancel context.CancelFunc
}

type runningEntry struct {
	process *process
	entry   *entry.Entry
}

// process is one killable process.
type process struct {
	host   memnet.Host
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	done   chan struct{}
	// ended is called when the process is killed, if set.
	ended func()
}

// NewFleet starts a platform and nothing else.
func NewFleet(config Config) (*Fleet, error) {
	keyring, err := auth.NewKeyring([]auth.Key{{ID: "test", Secret: "secret of the fleet"}})
	if err != nil {
		return nil, err
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Network:   memnet.NewNetwork(),
		Platform:  fake.NewPlatform(config.Platform),
		config:    config,
		keyring:   keyring,
		endpoints: map[ident.EndpointName]*Endpoint{},
		entries:   map[ident.InstanceName]*runningEntry{},
		ctx:       ctx,
		cancel:    cancel,
	}
	f.platform = f.start("platform", platformAddress, f.Platform.Handler())
	return f, nil
}

// Close ends everything.
func (f *Fleet) Close() {
	f.cancel()
	for _, name := range f.EntryNames() {
		f.KillEntry(name)
	}
	for _, e := range f.endpoints {
		agentProcess, engineProcess := e.processes()
		f.kill(agentProcess)
		f.kill(engineProcess)
	}
	f.kill(f.platform)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, client := range f.clients {
		client.CloseIdleConnections()
	}
	time.Sleep(closeGrace)
}

func (f *Fleet) start(host memnet.Host, address ident.Address, handler http.Handler) *process {
	p := f.prepare(host)
	f.listen(p, address, handler)
	return p
}

func (f *Fleet) prepare(host memnet.Host) *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{host: host, ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

func (f *Fleet) listen(p *process, address ident.Address, handler http.Handler) {
	p.server = &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(f.config.Log.Handler(), slog.LevelDebug)}
	listener := f.Network.Listen(p.host, string(address))
	go func() {
		defer close(p.done)
		_ = p.server.Serve(listener)
	}()
}

// kill ends a process as SIGKILL does: nothing of it runs on or says goodbye.
func (f *Fleet) kill(p *process) {
	f.Network.Kill(p.host)
	p.cancel()
	_ = p.server.Close()
	<-p.done
	if p.ended != nil {
		p.ended()
	}
}

func (f *Fleet) client(host memnet.Host) *http.Client {
	client := f.Network.Client(host)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.clients = append(f.clients, client)
	return client
}

// Store returns a client of the platform for a host.
func (f *Fleet) Store(host memnet.Host) store.Store {
	return store.NewClient(store.ClientConfig{Address: platformAddress, HTTP: f.client(host), Timeout: platformTimeout})
}

func (f *Fleet) common(name string) (*common.Common, error) {
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	return common.NewCommon(f.config.Log.With("instance", name), m), nil
}

// AddModel adds an engine with its agent.
func (f *Fleet) AddModel(name ident.EndpointName, pool ident.PoolName, region ident.RegionName) error {
	e := &Endpoint{Name: name, Pool: pool, Region: region}
	f.endpoints[name] = e
	f.startEngine(e)
	return f.startAgent(e)
}

// AddPlain adds a plain service with its agent.
func (f *Fleet) AddPlain(name ident.EndpointName, pool ident.PoolName, region ident.RegionName) error {
	e := &Endpoint{Name: name, Pool: pool, Region: region, Plain: fake.NewPlain(f.config.Plain)}
	f.endpoints[name] = e
	e.engineProcess = f.start(engineHost(name), engineAddress(name), e.Plain.Handler())
	return f.startAgent(e)
}

func (f *Fleet) startEngine(e *Endpoint) {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	if _, p := e.processes(); p != nil {
		f.kill(p)
	}
	config := f.config.Engine
	config.HTTP = f.client(engineHost(e.Name))
	p := f.prepare(engineHost(e.Name))
	engine := fake.NewEngine(config, func() { f.crashed(e, p) })
	p.ended = engine.Stop
	f.listen(p, engineAddress(e.Name), engine.Handler())
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.engine = engine
	e.engineProcess = p
}

// crashed ends an engine's process and starts it again after a while, as the
// platform does.
func (f *Fleet) crashed(e *Endpoint, p *process) {
	f.Network.Kill(p.host)
	p.cancel()
	e.mutex.Lock()
	e.crashes++
	e.mutex.Unlock()
	if f.config.RestartDelay == 0 {
		return
	}
	go func() {
		common.Pause(f.ctx, f.config.RestartDelay)
		if f.ctx.Err() == nil {
			f.startEngine(e)
		}
	}()
}

func (f *Fleet) startAgent(e *Endpoint) error {
	c, err := f.common(string(e.Name))
	if err != nil {
		return err
	}
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	if p, _ := e.processes(); p != nil {
		f.kill(p)
	}
	p := f.prepare(agentHost(e.Name))
	a := agent.NewAgent(p.ctx, c, agent.Config{
		Instance:        ident.InstanceName(e.Name),
		Region:          e.Region,
		Pool:            e.Pool,
		Address:         agentAddress(e.Name),
		Endpoint:        e.Name,
		Kind:            e.kind(),
		EndpointAddress: engineAddress(e.Name),
		Slots:           f.config.Engine.Slots,
		Lanes:           1,
		MaxHold:         maxHold,
		SweepInterval:   sweepInterval,
		HTTP:            f.client(p.host),
		Store:           f.Store(p.host),
		Keyring:         f.keyring,
	})
	go a.Run()
	f.listen(p, agentAddress(e.Name), a.Handler())
	e.mutex.Lock()
	e.agent = a
	e.agentProcess = p
	e.mutex.Unlock()
	f.Platform.SetInstance(f.instance(e, store.Live))
	return nil
}

func (f *Fleet) instance(e *Endpoint, state store.InstanceState) store.Instance {
	return store.Instance{
		Name:     ident.InstanceName(e.Name),
		Role:     store.AgentRole,
		Address:  agentAddress(e.Name),
		Endpoint: e.Name,
		Pool:     e.Pool,
		Region:   e.Region,
		State:    state,
	}
}

// Endpoint returns a back end by its name.
func (f *Fleet) Endpoint(name ident.EndpointName) *Endpoint { return f.endpoints[name] }

// Endpoints returns all back ends of a pool.
func (f *Fleet) Endpoints(pool ident.PoolName) []*Endpoint {
	var list []*Endpoint
	for _, e := range f.endpoints {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	return list
}

// KillAgent ends an agent as SIGKILL does; its endpoint runs on.
func (f *Fleet) KillAgent(name ident.EndpointName) {
	p, _ := f.endpoints[name].processes()
	f.kill(p)
}

// RestartAgent starts an agent anew after KillAgent or StopAgent.
func (f *Fleet) RestartAgent(name ident.EndpointName) error { return f.startAgent(f.endpoints[name]) }

// MarkLeaving shows an endpoint as leaving on the platform's list.
func (f *Fleet) MarkLeaving(name ident.EndpointName) {
	f.Platform.SetInstance(f.instance(f.endpoints[name], store.Leaving))
}

// StopAgent stops an agent gracefully and returns when it has ended.
func (f *Fleet) StopAgent(name ident.EndpointName, limit time.Duration) {
	e := f.endpoints[name]
	f.MarkLeaving(name)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p, _ := e.processes()
	e.Agent().Drain(ctx)
	_ = p.server.Shutdown(ctx)
	f.kill(p)
}

// KillEngine ends an engine as a crash does.
func (f *Fleet) KillEngine(name ident.EndpointName) {
	_, p := f.endpoints[name].processes()
	f.kill(p)
}

// RestartEngine starts an engine anew, with nothing in its memory.
func (f *Fleet) RestartEngine(name ident.EndpointName) { f.startEngine(f.endpoints[name]) }

// AddEntry adds an entry.
func (f *Fleet) AddEntry(name ident.InstanceName, region ident.RegionName) error {
	c, err := f.common(string(name))
	if err != nil {
		return err
	}
	p := f.prepare(memnet.Host(name))
	f.mutex.Lock()
	f.started++
	seed := f.config.Seed + f.started
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
		Peers:           wire.NewClient(f.client(p.host), f.keyring, c.Meter.Control),
		BodyTimeout:     bodyTimeout,
		WriteTimeout:    10 * time.Second,
		MaxBody:         4 * strict.MiB,
		TransferTimeout: 2 * time.Second,
		Seed:            seed,
	})
	go e.Run(p.ctx)
	f.listen(p, entryAddress(name), e.Handler())
	f.mutex.Lock()
	f.entries[name] = &runningEntry{process: p, entry: e}
	f.mutex.Unlock()
	f.Platform.SetInstance(store.Instance{Name: name, Role: store.EntryRole, Address: entryAddress(name), Region: region, State: store.Live})
	return nil
}

// EntryNames returns the entries that run, by name.
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

// KillEntry ends an entry as SIGKILL does.
func (f *Fleet) KillEntry(name ident.InstanceName) {
	f.mutex.Lock()
	e := f.entries[name]
	delete(f.entries, name)
	f.mutex.Unlock()
	f.kill(e.process)
	f.Platform.RemoveInstance(name)
}

// StopEntry stops an entry gracefully and returns when it has ended. The
// balancer, here the callers' choice among EntryNames, turns away at once.
func (f *Fleet) StopEntry(name ident.InstanceName, limit time.Duration) {
	f.mutex.Lock()
	e := f.entries[name]
	delete(f.entries, name)
	f.mutex.Unlock()
	e.entry.StartDraining()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = e.process.server.Shutdown(ctx)
	f.kill(e.process)
	f.Platform.RemoveInstance(name)
}

// Ready reports whether a probe of the entry would succeed.
func (f *Fleet) Ready(name ident.InstanceName) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e, ok := f.entries[name]
	return ok && e.entry.Ready()
}

// Caller returns a caller of an entry.
func (f *Fleet) Caller(entry ident.InstanceName) *caller.Client {
	return caller.NewClient(f.client(callerHost), entryAddress(entry))
}

// Put puts a document in force.
func (f *Fleet) Put(ctx context.Context, file string, text []byte) error {
	document, err := spec.Parse(file, text)
	if err != nil {
		return err
	}
	_, err = docset.NewBook(f.Store("operator")).Put(ctx, document, text, docset.Newest)
	return err
}

// PutExamples puts all documents of a folder in force.
func (f *Fleet) PutExamples(ctx context.Context, folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := f.Put(ctx, file, text); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// AgentHost names an agent's host on the network.
func AgentHost(name ident.EndpointName) memnet.Host { return agentHost(name) }

// EngineHost names an engine's host on the network.
func EngineHost(name ident.EndpointName) memnet.Host { return engineHost(name) }

func agentHost(name ident.EndpointName) memnet.Host  { return memnet.Host("agent-" + name) }
func engineHost(name ident.EndpointName) memnet.Host { return memnet.Host("engine-" + name) }

func agentAddress(name ident.EndpointName) ident.Address {
	return ident.Address("agent-" + name + ":1")
}

func engineAddress(name ident.EndpointName) ident.Address {
	return ident.Address("engine-" + name + ":1")
}
func entryAddress(name ident.InstanceName) ident.Address { return ident.Address(name + ":1") }
