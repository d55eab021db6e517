package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 10 * time.Second
	// program is what the deploy file builds and starts, seen from the root of the repository.
	program = "target/crocusstep"
)

// ports are the same on all machines.
type ports struct{ keeper, front, ready, metrics, worker, store int }

// freePorts returns ports at which nothing listens.
func freePorts() (p ports, err error) {
	for _, port := range []*int{&p.keeper, &p.front, &p.ready, &p.metrics, &p.worker, &p.store} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p, err
		}
		// It stays open until all are found, so that none is given out twice.
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// system is the project's processes with the stand-ins around them.
type system struct {
	folder string
	// network is the second number of all loopback addresses.
	network int
	ports   ports
	store   *store
	began   time.Time

	mutex   sync.Mutex
	record  io.Writer
	workers map[string]*worker
	nodes   map[string]*node
	closed  bool
}

// node is a machine that runs one role.
type node struct {
	name, role, ip, file string
	command              *exec.Cmd
	exited               chan struct{}
}

// newSystem starts the store on a loopback network where its ports are free.
func newSystem(record io.Writer) (*system, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	free, err := freePorts()
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, ports: free, store: newStore(), began: time.Now(), record: record, workers: map[string]*worker{}, nodes: map[string]*node{}}
	for range 20 {
		s.network = 20 + rand.IntN(200)
		var listener net.Listener
		if listener, err = net.Listen("tcp", s.address(1, 1, s.ports.store)); err == nil {
			go func() { _ = (&http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
			return s, nil
		}
	}
	return nil, err
}

func (s *system) ip(group, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network, group, index)
}

func (s *system) address(group, index, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(group, index), port)
}

// note writes a line into the record of the run.
func (s *system) note(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// addWorker starts a worker. A model worker has a machine of its own with a keeper.
func (s *system) addWorker(config workerConfig, index int) (*worker, error) {
	group := 3
	if config.stage == "" {
		group = 4
	}
	config.address = s.address(group, index, s.ports.worker)
	w, err := startWorker(s, config)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.workers[config.address] = w
	s.mutex.Unlock()
	if config.stage == "" {
		return w, nil
	}
	return w, s.addNode("keeper", "side-"+config.id, s.ip(group, index), config.zone)
}

func (s *system) workerAt(address string) *worker {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.workers[address]
}

// addRelay starts a relay and waits until it is ready.
func (s *system) addRelay(index int, zone string) (*node, error) {
	name := fmt.Sprintf("front-%d", index)
	if err := s.addNode("relay", name, s.ip(2, index), zone); err != nil {
		return nil, err
	}
	n := s.nodes[name]
	return n, s.awaitReady(n)
}

func (s *system) awaitReady(n *node) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", n.ip, s.ports.ready))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

func (s *system) addNode(role, name, ip, zone string) error {
	n := &node{name: name, role: role, ip: ip, file: filepath.Join(s.folder, name+".yaml")}
	fields := map[string]any{
		"nodeName": name, "region": "west", "zone": zone, "ip": ip, "zones": map[string]string{"yard-a": "west", "yard-b": "west", "yard-c": "west"},
		"listen.front": fmt.Sprintf("%s:%d", ip, s.ports.front), "listen.ready": fmt.Sprintf("%s:%d", ip, s.ports.ready),
		"platform.address": s.address(1, 1, s.ports.store), "internalPorts.0": s.ports.keeper, "app": fmt.Sprintf("%s:%d", ip, s.ports.worker),
		"bounds.retryBudgetRatio": 0.2, "bounds.retrySlack": 56, "bounds.budgetWindowS": 10, "bounds.configApplyMs": 2500, "bounds.transitMs": 250,
		"bounds.graceS": 8, "limits.memoryMb": 134,
	}
	template, err := os.ReadFile(filepath.Join("platform", role+".yaml.tmpl"))
	if err != nil {
		return err
	}
	// The template leaves the port of the metrics at its default, which may be in use.
	settings := fill(string(template), fields) + fmt.Sprintf("metrics-port: %d\n", s.ports.metrics)
	if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
		return err
	}
	s.nodes[name] = n
	return s.start(n)
}

// start starts the process of a machine with the command of the deploy file.
func (s *system) start(n *node) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return os.ErrClosed
	}
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(program, n.role)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSSTEP_CONFIG=" + n.file}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	command, exited := n.command, make(chan struct{})
	n.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill ends a process at once.
func (s *system) kill(n *node) {
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// close ends all processes that were started.
func (s *system) close() {
	s.mutex.Lock()
	s.closed = true
	nodes := s.nodes
	s.mutex.Unlock()
	for _, n := range nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

var (
	sections = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	values   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills in a template of settings as the platform does, as far as the two templates need it.
func fill(template string, fields map[string]any) string {
	template = sections.ReplaceAllStringFunc(template, func(text string) string {
		parts := sections.FindStringSubmatch(text)
		value, found := fields[parts[1]]
		entries, isTable := value.(map[string]string)
		switch {
		case !found:
			return ""
		case !isTable:
			return parts[2]
		}
		var all strings.Builder
		for key, entry := range entries {
			all.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", entry).Replace(parts[2]))
		}
		return all.String()
	})
	return values.ReplaceAllStringFunc(template, func(text string) string {
		parts := values.FindStringSubmatch(text)
		value := fields[parts[1]]
		if parts[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}
