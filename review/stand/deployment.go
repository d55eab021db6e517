package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"crocusstep/platform/double"
)

// The ports are the same on all machines; each machine has a loopback address of its own.
const (
	frontPort   = 8144
	readyPort   = 8140
	workerPort  = 8147
	storePort   = 8142
	keeperPort  = 7660
	metricsPort = 9464
	zone        = "tacoma-yard"
	region      = "cascadia-west"
	program     = "target/crocusstep"
	// startTimeout bounds the time until all relays are ready.
	startTimeout = 15 * time.Second
	// machineCount is more than any case has machines.
	machineCount = 40
	// beat is the workers' heartbeat interval; the store removes an entry after three of them.
	beat = 1200 * time.Millisecond
)

// process is a started process of the project.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// relay is a front machine.
type relay struct {
	*process
	address string
	ready   string
}

// deployment is a small deployment: the project's processes, and stand-ins of the platform's store
// and of the workers, which run in this process.
type deployment struct {
	*record
	folder string
	// subnet holds the first three parts of all addresses.
	subnet string
	// machines counts the addresses in use.
	machines int
	store    *double.Store
	relays   []*relay

	mutex     sync.Mutex
	processes []*process
	workers   []*worker
	handles   map[string]string
	lastBorn  int64
}

// newDeployment starts the store.
func newDeployment(r *record, folder string) (*deployment, error) {
	d := &deployment{record: r, folder: folder, store: double.NewStore(), handles: map[string]string{}}
	for range 20 {
		d.subnet = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		if d.isFree() {
			listener, err := net.Listen("tcp", d.storeAddress())
			if err != nil {
				return nil, err
			}
			go func() { _ = http.Serve(listener, d.store) }()
			return d, nil
		}
	}
	return nil, errors.New("found no free loopback addresses")
}

// isFree reports whether the ports of all machines are free.
func (d *deployment) isFree() bool {
	for host := 1; host <= machineCount; host++ {
		for _, port := range []int{frontPort, readyPort, workerPort, storePort, keeperPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.subnet, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s.%d:%d", d.subnet, 1, storePort) }

// newHost returns the address of another machine.
func (d *deployment) newHost() string {
	d.machines++
	return fmt.Sprintf("%s.%d", d.subnet, 1+d.machines)
}

// start starts a role with the command of the deploy file and its settings.
func (d *deployment) start(name, role, settings string) (*process, error) {
	file := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, command: exec.Command(program, role), exited: make(chan struct{})}
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSSTEP_CONFIG=" + file}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.processes = append(d.processes, p)
	return p, nil
}

// addRelay starts a relay with the settings that platform/relay.yaml.tmpl gives.
func (d *deployment) addRelay() error {
	host := d.newHost()
	name := fmt.Sprintf("front-%s-%d", zone, len(d.relays)+1)
	r := &relay{address: fmt.Sprintf("%s:%d", host, frontPort), ready: fmt.Sprintf("%s:%d", host, readyPort)}
	settings := fmt.Sprintf(`place: {instance: %s, region: %s, availability-zone: %s}
address: %s
listen: "%s"
readiness: "%s"
platform: {address: "%s"}
peers: {keeper-port: %d}
availability-zones: [{name: %s, region: %s}]
retries: {ratio: 0.2, slack: 56, window: 10s}
routing: {learned-costs: true}
stop: {grace: 8s}
memory: 134MiB
`, name, region, zone, host, r.address, r.ready, d.storeAddress(), keeperPort, zone, region)
	var err error
	r.process, err = d.start(name, "relay", settings)
	d.relays = append(d.relays, r)
	return err
}

// addKeeper starts the keeper beside an engine with the settings that platform/keeper.yaml.tmpl
// gives.
func (d *deployment) addKeeper(host string) error {
	name := "side-" + host
	_, err := d.start(name, "keeper", fmt.Sprintf(`place: {instance: %s, region: %s, availability-zone: %s}
address: %s
endpoint: "%s:%d"
peers: {keeper-port: %d}
memory: 216MiB
`, name, region, zone, host, host, workerPort, keeperPort))
	return err
}

// awaitReady waits until all relays are ready.
func (d *deployment) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range d.relays {
			response, err := http.Get("http://" + r.ready + "/-/readiness")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.relays) {
			return nil
		}
	}
	return errors.New("the relays did not become ready")
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, p := range d.processes {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}
