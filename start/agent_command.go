package start

import (
	"context"
	"time"

	"crocusstep/agent"
	"crocusstep/auth"
	"crocusstep/conf"
)

// peerHeaderTimeout bounds how long a peer may take to send its header.
const peerHeaderTimeout = 5 * time.Second

func (c *cli) addAgent() {
	command := c.app.Command("agent", "Run an agent, which serves one endpoint.")
	file := command.Flag("settings", "YAML file with the settings.").Required().String()
	c.add(command, func() error { return c.runAgent(*file) })
}

func (c *cli) runAgent(file string) error {
	settings, err := parseFile(file, conf.ParseAgent)
	if err != nil {
		return err
	}
	p, ring, err := c.startProcess(settings.Log, settings.Location, settings.Memory, settings.PeerKeysFile)
	if err != nil {
		return err
	}
	defer p.close()
	a := newAgent(p, settings, ring)
	p.tasks.Go(a.Run)
	peers := p.guard.newServer(a.Handler(), peerHeaderTimeout)
	if err := p.serve(settings.Listen, peers); err != nil {
		return err
	}
	admin, err := p.serveAdmin(settings.Admin, adminRoutes{ready: func() bool { return !a.Draining() }})
	if err != nil {
		return err
	}
	p.Log.Info("agent is up", "endpoint", settings.Endpoint, "listen", settings.Listen)
	<-p.stopRequested
	endsAt := time.Now().Add(settings.Shutdown.Timeout.Std())
	drainCtx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	a.Drain(drainCtx)
	p.shutDown(endsAt, peers, admin)
	a.EndWork()
	return nil
}

func newAgent(p *process, settings conf.Agent, ring *auth.Keyring) *agent.Agent {
	return agent.NewAgent(p.ctx, p.Common, agent.Config{
		Instance:        settings.Location.Instance,
		Region:          settings.Location.Region,
		Zone:            settings.Location.Zone,
		Pool:            settings.Pool,
		Address:         settings.Listen,
		Endpoint:        settings.Endpoint,
		Kind:            settings.Kind,
		EndpointAddress: settings.EndpointAddress,
		Slots:           settings.Slots,
		PrefillSlots:    settings.PrefillSlots,
		MaxHoldTimeout:  settings.MaxHoldTimeout.Std(),
		SweepInterval:   settings.SweepInterval.Std(),
		HTTP:            p.http,
		Store:           p.newStore(settings.Platform),
		Keyring:         ring,
	})
}
