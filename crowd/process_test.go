package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/socket"
)

const (
	// defaultDescriptors limits the descriptors of a process.
	defaultDescriptors = 1024
	startTimeout       = 20 * time.Second
	// watchInterval is the time between two looks at a process.
	watchInterval = 20 * time.Millisecond
	// firstPort and endPort bound the ports of the processes.
	firstPort, endPort = 23000, 27000
	// listening is the state of a listening socket in the kernel's table of sockets.
	listening = "0A"
)

// process is a started process of the program.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	output  *bytes.Buffer
	// ports are those at which it listens.
	ports []string
	// descriptors limits its descriptors.
	descriptors int
}

// start runs the program in a role and waits until it listens.
func start(t *testing.T, descriptors int, role, settings string, listen ...string) *process {
	t.Helper()
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	file := filepath.Join(t.TempDir(), role+".yaml")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	// The shell limits only itself and the program that replaces it.
	command := exec.Command("sh", "-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(descriptors), program, role, "--settings", file)
	p := &process{command: command, exited: make(chan struct{}), output: &bytes.Buffer{}, descriptors: descriptors}
	command.Stdout, command.Stderr = p.output, p.output
	assert.NilError(t, command.Start())
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Log(string(p.output.Bytes()[max(0, p.output.Len()-2000):]))
		}
	})
	for _, address := range listen {
		_, port, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		p.ports = append(p.ports, port)
		p.awaitListening(t, address)
	}
	return p
}

func (p *process) awaitListening(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && p.lives(); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			return
		}
	}
	t.Fatalf("the process does not listen at %s", address)
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peak is the most that a process has held.
type peak struct {
	// process is its resident memory, unread what the kernel holds of what it has received, in
	// bytes.
	process, unread int64
	descriptors     int
}

// watch looks at the process until the context ends. The function that it returns returns the peak.
func (p *process) watch(ctx context.Context) func() peak {
	var most peak
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		for ctx.Err() == nil && p.lives() {
			most.unread = max(most.unread, p.unread())
			most.descriptors = max(most.descriptors, p.openDescriptors())
			time.Sleep(watchInterval)
		}
	}()
	return func() peak {
		done.Wait()
		most.process = p.peakMemory()
		return most
	}
}

// peakMemory returns the most resident memory that the process has had.
func (p *process) peakMemory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// unread returns how many bytes the kernel holds that arrived at the process's ports and were not
// read.
func (p *process) unread() (sum int64) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	local := map[string]bool{}
	for _, port := range p.ports {
		number, _ := strconv.Atoi(port)
		local[fmt.Sprintf("%04X", number)] = true
	}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, found := strings.Cut(fields[4], ":")
		if bytes, err := strconv.ParseInt(queue, 16, 64); found && err == nil && local[port] {
			sum += bytes
		}
	}
	return sum
}

// lastPort is the newest port that freeAddress has returned. The kernel gives ports from 32768 on to
// connections of any process, so one that was free a moment ago may be taken.
var lastPort atomic.Int64

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := firstPort + lastPort.Add(1)
		assert.Assert(t, port < endPort, "no port is left")
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
}

// serve serves a stand-in until the test ends and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := socket.Listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}
