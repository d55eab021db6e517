package start

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"crocusstep/common"
	"crocusstep/conf"
	"crocusstep/ident"
	"crocusstep/logs"
	"crocusstep/meter"
	"crocusstep/news"
	"crocusstep/place"
	"crocusstep/platform"
	"crocusstep/pool"
	"crocusstep/relay"
	"crocusstep/retry"
	"crocusstep/socket"
	"crocusstep/store"
	"crocusstep/strict"
	"crocusstep/table"
)

const (
	// watchSpan is the longest wait of a watch of those relays that look at the
	// store often. A watch that went silent shows after it and the call's time-out:
	// together less than the 4 s in which a change must be known after an outage.
	watchSpan = 2400 * time.Millisecond
	// relaxedSpan is that of the others, which hear of changes from the first.
	relaxedSpan = 8 * time.Second
	// relaxedRest is the time in which their keepers' news reach those relays.
	relaxedRest = 1200 * time.Millisecond
	// storeTimeout bounds a call to the store, which answers in 4 ms and, when it
	// is slow, in up to 60 times that.
	storeTimeout = 800 * time.Millisecond
	// trimInterval is the time between two looks for old connections.
	trimInterval = 500 * time.Millisecond
	// lastAnswers is kept of the grace for the last answers to go out.
	lastAnswers = 700 * time.Millisecond
	// heapShare is the part of the memory limit for the heap, in percent.
	heapShare = 60
)

func (c *cli) addRelay() {
	command := c.app.Command("relay", "Pass callers' requests on to endpoints as they came.")
	file := command.Flag("settings", "YAML file with the settings.").Envar(platform.SettingsVariable).Required().String()
	c.add(command, func() error { return c.runRelay(*file) })
}

func (c *cli) runRelay(file string) error {
	settings, err := parseFile(file, conf.ParseRelay)
	if err != nil {
		return err
	}
	p, err := c.bootNative(settings.Place, settings.Memory)
	if err != nil {
		return err
	}
	defer p.close()
	s := newRelayServer(p, settings)
	if err := s.listen(); err != nil {
		return err
	}
	s.follow()
	p.Log.Info("relay is up", "version", c.build.Version, "listen", settings.Listen, "zone", settings.Place.Zone)
	<-p.asked
	s.stop()
	return nil
}

// native is a process that runs on the users' platform.
type native struct {
	*common.Common
	ctx context.Context
	end context.CancelFunc
	out *logs.Writer
	// asked is closed by the first signal to stop.
	asked chan struct{}
	tasks common.Tasks
	// servers are closed at the end.
	servers []*http.Server
}

func (c *cli) bootNative(at conf.Place, memory strict.Size) (*native, error) {
	debug.SetMemoryLimit(int64(memory) * heapShare / 100)
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	out := logs.NewWriter(c.stdout)
	log := newLogger(conf.Log{Level: "info", Format: "json"}, out).With("instance", at.Instance)
	ctx, end := context.WithCancel(context.Background())
	p := &native{Common: common.NewCommon(log, m), ctx: ctx, end: end, out: out, asked: make(chan struct{})}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go p.handle(signals)
	return p, nil
}

// handle begins the shutdown at the first signal to stop. All settings that a
// running process uses are fixed at its start, so that SIGHUP changes nothing.
func (p *native) handle(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.Log.Info("settings are read at the start only; nothing was reloaded", "signal", s.String())
			continue
		}
		p.Log.Info("shutting down", "signal", s.String())
		close(p.asked)
		return
	}
}

func (p *native) close() {
	p.end()
	for _, server := range p.servers {
		// Nothing is under way any more; a failure to close harms nobody.
		_ = server.Close()
	}
	p.tasks.Wait()
	p.Log.Info("stopped")
	// The writer only fails to close if it is closed twice.
	_ = p.out.Close()
}

// serve serves a listener until its server is shut down.
func (p *native) serve(address string, server *http.Server) error {
	listener, err := socket.Listen(p.ctx, address)
	if err != nil {
		return err
	}
	server.ErrorLog = slog.NewLogLogger(p.Log.Handler(), slog.LevelError)
	p.servers = append(p.servers, server)
	p.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("a listener failed", "address", address, "error", err)
		}
	})
	return nil
}

func (p *native) serveMetrics(host string, port int) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Meter.Handler())
	return p.serve(net.JoinHostPort(host, strconv.Itoa(port)), newServer(mux, adminHeaderTimeout))
}

// relayServer is a relay with its listeners.
type relayServer struct {
	*native
	settings  conf.Relay
	pool      *pool.Pool
	relay     *relay.Relay
	endpoints *platform.Endpoints
	gossip    *relay.Gossip
	callers   *http.Server
	// leaving is set from the signal to stop.
	leaving atomic.Bool
}

func newRelayServer(p *native, settings conf.Relay) *relayServer {
	s := &relayServer{native: p, settings: settings, pool: pool.NewPool()}
	s.endpoints = platform.NewEndpoints(socket.Dial)
	places := place.NewClient(socket.NewClient(), settings.Peers.KeeperPort)
	s.relay = relay.NewRelay(p.Common, relay.Config{
		Home:      homeOf(settings),
		Pool:      s.pool,
		Endpoints: s.endpoints,
		Places:    places,
		Retries:   retry.Allowance{Ratio: settings.Retries.Ratio, Slack: settings.Retries.Slack, Span: settings.Retries.Window.Std()},
		Processes: func() int { return s.gossip.Peers() },
	})
	s.gossip = relay.NewGossip(s.relay, s.pool, places, string(settings.Place.Instance))
	s.callers = newServer(platform.NewCallers(s.relay, s.leaving.Load), adminHeaderTimeout)
	return s
}

func homeOf(settings conf.Relay) pool.Home {
	home := pool.Home{Zone: settings.Place.Zone, Regions: map[ident.ZoneName]ident.RegionName{}}
	for _, z := range settings.Zones {
		home.Regions[z.Name] = z.Region
	}
	return home
}

func (s *relayServer) listen() error {
	if err := s.serve(string(s.settings.Listen), s.callers); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := s.serve(string(s.settings.Readiness), newServer(mux, adminHeaderTimeout)); err != nil {
		return err
	}
	return s.serveMetrics(s.settings.Address, s.settings.MetricsPort)
}

func (s *relayServer) ready() bool {
	return !s.leaving.Load() && s.relay.Table() != nil && s.pool.Loaded()
}

// follow keeps the relay's view of routes and endpoints up to date.
func (s *relayServer) follow() {
	client := platform.NewStore(platform.StoreConfig{
		Address: s.settings.Platform.Address,
		HTTP:    socket.NewClient(),
		Timeout: storeTimeout,
		Observe: func(call string, size ident.ByteCount) { s.Meter.Control("platform-"+call, size) },
	})
	tables := store.NewFollower(s.Common, client, platform.TableKey, &platform.Tables{Common: s.Common, Take: s.takeTable, Span: s.watchSpan})
	records := store.NewFollower(s.Common, client, platform.EndpointKey, &platform.Records{Common: s.Common, Pool: s.pool, Span: s.watchSpan, Changed: s.gossip.Changed})
	s.tasks.Go(func() { tables.Run(s.ctx) })
	s.tasks.Go(func() { records.Run(s.ctx) })
	s.tasks.Go(func() { s.gossip.Run(s.ctx) })
	s.tasks.Go(func() { s.relay.Balance(s.ctx, s.gossip.Leads) })
	s.tasks.Go(func() { s.trim(records) })
}

// watchSpan draws the wait of a watch, so that those of different relays end at
// different times and one cut off all at once is soon noticed by somebody.
// Relays that hear of changes from others rest between two watches, so that
// several changes cost one call.
func (s *relayServer) watchSpan(ctx context.Context) time.Duration {
	most := watchSpan
	if !s.gossip.Watches() {
		common.Pause(ctx, relaxedRest)
		most = relaxedSpan
	}
	return most/2 + rand.N(most/2)
}

func (s *relayServer) takeTable(d *table.Document) {
	if s.relay.SetTable(d) {
		s.Log.Info("routes in force", "table", d.Version, "routes", len(d.Routes), "services", len(d.Services))
		s.gossip.Changed()
	}
}

// trim drops what has become too old.
func (s *relayServer) trim(records *store.Follower) {
	for s.ctx.Err() == nil {
		common.Pause(s.ctx, trimInterval)
		now := time.Now()
		s.endpoints.Links().Trim(now)
		for _, name := range s.pool.Expire(now, records.Failed()) {
			s.Log.Info("an endpoint whose record lapsed did not come back", "endpoint", name)
		}
	}
	s.endpoints.Links().Close()
}

// stop lets the balancer turn away first, ends kept connections with their next
// answer, and then waits for what is under way.
func (s *relayServer) stop() {
	began := time.Now()
	s.leaving.Store(true)
	time.Sleep(s.settings.Stop.LeaveDelay.Std())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.settings.Stop.Grace.Std()-lastAnswers))
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.Log.Warn("work was cut off at the end of the grace", "error", err)
		_ = s.callers.Close()
	}
	s.relay.Wait()
}

func (c *cli) addKeeper() {
	command := c.app.Command("keeper", "Give out the places of the engine on the same instance.")
	file := command.Flag("settings", "YAML file with the settings.").Envar(platform.SettingsVariable).Required().String()
	c.add(command, func() error { return c.runKeeper(*file) })
}

func (c *cli) runKeeper(file string) error {
	settings, err := parseFile(file, conf.ParseKeeper)
	if err != nil {
		return err
	}
	p, err := c.bootNative(settings.Place, settings.Memory)
	if err != nil {
		return err
	}
	defer p.close()
	keeper := place.NewKeeper(p.Common, platform.NewEngine(socket.NewClient(), settings.Endpoint, settings.Place.Instance))
	p.tasks.Go(func() { keeper.Run(p.ctx) })
	server := newServer(place.NewHandler(keeper, news.NewBoard()), adminHeaderTimeout)
	listen := net.JoinHostPort(settings.Address, strconv.Itoa(settings.Peers.KeeperPort))
	if err := p.serve(listen, server); err != nil {
		return err
	}
	if err := p.serveMetrics(settings.Address, settings.MetricsPort); err != nil {
		return err
	}
	p.Log.Info("keeper is up", "version", c.build.Version, "endpoint", settings.Endpoint, "listen", listen)
	<-p.asked
	return nil
}
