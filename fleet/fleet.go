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
	"sync"
	"time"

	"crocusstep/auth"
	"crocusstep/common"
	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/meter"
	"crocusstep/platform"
	"crocusstep/route"
	"crocusstep/spec"
	"crocusstep/store"
)

const (
	platformAddress ident.Address = "platform:1"
	callerHost      memnet.Host   = "caller"

	platformTimeout = 2 * time.Second
	sweepInterval   = 2 * time.Second
	maxHold         = 10 * time.Second
	bodyTimeout     = 10 * time.Second
	// closeDelay lets handlers that sleep come to their end; a fleet runs in
	// virtual time, so it costs nothing.
	closeDelay = time.Hour
)

// Config configures a Fleet.
type Config struct {
	Platform fake.PlatformConfig
	// Engine is the timing of every engine; its client is set by the fleet.
	Engine       fake.EngineConfig
	PlainService fake.PlainServiceConfig
	// Log gets the logs of all processes.
	Log  *slog.Logger
	Seed uint64
	// NewPolicy makes the policy of each entry; nil means the product's own.
	NewPolicy func() route.Policy
	// RestartDelay is how soon a crashed engine is started again; zero means
	// that it stays down.
	RestartDelay time.Duration
}

// Fleet is one small deployment.
type Fleet struct {
	Network  *memnet.Network
	Platform *fake.Platform

	config    Config
	keyring   *auth.Keyring
	platform  *process
	endpoints map[ident.EndpointName]*Endpoint

	mutex          sync.Mutex
	entries        map[ident.InstanceName]*runningEntry
	entriesStarted uint64
	clients        []*http.Client
	// ctx ends what the fleet does by itself.
	ctx    context.Context
	cancel context.CancelFunc
}

// process is one killable process.
type process struct {
	host   memnet.Host
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	done   chan struct{}
	// onKill is called when the process is killed, if set.
	onKill func()
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
	time.Sleep(closeDelay)
}

func (f *Fleet) start(host memnet.Host, address ident.Address, handler http.Handler) *process {
	p := f.newProcess(host)
	f.listen(p, address, handler)
	return p
}

func (f *Fleet) newProcess(host memnet.Host) *process {
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
	if p.onKill != nil {
		p.onKill()
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
	return platform.NewStore(platform.StoreConfig{Address: platformAddress, HTTP: f.client(host), Timeout: platformTimeout})
}

func (f *Fleet) common(name string) (*common.Common, error) {
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	return common.NewCommon(f.config.Log.With("instance", name), m), nil
}

// PutDocument puts a document in force.
func (f *Fleet) PutDocument(ctx context.Context, file string, text []byte) error {
	document, err := spec.Parse(file, text)
	if err != nil {
		return err
	}
	_, err = docset.NewAdmin(f.Store("operator")).Put(ctx, document, text, docset.AnyRevision)
	return err
}

// PutDocuments puts all documents of a folder in force.
func (f *Fleet) PutDocuments(ctx context.Context, folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := f.PutDocument(ctx, file, text); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}
