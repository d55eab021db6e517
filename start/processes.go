package start

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"crocusstep/agent"
	"crocusstep/conf"
	"crocusstep/entry"
	"crocusstep/wire"
)

const (
	// idleTimeout closes connections of callers and peers that say nothing.
	idleTimeout = 2 * time.Minute
	// peerHeaderTimeout bounds the header of an order.
	peerHeaderTimeout = 5 * time.Second
)

func (c *cli) addProcesses() {
	entryCommand := c.app.Command("entry", "Serve callers.")
	entryFile := entryCommand.Flag("settings", "YAML file with the settings.").Required().String()
	c.add(entryCommand, func() error { return c.runEntry(*entryFile) })
	agentCommand := c.app.Command("agent", "Serve beside one endpoint.")
	agentFile := agentCommand.Flag("settings", "YAML file with the settings.").Required().String()
	c.add(agentCommand, func() error { return c.runAgent(*agentFile) })
}

// parseFile reads a file and hands it to a parser.
func parseFile[Settings any](file string, parse func(string, []byte) (Settings, error)) (settings Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, err
	}
	return parse(file, data)
}

func (c *cli) runEntry(file string) error {
	settings, err := parseFile(file, conf.ParseEntry)
	if err != nil {
		return err
	}
	p, err := newProcess(settings.Log, settings.Place, c.stderr)
	if err != nil {
		return err
	}
	defer p.tasks.Wait()
	defer p.stop()
	ring, err := p.newKeyring(settings.PeerKeysFile)
	if err != nil {
		return err
	}
	e := entry.NewEntry(p.Common, entry.Config{
		Instance:        settings.Place.Instance,
		Region:          settings.Place.Region,
		Store:           p.newStore(settings.Platform),
		Peers:           wire.NewClient(p.http, ring, p.Meter.Control),
		BodyTimeout:     settings.BodyTimeout.Std(),
		WriteTimeout:    settings.WriteTimeout.Std(),
		MaxBody:         settings.MaxBody,
		TransferTimeout: settings.TransferTimeout.Std(),
		Seed:            rand.Uint64(),
	})
	p.tasks.Go(func() { e.Run(p.ctx) })
	callers := &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: settings.HeaderTimeout.Std(),
		MaxHeaderBytes:    int(settings.MaxHeader),
		IdleTimeout:       idleTimeout,
	}
	if err := p.serve(settings.Listen, callers); err != nil {
		return err
	}
	admin, err := p.serveAdmin(settings.Admin, adminRoutes{
		ready:   e.Ready,
		guarded: map[string]http.Handler{"GET /burn": e.BurnHandler()},
	})
	if err != nil {
		return err
	}
	p.Log.Info("entry is up", "listen", settings.Listen)
	<-p.asked
	e.StartDraining()
	time.Sleep(settings.Shutdown.LeaveDelay.Std())
	p.shutDown(settings.Shutdown.Timeout.Std(), callers, admin)
	return nil
}

func (c *cli) runAgent(file string) error {
	settings, err := parseFile(file, conf.ParseAgent)
	if err != nil {
		return err
	}
	p, err := newProcess(settings.Log, settings.Place, c.stderr)
	if err != nil {
		return err
	}
	defer p.tasks.Wait()
	defer p.stop()
	ring, err := p.newKeyring(settings.PeerKeysFile)
	if err != nil {
		return err
	}
	a := agent.NewAgent(p.ctx, p.Common, agent.Config{
		Instance:        settings.Place.Instance,
		Region:          settings.Place.Region,
		Zone:            settings.Place.Zone,
		Pool:            settings.Pool,
		Address:         settings.Listen,
		Endpoint:        settings.Endpoint,
		Kind:            settings.Kind,
		EndpointAddress: settings.EndpointAddress,
		Slots:           settings.Slots,
		Lanes:           settings.Lanes,
		MaxHold:         settings.MaxHold.Std(),
		SweepInterval:   settings.SweepInterval.Std(),
		HTTP:            p.http,
		Store:           p.newStore(settings.Platform),
		Keyring:         ring,
	})
	p.tasks.Go(a.Run)
	peers := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: peerHeaderTimeout, IdleTimeout: idleTimeout}
	if err := p.serve(settings.Listen, peers); err != nil {
		return err
	}
	admin, err := p.serveAdmin(settings.Admin, adminRoutes{ready: func() bool { return !a.Draining() }})
	if err != nil {
		return err
	}
	p.Log.Info("agent is up", "endpoint", settings.Endpoint, "listen", settings.Listen)
	<-p.asked
	limit, cancel := context.WithTimeout(context.Background(), settings.Shutdown.Timeout.Std())
	defer cancel()
	a.Drain(limit)
	p.shutDown(settings.Shutdown.Timeout.Std(), peers, admin)
	return nil
}

func (c *cli) addSettings() {
	settings := c.app.Command("settings", "Check or print settings.")
	check := settings.Command("check", "Check a settings file and list all faults.")
	checkRole := check.Arg("role", "entry or agent").Required().Enum("entry", "agent")
	checkFile := check.Arg("file", "YAML file with the settings.").Required().String()
	c.add(check, func() error { return checkSettings(*checkRole, *checkFile) })
	defaults := settings.Command("default", "Print a role's settings with their defaults.")
	defaultRole := defaults.Arg("role", "entry or agent").Required().Enum("entry", "agent")
	c.add(defaults, func() error { return c.printDefaults(*defaultRole) })
	reference := settings.Command("reference", "Print docs/Config.md.")
	c.add(reference, c.printReference)
}

func checkSettings(role, file string) error {
	if role == "entry" {
		_, err := parseFile(file, conf.ParseEntry)
		return err
	}
	_, err := parseFile(file, conf.ParseAgent)
	return err
}

func (c *cli) printDefaults(role string) error {
	var settings any = conf.NewEntry()
	if role == "agent" {
		settings = conf.NewAgent()
	}
	return printYAML(c.stdout, settings)
}

func (c *cli) printReference() error {
	text, err := conf.Reference()
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.stdout, text)
	return err
}
