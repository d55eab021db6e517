// Command standin runs one of the stand-ins as a process: the platform's object
// API, a model engine or a plain service. See docs/protocols.
package main

import (
	"context"
	"errors"
	"log"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"crocusstep/fake"
	"crocusstep/socket"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = time.Second
	// crashCode is the exit code of an engine that a prompt has crashed.
	crashCode = 70
)

func main() {
	app := kingpin.New("standin", "Runs a stand-in for a system that crocusstep meets.")
	listen := app.Flag("listen", "IP number and port.").Required().String()

	platform := app.Command("platform", "The platform's object API.")
	latency := platform.Flag("latency", "Time that each call takes.").Default("2ms").Duration()
	lag := platform.Flag("instance-lag", "How far the list of instances lies behind.").Default("2s").Duration()

	engine := app.Command("engine", "A model engine.")
	slots := engine.Flag("slots", "Requests that decode at once.").Default("20").Int()

	plain := app.Command("plain", "A plain service that counts its runs.")
	work := plain.Flag("work", "Time that each call takes before its effect.").Default("20ms").Duration()

	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case platform.FullCommand():
		serve(*listen, fake.NewPlatform(fake.PlatformConfig{Latency: *latency, InstanceLag: *lag}).Handler())
	case engine.FullCommand():
		config := fake.DefaultEngineConfig(socket.NewClient())
		config.Slots = *slots
		serve(*listen, fake.NewEngine(config, func() { os.Exit(crashCode) }).Handler())
	case plain.FullCommand():
		serve(*listen, fake.NewPlainService(fake.PlainServiceConfig{ExecutionTime: *work}).Handler())
	}
}

func serve(address string, handler http.Handler) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := socket.Listen(ctx, address)
	if err != nil {
		log.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(limit)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Print(err)
	}
}
