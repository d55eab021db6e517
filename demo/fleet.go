package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"crocusstep/ident"
	"crocusstep/socket"
	"crocusstep/store"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
	adminToken   = "demo-token"
	firstPort    = 21000
)

// fleet is the processes that the demo started; it ends just those, by id.
type fleet struct {
	folder    string
	binary    string
	standin   string
	port      int
	http      *http.Client
	platform  ident.Address
	processes map[string]*process
	// order is the names in the order of their start.
	order []string
}

type process struct {
	command *exec.Cmd
	listen  ident.Address
	admin   ident.Address
	exited  chan struct{}
	// failure is what the process exited with; read it after exited is closed.
	failure error
}

func newFleet(folder, binaries string) *fleet {
	return &fleet{
		folder:    folder,
		binary:    filepath.Join(binaries, "crocusstep"),
		standin:   filepath.Join(binaries, "standin"),
		port:      firstPort,
		http:      socket.NewClient(),
		processes: map[string]*process{},
	}
}

func (f *fleet) address() ident.Address {
	f.port++
	return ident.Address(fmt.Sprintf("127.0.0.1:%d", f.port))
}

func (f *fleet) start(name string, p *process, binary string, args ...string) error {
	log, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return err
	}
	p.command = exec.Command(binary, args...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.exited = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		p.failure = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	f.processes[name] = p
	f.order = append(f.order, name)
	return nil
}

func (f *fleet) startStandin(name, kind string) (ident.Address, error) {
	address := f.address()
	return address, f.start(name, &process{listen: address}, f.standin, kind, "--listen", string(address))
}

// startEndpoint starts a stand-in with its agent.
func (f *fleet) startEndpoint(name, pool, region, kind string) error {
	standin := "engine"
	if kind == "plain" {
		standin = "plain"
	}
	address, err := f.startStandin(name, standin)
	if err != nil {
		return err
	}
	return f.startAgent(name, pool, region, kind, address)
}

func (f *fleet) startAgent(name, pool, region, kind string, endpoint ident.Address) error {
	listen, admin := f.address(), f.address()
	settings := fmt.Sprintf(`place: {instance: agent-%s, region: %s, availability-zone: zone-a}
endpoint: %s
endpoint-kind: %s
endpoint-address: %s
listen: %s
admin: {listen: %s, token: %s}
platform: {address: %s}
peer-keys-file: %s
`, name, region, name, kind, endpoint, listen, admin, adminToken, f.platform, f.keysFile())
	file, err := f.writeFile("agent-"+name+".yaml", settings)
	if err != nil {
		return err
	}
	p := &process{listen: listen, admin: admin}
	if err := f.start("agent-"+name, p, f.binary, "agent", "--settings", file); err != nil {
		return err
	}
	return f.register(store.Instance{
		Name:     ident.InstanceName("agent-" + name),
		Role:     store.AgentRole,
		Address:  listen,
		Endpoint: ident.EndpointName(name),
		Pool:     ident.PoolName(pool),
		Region:   ident.RegionName(region),
		State:    store.Live,
	})
}

func (f *fleet) startEntry(name, region string) error {
	listen, admin := f.address(), f.address()
	settings := fmt.Sprintf(`place: {instance: %s, region: %s, availability-zone: zone-a}
listen: %s
admin: {listen: %s, token: %s}
platform: {address: %s}
peer-keys-file: %s
`, name, region, listen, admin, adminToken, f.platform, f.keysFile())
	file, err := f.writeFile(name+".yaml", settings)
	if err != nil {
		return err
	}
	if err := f.start(name, &process{listen: listen, admin: admin}, f.binary, "entry", "--settings", file); err != nil {
		return err
	}
	return f.register(store.Instance{
		Name:    ident.InstanceName(name),
		Role:    store.EntryRole,
		Address: listen,
		Region:  ident.RegionName(region),
		State:   store.Live,
	})
}

func (f *fleet) keysFile() string { return filepath.Join(f.folder, "peer-keys.yaml") }

func (f *fleet) writeFile(name, content string) (string, error) {
	file := filepath.Join(f.folder, name)
	return file, os.WriteFile(file, []byte(content), 0o600)
}

// register tells the stand-in of the platform what the platform would know.
func (f *fleet) register(instance store.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+string(f.platform)+"/stand-in/instances/"+string(instance.Name), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.http.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// run runs the program to its end, as an operator would.
func (f *fleet) run(args ...string) (string, error) {
	output, err := exec.Command(f.binary, args...).CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("crocusstep %v: %w: %s", args, err, output)
	}
	return string(output), nil
}

// awaitStatus waits until an address answers with status 200.
func (f *fleet) awaitStatus(address ident.Address, path string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		response, err := f.http.Get("http://" + string(address) + path)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s%s was not ready within %s", address, path, readyTimeout)
}

// kill ends a process at once.
func (f *fleet) kill(name string) {
	p := f.processes[name]
	_ = p.command.Process.Kill()
	<-p.exited
}

// stop stops a process gracefully and returns how it exited.
func (f *fleet) stop(name string) error {
	p := f.processes[name]
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.failure
	case <-time.After(stopTimeout):
		return errors.New("the process did not stop in time")
	}
}

// close ends all processes, the newest first.
func (f *fleet) close() {
	for i := len(f.order) - 1; i >= 0; i-- {
		f.kill(f.order[i])
	}
}

func (f *fleet) getJSON(ctx context.Context, address ident.Address, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path, nil)
	if err != nil {
		return err
	}
	response, err := f.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(target)
}
