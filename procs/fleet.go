// Package procs runs a deployment as separate processes on loopback, for the demo,
// the soak test and the measurements. It signals only processes that it started.
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
	"slices"
	"sync"
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
	// basePort is one below the first port that a fleet assigns.
	basePort = 21000
)

// Fleet starts the processes of a deployment and signals them.
type Fleet struct {
	// Folder is the path of the folder with settings files and logs.
	Folder string
	// Platform is the address of the platform's stand-in.
	Platform ident.Address
	HTTP     *http.Client
	// Processes holds the started processes by name. It may be read directly while none is started.
	Processes map[string]*Process

	// mutex guards Processes and startOrder.
	mutex       sync.Mutex
	binaryPath  string
	standinPath string
	// lastPort is the newest port that was assigned.
	lastPort int
	// startOrder holds the names in the order in which the processes started.
	startOrder []string
}

// Process is a started process.
type Process struct {
	// Listen is the address for requests and Admin that for operators. Both are empty
	// for a process that StartProcess started.
	Listen ident.Address
	Admin  ident.Address

	command *exec.Cmd
	exited  chan struct{}
	// exitError is the result of waiting for the process; it is set before exited is
	// closed.
	exitError error
}

// NewFleet returns a fleet without processes. The folder binaries holds the executables
// of the program and the stand-in.
func NewFleet(folder, binaries string) *Fleet {
	return &Fleet{
		Folder:      folder,
		binaryPath:  filepath.Join(binaries, "crocusstep"),
		standinPath: filepath.Join(binaries, "standin"),
		lastPort:    basePort,
		HTTP:        socket.NewClient(),
		Processes:   map[string]*Process{},
	}
}

func (f *Fleet) nextAddress() ident.Address {
	f.lastPort++
	return ident.Address(fmt.Sprintf("127.0.0.1:%d", f.lastPort))
}

func (f *Fleet) start(name string, p *Process, path string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(path, args...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.exited = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		p.exitError = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.Processes[name] = p
	f.startOrder = slices.DeleteFunc(f.startOrder, func(started string) bool { return started == name })
	f.startOrder = append(f.startOrder, name)
	return nil
}

// process returns the newest process of a name, or nil.
func (f *Fleet) process(name string) *Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.Processes[name]
}

// StartStandin starts a stand-in of a kind: platform, engine or plain. It returns the
// stand-in's address.
func (f *Fleet) StartStandin(name, kind string) (ident.Address, error) {
	address := f.nextAddress()
	return address, f.start(name, &Process{Listen: address}, f.standinPath, kind, "--listen", string(address))
}

// StartEndpoint starts the stand-in of an endpoint and its agent.
func (f *Fleet) StartEndpoint(name, pool, region, kind string) error {
	standinKind := "engine"
	if kind == "plain" {
		standinKind = "plain"
	}
	address, err := f.StartStandin(name, standinKind)
	if err != nil {
		return err
	}
	return f.StartAgent(name, pool, region, kind, address)
}

// StartAgent starts the agent of an endpoint and registers it with the platform.
func (f *Fleet) StartAgent(name, pool, region, kind string, endpoint ident.Address) error {
	listen, admin := f.nextAddress(), f.nextAddress()
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
	if err := f.start("agent-"+name, p, f.binaryPath, "agent", "--settings", file); err != nil {
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

// StartEntry starts an entry and registers it with the platform.
func (f *Fleet) StartEntry(name, region string) error {
	listen, admin := f.nextAddress(), f.nextAddress()
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
	if err := f.start(name, &Process{Listen: listen, Admin: admin}, f.binaryPath, "entry", "--settings", file); err != nil {
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

// WriteFile writes a file into the fleet's folder and returns its path.
func (f *Fleet) WriteFile(name, content string) (string, error) {
	file := filepath.Join(f.Folder, name)
	return file, os.WriteFile(file, []byte(content), 0o600)
}

// Register adds an instance to the platform's list, as the real platform does when it
// starts one.
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

// RunCommand runs a command of the program to completion, as an operator would. It
// returns the combined output.
func (f *Fleet) RunCommand(args ...string) (string, error) {
	output, err := exec.Command(f.binaryPath, args...).CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("crocusstep %v: %w: %s", args, err, output)
	}
	return string(output), nil
}

// AwaitOK waits until a GET request returns status 200. It returns an error after 20
// seconds.
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

// Kill kills a process and waits until it has exited.
func (f *Fleet) Kill(name string) {
	p := f.process(name)
	_ = p.command.Process.Kill()
	<-p.exited
}

// Stop stops a process gracefully and returns its exit error. It returns an error if
// the process has not exited after 30 seconds.
func (f *Fleet) Stop(name string) error {
	p := f.process(name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.exitError
	case <-time.After(stopTimeout):
		return errors.New("the process did not exit in time")
	}
}

// Close kills all processes, the newest first.
func (f *Fleet) Close() {
	f.mutex.Lock()
	names := slices.Clone(f.startOrder)
	f.mutex.Unlock()
	for _, name := range slices.Backward(names) {
		f.Kill(name)
	}
}

// GetJSON decodes the JSON document at an address and path into target.
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

// StartPlatform writes the peer keys and the admin token to files and starts the
// platform's stand-in.
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

// ProcessCount returns the number of started processes.
func (f *Fleet) ProcessCount() int { return len(f.startOrder) }

// PID returns the id that the operating system assigned to the process.
func (p *Process) PID() int { return p.command.Process.Pid }
