// Command standin runs a stand-in for an external system as a process: the platform's
// object API, a model engine or a plain service. docs/protocols describes their
// protocols.
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
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
	// crashExitCode is the exit code of an engine that a poison prompt crashed.
	crashExitCode = 70
)

func main() {
	app := kingpin.New("standin", "Runs a stand-in for a system that crocusstep connects to.")
	listen := app.Flag("listen", "IP address and port to listen on.").Required().String()

	platform := app.Command("platform", "The platform's object API.")
	latency := platform.Flag("latency", "Latency of each call.").Default("2ms").Duration()
	instanceLag := platform.Flag("instance-lag", "Delay until a change of an instance appears in the list of instances.").Default("2s").Duration()

	engine := app.Command("engine", "A model engine.")
	slots := engine.Flag("slots", "Maximum number of concurrent decode requests.").Default("20").Int()

	plain := app.Command("plain", "A plain service that records the calls it executes.")
	executionTime := plain.Flag("work", "Execution time of each call before it takes effect.").Default("20ms").Duration()

	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case platform.FullCommand():
		serve(*listen, fake.NewPlatform(fake.PlatformConfig{Latency: *latency, InstanceLag: *instanceLag}).Handler())
	case engine.FullCommand():
		config := fake.DefaultEngineConfig(socket.NewClient())
		config.Slots = *slots
		serve(*listen, fake.NewEngine(config, func() { os.Exit(crashExitCode) }).Handler())
	case plain.FullCommand():
		serve(*listen, fake.NewPlainService(fake.PlainServiceConfig{ExecutionTime: *executionTime}).Handler())
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
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Print(err)
	}
}
