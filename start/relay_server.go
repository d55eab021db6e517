package start

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"crocusstep/common"
	"crocusstep/conf"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/platform"
	"crocusstep/pool"
	"crocusstep/relay"
	"crocusstep/retry"
	"crocusstep/socket"
	"crocusstep/store"
	"crocusstep/table"
)

const (
	// watchTimeout is the longest wait of a watch of those relays that look at the
	// store often. A watch that went silent shows after it and the call's time-out:
	// together less than the 4 s in which a change must be known after an outage.
	watchTimeout = 2400 * time.Millisecond
	// relaxedWatchTimeout is that of the others, which hear of changes from the first.
	relaxedWatchTimeout = 8 * time.Second
	// relaxedWatchPause is the time in which their keepers' news reach those relays.
	relaxedWatchPause = 1200 * time.Millisecond
	// storeTimeout bounds a call to the store, which answers in 4 ms and, when it
	// is slow, in up to 60 times that.
	storeTimeout = 800 * time.Millisecond
	// minConnsPerEndpoint is what a relay may open to one endpoint however many relays
	// there are: endpoints of the users take 110 and more.
	minConnsPerEndpoint = 16
	// cleanupInterval is the time between two looks for old connections.
	cleanupInterval = 500 * time.Millisecond
	// settingsPollInterval is how soon a changed settings file is in force without a
	// signal.
	settingsPollInterval = 5 * time.Second
	// responseFlushTime is kept of the grace for the last answers to go out.
	responseFlushTime = 700 * time.Millisecond
)

// relayServer is a relay with its listeners.
type relayServer struct {
	*platformProcess
	settings  conf.Relay
	pool      *pool.Pool
	relay     *relay.Relay
	endpoints *platform.EndpointClient
	gossip    *relay.Gossip
	callers   *http.Server
	// draining is set from the signal to stop.
	draining atomic.Bool
	// shutdown is the times of a stop that are in force.
	shutdown atomic.Pointer[conf.RelayShutdown]
}

func newRelayServer(p *platformProcess, settings conf.Relay) *relayServer {
	s := &relayServer{platformProcess: p, settings: settings, pool: pool.NewPool()}
	s.shutdown.Store(&settings.Shutdown)
	s.endpoints = platform.NewEndpointClient(socket.Dial)
	places := keeper.NewClient(socket.NewClient(), settings.Peers.KeeperPort)
	s.relay = relay.NewRelay(p.Common, relay.Config{
		Home:       newTopology(settings),
		Pool:       s.pool,
		Endpoints:  s.endpoints,
		Keepers:    places,
		Retries:    retryLimits(settings),
		RelayCount: func() int { return s.gossip.RelayCount() },
	})
	s.gossip = relay.NewGossip(s.relay, s.pool, places, string(settings.Location.Instance))
	s.callers = newServer(platform.NewCallerHandler(s.relay, s.draining.Load), adminHeaderTimeout)
	return s
}

func retryLimits(settings conf.Relay) retry.Limits {
	return retry.Limits{Ratio: settings.Retries.Ratio, Slack: settings.Retries.Slack, Window: settings.Retries.Window.Std()}
}

func newTopology(settings conf.Relay) pool.Topology {
	home := pool.Topology{Zone: settings.Location.Zone, Regions: map[ident.ZoneName]ident.RegionName{}}
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
	return !s.draining.Load() && s.relay.Table() != nil && s.pool.Loaded()
}

// startFollowers keeps the relay's view of routes and endpoints up to date.
func (s *relayServer) startFollowers() {
	client := platform.NewStore(platform.StoreConfig{
		Address: s.settings.Platform.Address,
		HTTP:    socket.NewClient(),
		Timeout: storeTimeout,
		Observe: func(call string, size ident.ByteCount) { s.Meter.CountControlMessage("platform-"+call, size) },
	})
	tables := store.NewWatcher(s.Common, client, platform.ConfigKind, &platform.ConfigReader{Common: s.Common, OnConfig: s.applyTable, NextWatchTimeout: s.nextWatchTimeout})
	records := store.NewWatcher(s.Common, client, platform.EndpointKind, &platform.EndpointReader{Common: s.Common, Pool: s.pool, NextWatchTimeout: s.nextWatchTimeout, OnChange: s.gossip.Announce})
	s.tasks.Go(func() { tables.Run(s.ctx) })
	s.tasks.Go(func() { records.Run(s.ctx) })
	s.tasks.Go(func() { s.gossip.Run(s.ctx) })
	s.tasks.Go(func() { s.relay.Balance(s.ctx, s.gossip.IsLeader) })
	s.tasks.Go(func() { s.cleanUp(records) })
}

// nextWatchTimeout draws the wait of a watch, so that those of different relays end at
// different times and one cut off all at once is soon noticed by somebody.
// Relays that hear of changes from others rest between two watches, so that
// several changes cost one call.
func (s *relayServer) nextWatchTimeout(ctx context.Context) time.Duration {
	most := watchTimeout
	if !s.gossip.IsWatcher() {
		common.Sleep(ctx, relaxedWatchPause)
		most = relaxedWatchTimeout
	}
	return most/2 + rand.N(most/2)
}

func (s *relayServer) applyTable(d *table.Document) {
	if s.relay.SetTable(d) {
		s.Log.Info("routes in force", "table", d.Version, "routes", len(d.Routes), "services", len(d.Services))
		s.gossip.Announce()
	}
}

// cleanUp drops what has become too old.
func (s *relayServer) cleanUp(records *store.Watcher) {
	for s.ctx.Err() == nil {
		common.Sleep(s.ctx, cleanupInterval)
		now := time.Now()
		s.endpoints.Client().CloseExpired(now)
		s.limitConns()
		for _, name := range s.pool.RemoveLapsed(now, records.LastFailure()) {
			s.Log.Info("an endpoint whose record lapsed did not come back", "endpoint", name)
		}
	}
	s.endpoints.Client().Close()
}

// limitConns shares what each endpoint takes among all relays.
func (s *relayServer) limitConns() {
	t := s.relay.Table()
	if t == nil {
		return
	}
	endpoints, _ := s.pool.Snapshot()
	for _, e := range endpoints {
		if most := t.Services[e.Service].MaxConns; most > 0 {
			s.endpoints.Client().SetMaxConns(e.Address, max(minConnsPerEndpoint, most/s.gossip.RelayCount()))
		}
	}
}

// watchSettings takes over a changed settings file at SIGHUP or when it is found
// changed: the retries and the times of a stop; all else needs a restart.
func (s *relayServer) watchSettings(file string) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var last []byte
	for s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.reload:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			s.Log.Error("the settings file cannot be read; those in force stay", "error", err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		settings, err := conf.ParseRelay(file, data)
		if err != nil {
			s.Log.Error("the settings in force stay, as the file has faults", "error", err)
			continue
		}
		s.relay.SetRetries(retryLimits(settings))
		s.shutdown.Store(&settings.Shutdown)
		s.Log.Info("settings reloaded", "retry-ratio", settings.Retries.Ratio, "retry-slack", settings.Retries.Slack, "grace", settings.Shutdown.GracePeriod)
	}
}

// shutDown lets the balancer turn away first, ends kept connections with their next
// answer, and then waits for what is under way.
func (s *relayServer) shutDown() {
	began := time.Now()
	s.draining.Store(true)
	times := s.shutdown.Load()
	time.Sleep(times.ShutdownDelay.Std())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(times.GracePeriod.Std()-responseFlushTime))
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.Log.Warn("work was cut off at the end of the grace", "error", err)
		_ = s.callers.Close()
	}
	s.relay.Wait()
}
