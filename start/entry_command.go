package start

import (
	"math/rand/v2"
	"net/http"
	"time"

	"crocusstep/auth"
	"crocusstep/conf"
	"crocusstep/entry"
	"crocusstep/wire"
)

func (c *cli) addEntry() {
	command := c.app.Command("entry", "Run an entry, which serves callers.")
	file := command.Flag("settings", "YAML file with the settings.").Required().String()
	c.add(command, func() error { return c.runEntry(*file) })
}

func (c *cli) runEntry(file string) error {
	settings, err := parseFile(file, conf.ParseEntry)
	if err != nil {
		return err
	}
	p, ring, err := c.startProcess(settings.Log, settings.Location, settings.Memory, settings.PeerKeysFile)
	if err != nil {
		return err
	}
	defer p.close()
	e := newEntry(p, settings, ring)
	p.tasks.Go(func() { e.Run(p.ctx) })
	callers := p.guard.newServer(e.Handler(), settings.HeaderTimeout.Std())
	callers.MaxHeaderBytes = int(settings.MaxHeader)
	callers.RefusesAtClose = true
	if err := p.serve(settings.Listen, callers); err != nil {
		return err
	}
	admin, err := p.serveAdmin(settings.Admin, adminRoutes{
		ready:         e.Ready,
		authenticated: map[string]http.Handler{"GET /burn": e.BurnHandler()},
	})
	if err != nil {
		return err
	}
	p.Log.Info("entry is up", "listen", settings.Listen)
	<-p.stopRequested
	endsAt := time.Now().Add(settings.Shutdown.ShutdownDelay.Std() + settings.Shutdown.Timeout.Std())
	e.Drain(endsAt)
	time.Sleep(settings.Shutdown.ShutdownDelay.Std())
	p.shutDown(endsAt, callers, admin)
	return nil
}

func newEntry(p *process, settings conf.Entry, ring *auth.Keyring) *entry.Entry {
	return entry.NewEntry(p.Common, entry.Config{
		Instance:        settings.Location.Instance,
		Region:          settings.Location.Region,
		Store:           p.newStore(settings.Platform),
		Peers:           wire.NewClient(p.http, ring, p.Meter.CountControlMessage),
		BodyTimeout:     settings.BodyTimeout.Std(),
		WriteTimeout:    settings.WriteTimeout.Std(),
		MaxBody:         settings.MaxBody,
		TransferTimeout: settings.TransferTimeout.Std(),
		Seed:            rand.Uint64(),
	})
}
