package start

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"crocusstep/common"
	"crocusstep/conf"
	"crocusstep/ident"
	"crocusstep/intake"
	"crocusstep/keeper"
	"crocusstep/platform"
	"crocusstep/pool"
	"crocusstep/quota"
	"crocusstep/relay"
	"crocusstep/retry"
	"crocusstep/socket"
	"crocusstep/store"
	"crocusstep/table"
)

const (
	// storeTimeout bounds a call to the store, which responds in 4 ms, and in up to 60
	// times that when it is slow.
	storeTimeout = 800 * time.Millisecond
	// minConnsPerEndpoint is how many connections a relay may open to one endpoint
	// however many relays there are: endpoints accept at least 110.
	minConnsPerEndpoint = 16
	// cleanupInterval is the time between two removals of expired connections and
	// lapsed endpoints.
	cleanupInterval = 500 * time.Millisecond
	// settingsPollInterval is the time between two reads of the settings file; SIGHUP
	// reloads it immediately.
	settingsPollInterval = 5 * time.Second
	// responseMemoryPart is the part of the memory that responses may take until they are complete.
	responseMemoryPart = 6
	// responseFlushTime is the end of the grace period that is kept for writing the
	// last responses.
	responseFlushTime = 700 * time.Millisecond
)

// relayServer runs a relay with its listeners and its watchers of the store.
type relayServer struct {
	*platformProcess
	settings  conf.Relay
	pool      *pool.Pool
	relay     *relay.Relay
	endpoints *platform.EndpointClient
	gossip    *relay.Gossip
	store     *platform.Store
	// endpointReader applies the store's records to the pool.
	endpointReader *platform.EndpointReader
	callers        *intake.Server
	// draining is set at the first signal to stop.
	draining atomic.Bool
	// shutdownSettings is the shutdown section of the settings, as last reloaded.
	shutdownSettings atomic.Pointer[conf.RelayShutdown]
}

func newRelayServer(p *platformProcess, settings conf.Relay) *relayServer {
	s := &relayServer{platformProcess: p, settings: settings, pool: pool.NewPool()}
	s.shutdownSettings.Store(&settings.Shutdown)
	s.endpoints = platform.NewEndpointClient(socket.Dial, relay.NewEndpointState(p.Common, s.pool))
	keepers := keeper.NewClient(socket.NewClient(), settings.Peers.KeeperPort)
	s.relay = relay.NewRelay(p.Common, relay.Config{
		Topology:   newTopology(settings),
		Pool:       s.pool,
		Endpoints:  s.endpoints,
		Keepers:    keepers,
		Retries:    retryLimits(settings),
		Transit:    settings.Callers.Transit.Std(),
		Quotas:     quotaBounds(settings),
		RelayCount: func() int { return s.gossip.RelayCount() },

		ResponseMemory: ident.ByteCount(settings.Memory) / responseMemoryPart,
		MaxTableAge:    settings.Table.MaxAge.Std(),
		LearnedCosts:   settings.Routing.LearnedCosts,
		Refresh:        func(ctx context.Context) bool { return s.gossip.Refresh(ctx) },
		Acknowledge:    func(ctx context.Context) { s.gossip.Acknowledge(ctx) },
		EndpointChanges: func(ctx context.Context, since pool.Revision) ([]pool.Change, pool.Revision, error) {
			return s.endpointReader.ChangesSince(ctx, s.store, since)
		},
	})
	s.gossip = relay.NewGossip(s.relay, s.pool, keepers, string(settings.Location.Instance))
	s.endpointReader = &platform.EndpointReader{Common: p.Common, Pool: s.pool, NextWatchTimeout: s.gossip.EndpointWatchTimeout, OnChange: s.gossip.Announce}
	s.store = platform.NewStore(platform.StoreConfig{
		Address: settings.Platform.Address,
		HTTP:    socket.NewClient(),
		Timeout: storeTimeout,
		Observe: func(call string, size ident.ByteCount) { s.Meter.CountControlMessage("platform-"+call, size) },
		OnSkip:  platform.LogSkips(p.Common),
	})
	s.callers = p.guard.newServer(platform.NewCallerHandler(s.relay, s.draining.Load), adminHeaderTimeout)
	s.callers.Limits = s.callerLimits
	s.callers.RefusesAtClose = true
	s.callers.OnCrossing = platform.LogCrossings(p.Common)
	return s
}

// callerLimits returns the operators' limits on heads and times.
func (s *relayServer) callerLimits() intake.Limits {
	t := s.relay.Table()
	if t == nil {
		return intake.Limits{}
	}
	return intake.Limits{MaxHead: t.Limits.MaxHeader, HeadTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

func retryLimits(settings conf.Relay) retry.Limits {
	return retry.Limits{Ratio: settings.Retries.Ratio, Slack: settings.Retries.Slack, Window: settings.Retries.Window.Std()}
}

func quotaBounds(settings conf.Relay) quota.Bounds {
	return quota.Bounds{Window: settings.Quotas.Window.Std(), Excess: settings.Quotas.Excess, Slack: quota.Units(settings.Quotas.Slack)}
}

func newTopology(settings conf.Relay) pool.Topology {
	topology := pool.Topology{Zone: settings.Location.Zone, Regions: map[ident.ZoneName]ident.RegionName{}}
	for _, z := range settings.Zones {
		topology.Regions[z.Name] = z.Region
	}
	return topology
}

func (s *relayServer) listen() error {
	if err := s.serve(string(s.settings.Listen), s.callers); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, s.serveReadiness)
	if err := s.serve(string(s.settings.Readiness), s.guard.newSideServer(mux)); err != nil {
		return err
	}
	return s.serveMetrics(s.settings.Address, s.settings.MetricsPort)
}

// serveReadiness tells the load balancer whether the relay takes requests.
func (s *relayServer) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.relay.SetListed() {
		s.gossip.AnnounceAvailability()
	}
}

func (s *relayServer) ready() bool {
	return !s.draining.Load() && s.relay.Table() != nil && s.pool.Loaded()
}

// startWatchers starts the tasks that keep routes and endpoints up to date.
func (s *relayServer) startWatchers() {
	configs := store.NewWatcher(s.Common, platform.NewNewestStore(s.store), platform.ConfigKind, &platform.ConfigReader{Common: s.Common, OnConfig: s.applyTable, NextWatchTimeout: s.gossip.TableWatchTimeout})
	endpoints := store.NewWatcher(s.Common, s.store, platform.EndpointKind, s.endpointReader)
	configs.Freshness, configs.MaxAge = s.relay.TableFreshness(), relay.MaxAge
	endpoints.Freshness, endpoints.MaxAge = s.relay.EndpointFreshness(), relay.MaxAge
	s.tasks.Go(func() { configs.Run(s.ctx) })
	s.tasks.Go(func() { endpoints.Run(s.ctx) })
	s.tasks.Go(func() { s.gossip.Run(s.ctx) })
	s.tasks.Go(func() { s.relay.Balance(s.ctx, s.gossip.IsLeader) })
	s.tasks.Go(func() { s.relay.SendOrigins(s.ctx) })
	s.tasks.Go(func() { s.relay.ReturnQuotas(s.ctx) })
	s.tasks.Go(func() { s.cleanUp(endpoints) })
}

func (s *relayServer) applyTable(d *table.Document) {
	if s.relay.SetTable(d) {
		s.Log.Info("routes in force", "table", d.Version, "routes", len(d.Routes), "services", len(d.Services), "age-before", s.relay.TableAge())
		s.gossip.Announce()
	}
}

// cleanUp closes expired connections and removes endpoints whose records have
// lapsed, until the context ends.
func (s *relayServer) cleanUp(watcher *store.Watcher) {
	for s.ctx.Err() == nil {
		common.Sleep(s.ctx, cleanupInterval)
		now := time.Now()
		s.endpoints.Client().CloseExpired(now)
		s.limitConns()
		s.Meter.RecordKnowledgeAge("table", s.relay.TableAge())
		s.Meter.RecordKnowledgeAge("endpoints", s.relay.EndpointFreshness().Age(now))
		for _, name := range s.pool.RemoveLapsed(now, watcher.LastFailure()) {
			s.Log.Info("removed an endpoint whose record has lapsed", "endpoint", name)
		}
	}
	s.endpoints.Client().Close()
}

// limitConns divides each endpoint's connection limit among all relays.
func (s *relayServer) limitConns() {
	t := s.relay.Table()
	if t == nil {
		return
	}
	endpoints, _ := s.pool.Snapshot()
	for _, e := range endpoints {
		if maxConns := t.Services[e.Service].MaxConns; maxConns > 0 {
			s.endpoints.Client().SetMaxConns(e.Address, max(minConnsPerEndpoint, maxConns/s.gossip.RelayCount()))
		}
	}
}

// watchSettings reloads the settings file at SIGHUP and when a poll finds it
// changed. Only the retry limits, the tolerances of quotas and the shutdown times are
// applied; all else needs a restart.
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
			s.Log.Error("could not read the settings file; the current settings stay in use", "error", err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		settings, err := conf.ParseRelay(file, data)
		if err != nil {
			s.Log.Error("the settings file has errors; the current settings stay in use", "error", err)
			continue
		}
		s.relay.SetRetries(retryLimits(settings))
		s.relay.SetQuotas(quotaBounds(settings))
		s.shutdownSettings.Store(&settings.Shutdown)
		s.Log.Info("settings reloaded", "retry-ratio", settings.Retries.Ratio, "retry-slack", settings.Retries.Slack,
			"quota-excess", settings.Quotas.Excess, "quota-slack", settings.Quotas.Slack, "grace", settings.Shutdown.GracePeriod)
	}
}

// shutDown stays available while the load balancer stops sending, then ends the connections that
// wait for a request and waits for requests in flight.
func (s *relayServer) shutDown() {
	startedAt := time.Now()
	s.draining.Store(true)
	settings := s.shutdownSettings.Load()
	endsAt := startedAt.Add(settings.GracePeriod.Std() - responseFlushTime)
	// Settings may state a delay that is longer than the grace period.
	delay := min(settings.ShutdownDelay.Std(), time.Until(endsAt))
	s.relay.Drain(relay.Stop{End: endsAt, Unlisted: startedAt.Add(delay)})
	s.gossip.AnnounceAvailability()
	time.Sleep(delay)
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.Log.Warn("requests were still in flight at the end of the grace period", "error", err)
	}
	s.Log.Info("connections of callers ended", "partly-read", s.callers.PartlyRead(), "crossed", s.callers.Crossings())
	s.relay.Wait()
}
