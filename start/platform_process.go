package start

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"crocusstep/common"
	"crocusstep/conf"
	"crocusstep/intake"
	"crocusstep/logs"
	"crocusstep/meter"
	"crocusstep/parser"
	"crocusstep/socket"
)

// platformProcess is a process that the platform starts, such as a relay.
// It logs JSON to the standard output and has no administration listener.
type platformProcess struct {
	*common.Common
	guard     *guard
	ctx       context.Context
	cancel    context.CancelFunc
	logWriter *logs.Writer
	// stopRequested is closed by the first signal to stop.
	stopRequested chan struct{}
	// reload has a buffer of one; SIGHUP requests a reload of the settings.
	reload chan struct{}
	tasks  common.Tasks
	// servers are closed by close.
	servers []*intake.Server
}

// platformRole defines a role that the platform starts.
type platformRole[Settings any] struct {
	parse func(file string, data []byte) (Settings, error)
	// placement returns where the process runs and its memory limit.
	placement func(Settings) (conf.Location, parser.Size)
	// requestParts is the part of the memory for requests.
	requestParts int
	// run serves until a signal to stop arrives.
	run func(*platformProcess, Settings) error
}

// runPlatformRole reads the settings file and runs the role with it.
func runPlatformRole[Settings any](c *cli, file string, role platformRole[Settings]) error {
	settings, err := parseFile(file, role.parse)
	if err != nil {
		return err
	}
	location, memory := role.placement(settings)
	p, err := c.newPlatformProcess(location)
	if err != nil {
		return err
	}
	limitHeap(memory)
	p.guard = newGuard(memory, role.requestParts, p.Meter)
	defer p.close()
	return role.run(p, settings)
}

func (c *cli) newPlatformProcess(location conf.Location) (*platformProcess, error) {
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	logWriter := logs.NewWriter(c.stdout)
	log := newLogger(conf.Log{Level: "info", Format: "json"}, logWriter).With("instance", location.Instance)
	ctx, cancel := context.WithCancel(context.Background())
	p := &platformProcess{Common: common.NewCommon(log, m), ctx: ctx, cancel: cancel, logWriter: logWriter, stopRequested: make(chan struct{}), reload: make(chan struct{}, 1)}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go p.handleSignals(signals)
	return p, nil
}

// handleSignals requests a reload at each SIGHUP, until the first signal to stop
// begins the shutdown.
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
		// No request is in flight any more, so a failure to close has no effect.
		_ = server.Close()
	}
	p.tasks.Wait()
	p.Log.Info("stopped")
	// Close never returns an error.
	_ = p.logWriter.Close()
}

// serve opens a listener and serves it in a task until the server is shut down.
func (p *platformProcess) serve(address string, server *intake.Server) error {
	listener, err := socket.Listen(p.ctx, address)
	if err != nil {
		return err
	}
	server.ErrorLog = slog.NewLogLogger(p.Log.Handler(), slog.LevelError)
	p.servers = append(p.servers, server)
	p.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("listener failed", "address", address, "error", err)
		}
	})
	return nil
}

// finishCalls refuses further connections and waits for the responses to accepted requests.
func (p *platformProcess) finishCalls(server *intake.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.Log.Warn("calls were still in progress at the stop", "error", err)
	}
}

func (p *platformProcess) serveMetrics(host string, port int) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Meter.Handler())
	return p.serve(net.JoinHostPort(host, strconv.Itoa(port)), p.guard.newSideServer(mux))
}
