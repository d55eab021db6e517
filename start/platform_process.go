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

// heapShare is the part of the memory limit for the heap, in percent: stacks,
// buffers of the kernel and the program itself take the rest.
const heapShare = 60

// native is a process that runs on the users' platform.
type native struct {
	*common.Common
	ctx context.Context
	end context.CancelFunc
	out *logs.Writer
	// asked is closed by the first signal to stop.
	asked chan struct{}
	// reload holds one entry once the settings may have changed.
	reload chan struct{}
	tasks  common.Tasks
	// servers are closed at the end.
	servers []*http.Server
}

// nativeRole is what a role on the users' platform does.
type nativeRole[Settings any] struct {
	parse func(file string, data []byte) (Settings, error)
	// needs returns where the process runs and its memory limit.
	needs func(Settings) (conf.Location, parser.Size)
	// run serves until the process is asked to stop.
	run func(*native, Settings) error
}

// runNative runs a role with the settings of a file.
func runNative[Settings any](c *cli, file string, role nativeRole[Settings]) error {
	settings, err := parseFile(file, role.parse)
	if err != nil {
		return err
	}
	p, err := c.bootNative(role.needs(settings))
	if err != nil {
		return err
	}
	defer p.close()
	return role.run(p, settings)
}

func (c *cli) bootNative(at conf.Location, memory parser.Size) (*native, error) {
	debug.SetMemoryLimit(int64(memory) * heapShare / 100)
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	out := logs.NewWriter(c.stdout)
	log := newLogger(conf.Log{Level: "info", Format: "json"}, out).With("instance", at.Instance)
	ctx, end := context.WithCancel(context.Background())
	p := &native{Common: common.NewCommon(log, m), ctx: ctx, end: end, out: out, asked: make(chan struct{}), reload: make(chan struct{}, 1)}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go p.handle(signals)
	return p, nil
}

// handle begins the shutdown at the first signal to stop.
func (p *native) handle(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			select {
			case p.reload <- struct{}{}:
			default:
			}
			continue
		}
		p.Log.Info("shutting down", "signal", s.String())
		close(p.asked)
		return
	}
}

func (p *native) close() {
	p.end()
	for _, server := range p.servers {
		// Nothing is under way any more; a failure to close harms nobody.
		_ = server.Close()
	}
	p.tasks.Wait()
	p.Log.Info("stopped")
	// The writer only fails to close if it is closed twice.
	_ = p.out.Close()
}

// serve serves a listener until its server is shut down.
func (p *native) serve(address string, server *http.Server) error {
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

func (p *native) serveMetrics(host string, port int) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Meter.Handler())
	return p.serve(net.JoinHostPort(host, strconv.Itoa(port)), newServer(mux, adminHeaderTimeout))
}
