package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"crocusstep/platform/double"
	"crocusstep/procs"
	"crocusstep/socket"
)

const (
	listenPort         = 28080
	readinessPort      = 28081
	storePort          = 28200
	endpointPort       = 28100
	directPort         = 28101 // an endpoint's own port, without its proxy
	keeperPort         = 27660
	relayCount         = 3
	plainCount         = 3
	prefillCount       = 2
	decodeCount        = 3
	zone               = "zone-a"
	gracePeriodSeconds = 8
	startTimeout       = 10 * time.Second
)

// relayProcess is a relay and the proxy through which it reaches the store.
type relayProcess struct {
	name  string
	host  string
	store *proxy
	// incarnation counts the starts of the process.
	incarnation int
}

func (r *relayProcess) listenAddress() string { return fmt.Sprintf("%s:%d", r.host, listenPort) }

func (r *relayProcess) readinessAddress() string { return fmt.Sprintf("%s:%d", r.host, readinessPort) }

// endpoint is an endpoint behind its proxy, with its keeper if it is an engine.
type endpoint struct {
	*double.Endpoint
	host  string
	proxy *proxy
	// keeper is the name of the keeper's process; it is empty for plain services.
	keeper string
	// draining is set while the present process drains; the fleet's mutex guards it.
	draining bool
}

func (e *endpoint) address() string { return fmt.Sprintf("%s:%d", e.host, endpointPort) }

// fleet is the relays and keepers as processes, with in-process doubles of the store
// and the endpoints.
type fleet struct {
	*procs.Fleet
	store    *double.Store
	recorder *double.Recorder

	mutex     sync.Mutex
	relays    []*relayProcess
	endpoints []*endpoint
	// lastStartMillis is the start time of the newest endpoint process in Unix
	// milliseconds. It grows with each, so that no two have the same.
	lastStartMillis int64
	// version is the newest version of the configuration, stored at versionAt.
	version   int
	versionAt time.Time
	// claimed holds the processes and addresses in use by a fault.
	claimed map[string]bool
	// violations holds the guarantees that did not hold.
	violations []string
	// disturbedAt is when a fault that affects timing last began or ended.
	disturbedAt time.Time
	// activeDisturbances is the number of such faults in progress.
	activeDisturbances int
	// timing is set if the time limits are checked.
	timing bool
	out    io.Writer
	// ctx ends at the end of the run.
	ctx  context.Context
	seed uint64
	// scale is the multiple of the least number of processes.
	scale int
	// network is the second number of all loopback addresses.
	network int
	// planned is set if only faults are injected that excuse nothing.
	planned bool
	own     *ownFleet
	// nodes holds all processes; it does not change after the start.
	nodes []node
	// outages holds the faults that excuse requests without an answer.
	outages []outage
	// addresses maps the names of all endpoint processes to their addresses.
	addresses map[string]string
}

func newFleet(ctx context.Context, o options) (*fleet, error) {
	f := &fleet{
		Fleet: procs.NewFleet(o.folder, o.binaries), store: double.NewStore(), recorder: double.NewRecorder(), version: 1,
		claimed: map[string]bool{}, lastStartMillis: time.Now().UnixMilli(), addresses: map[string]string{}, ctx: ctx, seed: o.seed, scale: o.scale, network: o.network, planned: o.planned, timing: o.timing,
	}
	storeAddress := fmt.Sprintf("%s:%d", f.host(9, 0), storePort)
	if err := serve(ctx, storeAddress, f.store); err != nil {
		return f, err
	}
	if err := f.store.PutConfiguration(f.version); err != nil {
		return f, err
	}
	// The order is part of the schedule of a seed.
	for _, s := range []struct {
		stage string
		count int
	}{{"", plainCount}, {"prefill", prefillCount}, {"decode", decodeCount}} {
		for i := range s.count * o.scale {
			if err := f.addEndpoint(ctx, s.stage, i); err != nil {
				return f, err
			}
		}
	}
	for i := range relayCount * o.scale {
		r := &relayProcess{name: fmt.Sprintf("relay-%d", i), host: f.host(10, i)}
		var err error
		if r.store, err = newProxy(ctx, fmt.Sprintf("%s:%d", r.host, storePort), storeAddress); err != nil {
			return f, err
		}
		f.relays = append(f.relays, r)
		if err := f.startRelay(r); err != nil {
			return f, err
		}
		f.addNode(relayRole, r.name, r.listenAddress(), func() error { return f.startRelay(r) })
	}
	return f, f.startOwn(ctx, o.scale)
}

// host returns a loopback address of the run.
func (f *fleet) host(subnet, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, subnet, index+1)
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := socket.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (f *fleet) addEndpoint(ctx context.Context, stage string, i int) error {
	subnets := map[string]int{"": 11, "prefill": 12, "decode": 13}
	e := &endpoint{host: f.host(subnets[stage], i)}
	service := double.PlainService
	if stage != "" {
		service = double.ModelService
		e.keeper = fmt.Sprintf("keeper-%s-%d", stage, i)
	}
	e.Endpoint = f.newEndpoint(service, stage)
	directAddress := fmt.Sprintf("%s:%d", e.host, directPort)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.processAt(e).ServeHTTP(w, r) })
	if err := serve(ctx, directAddress, handler); err != nil {
		return err
	}
	var err error
	if e.proxy, err = newProxy(ctx, e.address(), directAddress); err != nil {
		return err
	}
	f.endpoints = append(f.endpoints, e)
	f.addresses[e.Name] = e.address()
	if err := f.store.Register(e.Endpoint, e.address(), zone, false); err != nil || e.keeper == "" {
		return err
	}
	f.addNode(keeperRole, e.keeper, fmt.Sprintf("%s:%d", e.host, keeperPort), func() error { return f.startKeeper(e) })
	return f.startKeeper(e)
}

// node returns a process by its name.
func (f *fleet) node(name string) node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n node) bool { return n.name == name })]
}

func (f *fleet) newEndpoint(service, stage string) *double.Endpoint {
	f.lastStartMillis++
	// Both software versions run at all times.
	version := fmt.Sprintf("v%d", 1+f.lastStartMillis%2)
	return &double.Endpoint{Version: version, Name: fmt.Sprintf("i-%d", f.lastStartMillis), Service: service, Stage: stage, StartMillis: f.lastStartMillis, Recorder: f.recorder}
}

// processAt returns the process that currently serves an endpoint's address.
func (f *fleet) processAt(e *endpoint) *double.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return e.Endpoint
}

func (f *fleet) startKeeper(e *endpoint) error {
	return f.StartProcess(e.keeper, "keeper", fmt.Sprintf(`place: {instance: %s, region: region-a, availability-zone: %s}
address: %s
endpoint: "%s:%d"
peers: {keeper-port: %d}
`, e.keeper, zone, e.host, e.host, directPort, keeperPort))
}

func (f *fleet) startRelay(r *relayProcess) error {
	f.mutex.Lock()
	r.incarnation++
	f.mutex.Unlock()
	return f.StartProcess(r.name, "relay", fmt.Sprintf(`place: {instance: %s, region: region-a, availability-zone: %s}
address: %s
listen: "%s"
readiness: "%s"
platform: {address: "%s:%d"}
peers: {keeper-port: %d}
availability-zones: [{name: %s, region: region-a}]
retries: {ratio: 0.2, slack: 50, window: 10s}
quotas: {window: %s, excess: %g, slack: %d}
stop: {grace: %ds}
`, r.name, zone, r.host, r.listenAddress(), r.readinessAddress(), r.host, storePort, keeperPort, zone, quotaWindow, quotaExcess, quotaSlack, gracePeriodSeconds))
}
