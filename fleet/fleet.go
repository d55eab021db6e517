// Package fleet runs a small deployment in one process for tests and
// measurements: a platform, endpoints, agents and entries, connected by memnet.
// Each of them can be killed, partitioned or restarted.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/auth"
	"crocusstep/common"
	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/intake"
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
	maxHoldTimeout  = 10 * time.Second
	bodyTimeout     = 10 * time.Second
	// closeDelay lets sleeping handlers return before Close does. It takes no
	// real time, as tests run in virtual time.
	closeDelay = time.Hour
)

// Config configures a Fleet.
type Config struct {
	Platform fake.PlatformConfig
	// Engine configures every engine; the fleet sets its HTTP client.
	Engine       fake.EngineConfig
	PlainService fake.PlainServiceConfig
	// Log receives the logs of all processes; nil discards them.
	Log  *slog.Logger
	Seed uint64
	// NewPolicy creates the routing policy of each entry; nil means the default
	// policy.
	NewPolicy func() route.Policy
	// RestartDelay is the time after which a crashed engine is restarted; at zero
	// it stays down.
	RestartDelay time.Duration
}

// Fleet is a deployment that runs in one process.
type Fleet struct {
	Network  *memnet.Network
	Platform *fake.Platform

	config    Config
	keyring   *auth.Keyring
	platform  *process
	endpoints map[ident.EndpointName]*Endpoint

	// received counts the requests that entries have read.
	received atomic.Int64

	mutex          sync.Mutex
	entries        map[ident.InstanceName]*runningEntry
	entriesStarted uint64
	clients        []*http.Client
	// ctx ends the fleet's background work, such as engine restarts.
	ctx    context.Context
	cancel context.CancelFunc
}

// process is a simulated process, which can be killed.
type process struct {
	host   memnet.Host
	ctx    context.Context
	cancel context.CancelFunc
	server *intake.Server
	done   chan struct{}
	// tasksDone is closed when the background work has ended, unless it is nil.
	tasksDone chan struct{}
	// onKill is called after the process was killed, unless it is nil.
	onKill func()
}

// NewFleet returns a fleet that runs only a platform.
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

// Close kills all processes and waits until their handlers have returned.
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
	p.server = intake.NewServer(&http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(f.config.Log.Handler(), slog.LevelDebug)})
	listener := f.Network.Listen(p.host, string(address))
	go func() {
		defer close(p.done)
		_ = p.server.Serve(listener)
	}()
}

// kill ends a process as SIGKILL does: it sends nothing more, and its connections
// close immediately.
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

// Store returns a client of the platform's store for a host.
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

// PutDocument validates a document and makes it the active one of its service.
func (f *Fleet) PutDocument(ctx context.Context, file string, text []byte) error {
	document, err := spec.Parse(file, text)
	if err != nil {
		return err
	}
	_, err = docset.NewAdmin(f.Store("operator")).Put(ctx, document, text, docset.AnyRevision)
	return err
}

// PutDocuments activates all documents in a folder.
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
