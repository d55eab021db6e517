package start

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"crocusstep/auth"
	"crocusstep/common"
	"crocusstep/conf"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/intake"
	"crocusstep/meter"
	"crocusstep/parser"
	"crocusstep/platform"
	"crocusstep/socket"
)

const (
	// keysPollInterval is the time between two reads of the peer keys file; SIGHUP reloads it
	// immediately.
	keysPollInterval = 5 * time.Second
	// exitForced is the exit code after a second signal: 128 + SIGINT.
	exitForced = 130
)

// process is the common part of entries and agents: shutdown by signals,
// listeners, and access to the platform and to peers.
type process struct {
	*common.Common
	guard *guard
	// ctx is cancelled by cancel, which stops all tasks.
	ctx    context.Context
	cancel context.CancelFunc
	// stopRequested is closed by the first signal to stop.
	stopRequested chan struct{}
	// reload has a buffer of one; SIGHUP requests a reload of the peer keys.
	reload chan struct{}
	tasks  common.Tasks
	http   *http.Client
}

func newProcess(settings conf.Log, location conf.Location, memory parser.Size, stderr io.Writer) (p *process, err error) {
	defer fault.Annotate(&err, "set up the process")
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	limitHeap(memory)
	log := newLogger(settings, stderr).With("instance", location.Instance)
	ctx, cancel := context.WithCancel(context.Background())
	p = &process{
		Common:        common.NewCommon(log, m),
		guard:         newGuard(memory, requestParts, m),
		ctx:           ctx,
		cancel:        cancel,
		stopRequested: make(chan struct{}),
		reload:        make(chan struct{}, 1),
		http:          socket.NewClient(),
	}
	p.watchSignals()
	return p, nil
}

// startProcess returns a process that handles signals and a keyring that follows
// the peer keys file.
func (c *cli) startProcess(log conf.Log, location conf.Location, memory parser.Size, keysFile string) (*process, *auth.Keyring, error) {
	p, err := newProcess(log, location, memory, c.stderr)
	if err != nil {
		return nil, nil, err
	}
	ring, err := p.newKeyring(keysFile)
	if err != nil {
		p.close()
		return nil, nil, err
	}
	return p, ring, nil
}

// close cancels all tasks and waits for them.
func (p *process) close() {
	p.cancel()
	p.tasks.Wait()
}

func newLogger(settings conf.Log, stderr io.Writer) *slog.Logger {
	var level slog.Level
	// The settings parser has checked the level.
	_ = level.UnmarshalText([]byte(settings.Level))
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: formatDuration}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(stderr, options))
	}
	return slog.New(slog.NewTextHandler(stderr, options))
}

// formatDuration logs durations with their unit, rounded to 10 µs.
func formatDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().Round(10*time.Microsecond).String())
	}
	return a
}

// watchSignals begins a graceful shutdown at the first signal to stop and exits at the
// second. SIGHUP requests a reload.
func (p *process) watchSignals() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			select {
			case p.reload <- struct{}{}:
			default:
			}
		}
	}()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		p.Log.Info("shutting down; a second signal ends the process immediately")
		close(p.stopRequested)
		<-signals
		os.Exit(exitForced)
	}()
}

func (p *process) newStore(settings conf.Platform) *platform.Store {
	return platform.NewStore(platform.StoreConfig{
		Address: settings.Address,
		HTTP:    p.http,
		Timeout: settings.Timeout.Std(),
		Observe: func(call string, size ident.ByteCount) { p.Meter.CountControlMessage("platform-"+call, size) },
		OnSkip:  platform.LogSkips(p.Common),
	})
}

// newKeyring reads the peer keys file and starts a task that reloads it.
func (p *process) newKeyring(file string) (ring *auth.Keyring, err error) {
	defer fault.Annotate(&err, "read the peer keys")
	keys, err := readKeys(file)
	if err != nil {
		return nil, err
	}
	ring, err = auth.NewKeyring(keys)
	if err != nil {
		return nil, err
	}
	p.tasks.Go(func() { p.watchKeys(file, ring) })
	return ring, nil
}

func (p *process) watchKeys(file string, ring *auth.Keyring) {
	ticker := time.NewTicker(keysPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		case <-p.reload:
		}
		keys, err := readKeys(file)
		if err == nil {
			err = ring.Replace(keys)
		}
		if err != nil {
			p.Log.Error("could not reload the peer keys; the current ones stay in use", "error", err)
		}
	}
}

func readKeys(file string) ([]auth.Key, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return conf.ParsePeerKeys(file, data)
}

// serve opens a listener and serves it in a task until the server is shut down.
func (p *process) serve(address ident.Address, server *intake.Server) (err error) {
	defer fault.Annotate(&err, "listen on %s", address)
	listener, err := socket.Listen(p.ctx, string(address))
	if err != nil {
		return err
	}
	server.ErrorLog = slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)
	p.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("listener failed", "address", address, "error", err)
		}
	})
	return nil
}

// adminRoutes is what a role serves at the administration listener in addition
// to /healthz, /readyz and /metrics.
type adminRoutes struct {
	// ready decides the status of /readyz.
	ready func() bool
	// authenticated maps patterns to handlers that require the admin token.
	authenticated map[string]http.Handler
}

func (p *process) serveAdmin(settings conf.Admin, routes adminRoutes) (*intake.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !routes.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.Handle("GET /metrics", p.Meter.Handler())
	for pattern, handler := range routes.authenticated {
		mux.Handle(pattern, auth.RequireToken(settings.Token, handler))
	}
	server := p.guard.newSideServer(mux)
	return server, p.serve(settings.Listen, server)
}

// shutDown waits for requests in flight until the deadline and then closes the
// servers.
func (p *process) shutDown(endsAt time.Time, servers ...*intake.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			p.Log.Warn("requests were still in flight at the shutdown timeout", "error", err)
		}
	}
}
