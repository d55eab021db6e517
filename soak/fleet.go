package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"crocusstep/platform/double"
	"crocusstep/procs"
	"crocusstep/socket"
)

const (
	callerPort    = 28080
	readyPort     = 28081
	storePort     = 28200
	endpointPort  = 28100
	behindPort    = 28101
	keeperPort    = 27660
	relays        = 3
	plains        = 3
	readers       = 2
	writers       = 3
	zone          = "zone-a"
	graceSeconds  = 8
	startDeadline = 10 * time.Second
)

// relayProcess is one relay and the way from it to the store.
type relayProcess struct {
	name  string
	host  string
	store *proxy
	// life counts its starts.
	life int
}

func (r *relayProcess) callers() string { return fmt.Sprintf("%s:%d", r.host, callerPort) }

func (r *relayProcess) ready() string { return fmt.Sprintf("%s:%d", r.host, readyPort) }

// back is one endpoint behind its proxy, with its keeper if it is an engine.
type back struct {
	*double.Endpoint
	host  string
	proxy *proxy
	// keeper is the name of the process beside it, or empty.
	keeper string
}

func (b *back) address() string { return fmt.Sprintf("%s:%d", b.host, endpointPort) }

// fleet is the system as processes, and the stand-ins before and behind it.
type fleet struct {
	*procs.Fleet
	store *double.Store
	book  *double.Recorder

	mutex  sync.Mutex
	relays []*relayProcess
	backs  []*back
	// born counts starts of endpoints, as each is another process.
	born int64
	// version is the configuration's.
	version int
	// claimed holds the processes and addresses that a fault is at work on.
	claimed map[string]bool
	// broken lists the promises that did not hold.
	broken []string
	// disturbed is when a fault last began or ended that loosens the time bounds.
	disturbed time.Time
	// active counts such faults under way.
	active int
	// timing is set if the bounds on time are checked.
	timing bool
	out    io.Writer
}

func newFleet(ctx context.Context, folder, binaries string) (*fleet, error) {
	f := &fleet{Fleet: procs.NewFleet(folder, binaries), store: double.NewStore(), book: double.NewRecorder(), version: 1, claimed: map[string]bool{}, born: time.Now().UnixMilli()}
	storeAddress := fmt.Sprintf("127.0.9.1:%d", storePort)
	if err := serve(ctx, storeAddress, f.store); err != nil {
		return nil, err
	}
	if err := f.store.PutConfiguration(f.version); err != nil {
		return nil, err
	}
	for stage, count := range map[string]int{"": plains, "prefill": readers, "decode": writers} {
		for i := range count {
			if err := f.addBack(ctx, stage, i); err != nil {
				return nil, err
			}
		}
	}
	for i := range relays {
		r := &relayProcess{name: fmt.Sprintf("relay-%d", i), host: fmt.Sprintf("127.0.10.%d", i+1)}
		var err error
		if r.store, err = newProxy(ctx, fmt.Sprintf("%s:%d", r.host, storePort), storeAddress); err != nil {
			return nil, err
		}
		f.relays = append(f.relays, r)
		if err := f.startRelay(r); err != nil {
			return nil, err
		}
	}
	return f, nil
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

func (f *fleet) addBack(ctx context.Context, stage string, i int) error {
	nets := map[string]int{"": 11, "prefill": 12, "decode": 13}
	b := &back{host: fmt.Sprintf("127.0.%d.%d", nets[stage], i+1)}
	service := double.PlainService
	if stage != "" {
		service = double.ModelService
		b.keeper = fmt.Sprintf("keeper-%s-%d", stage, i)
	}
	b.Endpoint = f.newEndpoint(service, stage)
	behind := fmt.Sprintf("%s:%d", b.host, behindPort)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.endpointOf(b).ServeHTTP(w, r) })
	if err := serve(ctx, behind, handler); err != nil {
		return err
	}
	var err error
	if b.proxy, err = newProxy(ctx, b.address(), behind); err != nil {
		return err
	}
	f.backs = append(f.backs, b)
	if err := f.store.Register(b.Endpoint, b.address(), zone, false); err != nil || b.keeper == "" {
		return err
	}
	return f.startKeeper(b)
}

func (f *fleet) newEndpoint(service, stage string) *double.Endpoint {
	f.born++
	return &double.Endpoint{Name: fmt.Sprintf("i-%d", f.born), Service: service, Stage: stage, Born: f.born, Recorder: f.book}
}

// endpointOf returns the process that answers at a back end's address now.
func (f *fleet) endpointOf(b *back) *double.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return b.Endpoint
}

func (f *fleet) startKeeper(b *back) error {
	return f.StartProcess(b.keeper, "keeper", fmt.Sprintf(`place: {instance: %s, region: region-a, availability-zone: %s}
address: %s
endpoint: "%s:%d"
peers: {keeper-port: %d}
`, b.keeper, zone, b.host, b.host, behindPort, keeperPort))
}

func (f *fleet) startRelay(r *relayProcess) error {
	f.mutex.Lock()
	r.life++
	f.mutex.Unlock()
	return f.StartProcess(r.name, "relay", fmt.Sprintf(`place: {instance: %s, region: region-a, availability-zone: %s}
address: %s
listen: "%s"
readiness: "%s"
platform: {address: "%s:%d"}
peers: {keeper-port: %d}
availability-zones: [{name: %s, region: region-a}]
retries: {ratio: 0.2, slack: 50, window: 10s}
stop: {grace: %ds}
`, r.name, zone, r.host, r.callers(), r.ready(), r.host, storePort, keeperPort, zone, graceSeconds))
}
