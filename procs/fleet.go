// Package procs runs a deployment as separate processes on loopback, for the demo
// and the measurements. It ends just the processes that it started, by id.
package procs

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

// Fleet is the processes that were started.
type Fleet struct {
	// Folder holds settings and logs.
	Folder string
	// Platform is where the stand-in of the platform listens.
	Platform ident.Address
	HTTP     *http.Client
	// Processes is all that were started, by name.
	Processes map[string]*Process

	binary  string
	standin string
	port    int
	// order is the names in the order of their start.
	order []string
}

// Process is one process.
type Process struct {
	// Listen and Admin are where it listens.
	Listen ident.Address
	Admin  ident.Address

	command *exec.Cmd
	exited  chan struct{}
	// failure is what the process exited with; read it after exited is closed.
	failure error
}

// NewFleet returns a fleet whose binaries lie in a folder.
func NewFleet(folder, binaries string) *Fleet {
	return &Fleet{
		Folder:    folder,
		binary:    filepath.Join(binaries, "crocusstep"),
		standin:   filepath.Join(binaries, "standin"),
		port:      firstPort,
		HTTP:      socket.NewClient(),
		Processes: map[string]*Process{},
	}
}

func (f *Fleet) address() ident.Address {
	f.port++
	return ident.Address(fmt.Sprintf("127.0.0.1:%d", f.port))
}

func (f *Fleet) start(name string, p *Process, binary string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	f.Processes[name] = p
	f.order = append(f.order, name)
	return nil
}

// StartStandin starts a stand-in and returns its address.
func (f *Fleet) StartStandin(name, kind string) (ident.Address, error) {
	address := f.address()
	return address, f.start(name, &Process{Listen: address}, f.standin, kind, "--listen", string(address))
}

// StartEndpoint starts a stand-in with its agent.
func (f *Fleet) StartEndpoint(name, pool, region, kind string) error {
	standin := "engine"
	if kind == "plain" {
		standin = "plain"
	}
	address, err := f.StartStandin(name, standin)
	if err != nil {
		return err
	}
	return f.StartAgent(name, pool, region, kind, address)
}

// StartAgent starts an agent beside an endpoint.
func (f *Fleet) StartAgent(name, pool, region, kind string, endpoint ident.Address) error {
	listen, admin := f.address(), f.address()
	settings := fmt.Sprintf(`place: {instance: agent-%s, region: %s, availability-zone: zone-a}
endpoint: %s
endpoint-kind: %s
pool: %s
endpoint-address: %s
listen: %s
admin: {listen: %s, token: %s}
platform: {address: %s}
peer-keys-file: %s
`, name, region, name, kind, pool, endpoint, listen, admin, adminToken, f.Platform, f.keysFile())
	file, err := f.WriteFile("agent-"+name+".yaml", settings)
	if err != nil {
		return err
	}
	p := &Process{Listen: listen, Admin: admin}
	if err := f.start("agent-"+name, p, f.binary, "agent", "--settings", file); err != nil {
		return err
	}
	return f.Register(store.Instance{
		Name:     ident.InstanceName("agent-" + name),
		Role:     store.AgentRole,
		Address:  listen,
		Endpoint: ident.EndpointName(name),
		Pool:     ident.PoolName(pool),
		Region:   ident.RegionName(region),
		State:    store.Live,
	})
}

// StartEntry starts an entry.
func (f *Fleet) StartEntry(name, region string) error {
	listen, admin := f.address(), f.address()
	settings := fmt.Sprintf(`place: {instance: %s, region: %s, availability-zone: zone-a}
listen: %s
admin: {listen: %s, token: %s}
platform: {address: %s}
peer-keys-file: %s
`, name, region, listen, admin, adminToken, f.Platform, f.keysFile())
	file, err := f.WriteFile(name+".yaml", settings)
	if err != nil {
		return err
	}
	if err := f.start(name, &Process{Listen: listen, Admin: admin}, f.binary, "entry", "--settings", file); err != nil {
		return err
	}
	return f.Register(store.Instance{
		Name:    ident.InstanceName(name),
		Role:    store.EntryRole,
		Address: listen,
		Region:  ident.RegionName(region),
		State:   store.Live,
	})
}

func (f *Fleet) keysFile() string { return filepath.Join(f.Folder, "peer-keys.yaml") }

// WriteFile writes a file in the folder and returns its path.
func (f *Fleet) WriteFile(name, content string) (string, error) {
	file := filepath.Join(f.Folder, name)
	return file, os.WriteFile(file, []byte(content), 0o600)
}

// Register tells the stand-in of the platform what the platform would know.
func (f *Fleet) Register(instance store.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+string(f.Platform)+"/stand-in/instances/"+string(instance.Name), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.HTTP.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// RunCommand runs the program to its end, as an operator would.
func (f *Fleet) RunCommand(args ...string) (string, error) {
	output, err := exec.Command(f.binary, args...).CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("crocusstep %v: %w: %s", args, err, output)
	}
	return string(output), nil
}

// AwaitOK waits until an address answers with status 200.
func (f *Fleet) AwaitOK(address ident.Address, path string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		response, err := f.HTTP.Get("http://" + string(address) + path)
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

// Kill ends a process at once.
func (f *Fleet) Kill(name string) {
	p := f.Processes[name]
	_ = p.command.Process.Kill()
	<-p.exited
}

// Stop stops a process gracefully and returns how it exited.
func (f *Fleet) Stop(name string) error {
	p := f.Processes[name]
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.failure
	case <-time.After(stopTimeout):
		return errors.New("the process did not stop in time")
	}
}

// Close ends all processes, the newest first.
func (f *Fleet) Close() {
	for i := len(f.order) - 1; i >= 0; i-- {
		f.Kill(f.order[i])
	}
}

// GetJSON reads a JSON document of a process.
func (f *Fleet) GetJSON(ctx context.Context, address ident.Address, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path, nil)
	if err != nil {
		return err
	}
	response, err := f.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(target)
}

// StartPlatform starts the platform's stand-in and writes the keys and the token.
func (f *Fleet) StartPlatform() (err error) {
	if _, err := f.WriteFile("peer-keys.yaml", "keys:\n  - {id: demo, secret: only-for-the-demo}\n"); err != nil {
		return err
	}
	if _, err := f.WriteFile("token", adminToken); err != nil {
		return err
	}
	if f.Platform, err = f.StartStandin("platform", "platform"); err != nil {
		return err
	}
	return f.AwaitOK(f.Platform, "/stand-in/calls")
}

// ProcessCount returns how many processes were started.
func (f *Fleet) ProcessCount() int { return len(f.order) }

// PID returns a process's id.
func (p *Process) PID() int { return p.command.Process.Pid }
