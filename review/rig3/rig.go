// Package rig3 runs the relays and keepers of a small deployment as processes on loopback, with
// in-process stand-ins for the store and the workers, for the scripts of a review.
package rig3

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"crocusstep/platform/double"
)

// The bounds of the deployment that the settings copy.
const (
	// ContactTime is contactMs.
	ContactTime = 4 * time.Second
	// HeartbeatInterval is heartbeatMs.
	HeartbeatInterval = 1200 * time.Millisecond
	readyTimeout      = 15 * time.Second
	// exitInterrupted is the exit code of a case that could not run to its end.
	exitInterrupted = 2
	zoneName        = "zone-a"
)

// Config configures a Rig.
type Config struct {
	// Folder is where record.txt is written.
	Folder string
	// Relays is the number of relays.
	Relays int
}

// Rig is a small deployment.
type Rig struct {
	Store *double.Store
	// Relays holds the relays' processes.
	Relays []*Process

	record  *os.File
	began   time.Time
	temp    string
	network int
	ports   ports
	ctx     context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	started []*Process
	hosts   int
}

// ports are the same on all hosts.
type ports struct{ callers, readiness, store, worker, keeper, metrics int }

// Process is a relay or keeper.
type Process struct {
	Name string
	Host string

	rig      *Rig
	role     string
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	// StartedAt is when the present incarnation was started.
	StartedAt time.Time
}

// New starts the store and writes the head of the record. Close must be called.
func New(c Config) (*Rig, error) {
	record, err := os.Create(filepath.Join(c.Folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rig{Store: double.NewStore(), record: record, began: time.Now(), temp: temp, network: 64 + os.Getpid()%128, ctx: ctx, cancel: cancel}
	r.endOnSignal()
	if r.ports, err = freePorts(); err != nil {
		return r, err
	}
	if err := r.Serve(r.storeHost(), r.ports.store, r.Store); err != nil {
		return r, err
	}
	for i := range c.Relays {
		host := r.NewHost()
		p := r.newProcess(fmt.Sprintf("relay-%d", i), host, "relay", r.relaySettings(fmt.Sprintf("relay-%d", i), host))
		r.Relays = append(r.Relays, p)
	}
	return r, nil
}

// endOnSignal ends all processes and the program if the program is to stop.
func (r *Rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.Close()
		os.Exit(exitInterrupted)
	}()
}

// freePorts returns ports that are free at the time.
func freePorts() (p ports, err error) {
	for _, port := range []*int{&p.callers, &p.readiness, &p.store, &p.worker, &p.keeper, &p.metrics} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p, err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

func (r *Rig) storeHost() string { return fmt.Sprintf("127.%d.1.1", r.network) }

// NewHost returns the loopback address of another machine.
func (r *Rig) NewHost() string {
	r.hosts++
	return fmt.Sprintf("127.%d.2.%d", r.network, r.hosts)
}

// Serve serves a handler until the rig is closed.
func (r *Rig) Serve(host string, port int, handler http.Handler) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(r.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Record writes a line to the record.
func (r *Rig) Record(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Rig) newProcess(name, host, role, settings string) *Process {
	return &Process{Name: name, Host: host, rig: r, role: role, settings: settings}
}

func (r *Rig) relaySettings(name, host string) string {
	return fmt.Sprintf(`place: {instance: %s, region: region-a, availability-zone: %s}
address: %s
listen: "%s:%d"
readiness: "%s:%d"
metrics-port: %d
platform: {address: "%s:%d"}
peers: {keeper-port: %d}
availability-zones: [{name: %s, region: region-a}]
retries: {ratio: 0.2, slack: 58, window: 10s}
table: {max-age: 2500ms}
routing: {learned-costs: true}
callers: {transit: 250ms}
stop: {grace: 8s}
memory: 284MiB
`, name, zoneName, host, host, r.ports.callers, host, r.ports.readiness, r.ports.metrics, r.storeHost(), r.ports.store, r.ports.keeper, zoneName)
}

// NewKeeper returns the keeper beside a worker.
func (r *Rig) NewKeeper(name, host string) *Process {
	return r.newProcess(name, host, "keeper", fmt.Sprintf(`place: {instance: %s, region: region-a, availability-zone: %s}
address: %s
endpoint: "%s:%d"
metrics-port: %d
peers: {keeper-port: %d}
memory: 216MiB
`, name, zoneName, host, host, r.ports.worker, r.ports.metrics, r.ports.keeper))
}

// Start starts the process.
func (p *Process) Start() error {
	file := filepath.Join(p.rig.temp, p.Name+".yaml")
	if err := os.WriteFile(file, []byte(p.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.rig.temp, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command("target/crocusstep", p.role)
	p.command.Env = append(os.Environ(), "CROCUSSTEP_CONFIG="+file)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited, p.StartedAt = exited, time.Now()
	command := p.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	p.rig.mutex.Lock()
	p.rig.started = append(p.rig.started, p)
	p.rig.mutex.Unlock()
	p.rig.Record("%s started, process %d", p.Name, p.command.Process.Pid)
	return nil
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
	p.rig.Record("%s killed", p.Name)
}

// Alive reports whether the process runs.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Callers returns a relay's address for callers.
func (p *Process) Callers() string {
	return net.JoinHostPort(p.Host, strconv.Itoa(p.rig.ports.callers))
}

// Readiness returns a relay's address for the load balancer.
func (p *Process) Readiness() string {
	return net.JoinHostPort(p.Host, strconv.Itoa(p.rig.ports.readiness))
}

// AwaitReady waits until all relays are ready.
func (r *Rig) AwaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range r.Relays {
			if double.Ready(r.ctx, client, p.Readiness()) {
				ready++
			}
		}
		if ready == len(r.Relays) {
			r.Record("all %d relays are ready", ready)
			return nil
		}
	}
	return errors.New("the relays did not become ready")
}

// Close ends all processes that were started, and deletes the temporary folder.
func (r *Rig) Close() {
	r.mutex.Lock()
	started := r.started
	r.mutex.Unlock()
	for _, p := range started {
		if p.Alive() {
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	r.cancel()
	_ = os.RemoveAll(r.temp)
	_ = r.record.Close()
}
