package fleet

import (
	"context"
	"sync"
	"time"

	"crocusstep/agent"
	"crocusstep/common"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/spec"
	"crocusstep/store"
)

// Endpoint is an endpoint with its agent.
type Endpoint struct {
	Name   ident.EndpointName
	Pool   ident.PoolName
	Region ident.RegionName
	// PlainService is nil for model engines.
	PlainService *fake.PlainService

	// lifecycle serializes starts, each of which kills the process before it.
	lifecycle sync.Mutex

	mutex sync.Mutex
	// engine is nil for plain services; a restart replaces it.
	engine        *fake.Engine
	agent         *agent.Agent
	agentProcess  *process
	engineProcess *process
	crashes       int
}

// Engine returns the engine of the last start, or nil for a plain service.
func (e *Endpoint) Engine() *fake.Engine {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.engine
}

// Agent returns the agent of the last start.
func (e *Endpoint) Agent() *agent.Agent {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.agent
}

// Crashes returns the number of crashes that prompts have caused.
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
	if e.PlainService != nil {
		return spec.Plain
	}
	return spec.LanguageModel
}

// AddModel starts a model engine with its agent.
func (f *Fleet) AddModel(name ident.EndpointName, pool ident.PoolName, region ident.RegionName) error {
	e := &Endpoint{Name: name, Pool: pool, Region: region}
	f.endpoints[name] = e
	f.startEngine(e)
	return f.startAgent(e)
}

// AddPlain starts a plain service with its agent.
func (f *Fleet) AddPlain(name ident.EndpointName, pool ident.PoolName, region ident.RegionName) error {
	e := &Endpoint{Name: name, Pool: pool, Region: region, PlainService: fake.NewPlainService(f.config.PlainService)}
	f.endpoints[name] = e
	e.engineProcess = f.start(engineHost(name), engineAddress(name), e.PlainService.Handler())
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
	p := f.newProcess(engineHost(e.Name))
	engine := fake.NewEngine(config, func() { f.handleCrash(e, p) })
	p.onKill = engine.Stop
	f.listen(p, engineAddress(e.Name), engine.Handler())
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.engine = engine
	e.engineProcess = p
}

// handleCrash kills a crashed engine's process and restarts it after
// RestartDelay, as the platform does.
func (f *Fleet) handleCrash(e *Endpoint, p *process) {
	f.Network.Kill(p.host)
	p.cancel()
	e.mutex.Lock()
	e.crashes++
	e.mutex.Unlock()
	if f.config.RestartDelay == 0 {
		return
	}
	go func() {
		common.Sleep(f.ctx, f.config.RestartDelay)
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
	p := f.newProcess(agentHost(e.Name))
	a := agent.NewAgent(p.ctx, c, agent.Config{
		Instance:        ident.InstanceName(e.Name),
		Region:          e.Region,
		Pool:            e.Pool,
		Address:         agentAddress(e.Name),
		Endpoint:        e.Name,
		Kind:            e.kind(),
		EndpointAddress: engineAddress(e.Name),
		Slots:           f.config.Engine.Slots,
		PrefillSlots:    1,
		MaxHoldTimeout:  maxHoldTimeout,
		SweepInterval:   sweepInterval,
		HTTP:            f.client(p.host),
		Store:           f.Store(p.host),
		Keyring:         f.keyring,
	})
	p.tasksDone = make(chan struct{})
	go func() {
		defer close(p.tasksDone)
		a.Run()
	}()
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

// Endpoint returns an endpoint by its name, or nil if there is none.
func (f *Fleet) Endpoint(name ident.EndpointName) *Endpoint { return f.endpoints[name] }

// Endpoints returns all endpoints of a pool, in no particular order.
func (f *Fleet) Endpoints(pool ident.PoolName) []*Endpoint {
	var list []*Endpoint
	for _, e := range f.endpoints {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	return list
}

// KillAgent kills an agent as SIGKILL does; its endpoint keeps running.
func (f *Fleet) KillAgent(name ident.EndpointName) {
	p, _ := f.endpoints[name].processes()
	f.kill(p)
}

// RestartAgent starts a new agent, after KillAgent or StopAgent.
func (f *Fleet) RestartAgent(name ident.EndpointName) error { return f.startAgent(f.endpoints[name]) }

// MarkLeaving marks an endpoint as leaving in the platform's list of instances.
func (f *Fleet) MarkLeaving(name ident.EndpointName) {
	f.Platform.SetInstance(f.instance(f.endpoints[name], store.Leaving))
}

// StopAgent drains an agent and shuts it down, as its process does at a signal. Requests
// that have not ended by the timeout are aborted. It returns when the process has ended.
func (f *Fleet) StopAgent(name ident.EndpointName, timeout time.Duration) {
	e := f.endpoints[name]
	f.MarkLeaving(name)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p, _ := e.processes()
	e.Agent().Drain(ctx)
	_ = p.server.Shutdown(ctx)
	e.Agent().EndWork()
	p.cancel()
	<-p.tasksDone
	f.kill(p)
}

// KillEngine kills an engine as SIGKILL does.
func (f *Fleet) KillEngine(name ident.EndpointName) {
	_, p := f.endpoints[name].processes()
	f.kill(p)
}

// RestartEngine starts a new engine with empty memory.
func (f *Fleet) RestartEngine(name ident.EndpointName) { f.startEngine(f.endpoints[name]) }

// AgentHost returns the name of an agent's host on the network.
func AgentHost(name ident.EndpointName) memnet.Host { return agentHost(name) }

// EngineHost returns the name of an engine's host on the network.
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
