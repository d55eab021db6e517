package start

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"crocusstep/common"
	"crocusstep/conf"
	"crocusstep/logs"
	"crocusstep/meter"
	"crocusstep/parser"
	"crocusstep/socket"
)

// heapPercent is the part of the memory limit for the heap, in percent: stacks,
// buffers of the kernel and the program itself take the rest.
const heapPercent = 60

// platformProcess is a process that runs on the users' platform.
type platformProcess struct {
	*common.Common
	ctx       context.Context
	cancel    context.CancelFunc
	logWriter *logs.Writer
	// stopRequested is closed by the first signal to stop.
	stopRequested chan struct{}
	// reload holds one entry once the settings may have changed.
	reload chan struct{}
	tasks  common.Tasks
	// servers are closed at the end.
	servers []*http.Server
}

// platformRole is what a role on the users' platform does.
type platformRole[Settings any] struct {
	parse func(file string, data []byte) (Settings, error)
	// placement returns where the process runs and its memory limit.
	placement func(Settings) (conf.Location, parser.Size)
	// run serves until the process is asked to stop.
	run func(*platformProcess, Settings) error
}

// runPlatformRole runs a role with the settings of a file.
func runPlatformRole[Settings any](c *cli, file string, role platformRole[Settings]) error {
	settings, err := parseFile(file, role.parse)
	if err != nil {
		return err
	}
	p, err := c.newPlatformProcess(role.placement(settings))
	if err != nil {
		return err
	}
	defer p.close()
	return role.run(p, settings)
}

func (c *cli) newPlatformProcess(at conf.Location, memory parser.Size) (*platformProcess, error) {
	debug.SetMemoryLimit(int64(memory) * heapPercent / 100)
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	out := logs.NewWriter(c.stdout)
	log := newLogger(conf.Log{Level: "info", Format: "json"}, out).With("instance", at.Instance)
	ctx, end := context.WithCancel(context.Background())
	p := &platformProcess{Common: common.NewCommon(log, m), ctx: ctx, cancel: end, logWriter: out, stopRequested: make(chan struct{}), reload: make(chan struct{}, 1)}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go p.handleSignals(signals)
	return p, nil
}

// handleSignals begins the shutdown at the first signal to stop.
func (p *platformProcess) handleSignals(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			select {
			case p.reload <- struct{}{}:
			default:
			}
			continue
		}
		p.Log.Info("shutting down", "signal", s.String())
		close(p.stopRequested)
		return
	}
}

func (p *platformProcess) close() {
	p.cancel()
	for _, server := range p.servers {
		// Nothing is under way any more; a failure to close harms nobody.
		_ = server.Close()
	}
	p.tasks.Wait()
	p.Log.Info("stopped")
	// The writer only fails to close if it is closed twice.
	_ = p.logWriter.Close()
}

// serve serves a listener until its server is shut down.
func (p *platformProcess) serve(address string, server *http.Server) error {
	listener, err := socket.Listen(p.ctx, address)
	if err != nil {
		return err
	}
	server.ErrorLog = slog.NewLogLogger(p.Log.Handler(), slog.LevelError)
	p.servers = append(p.servers, server)
	p.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("a listener failed", "address", address, "error", err)
		}
	})
	return nil
}

func (p *platformProcess) serveMetrics(host string, port int) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Meter.Handler())
	return p.serve(net.JoinHostPort(host, strconv.Itoa(port)), newServer(mux, adminHeaderTimeout))
}
