package start

import (
	"crocusstep/conf"
	"crocusstep/parser"
	"crocusstep/platform"
)

func (c *cli) addRelay() {
	command := c.app.Command("relay", "Run a relay, which forwards requests to endpoints unchanged.")
	file := command.Flag("settings", "YAML file with the settings.").Envar(platform.SettingsVariable).Required().String()
	c.add(command, func() error {
		return runPlatformRole(c, *file, platformRole[conf.Relay]{
			parse:     conf.ParseRelay,
			placement: func(s conf.Relay) (conf.Location, parser.Size) { return s.Location, s.Memory },
			run:       func(p *platformProcess, s conf.Relay) error { return c.runRelay(p, s, *file) },

			requestParts: relayRequestParts,
		})
	})
}

func (c *cli) runRelay(p *platformProcess, settings conf.Relay, file string) error {
	s := newRelayServer(p, settings)
	if err := s.listen(); err != nil {
		return err
	}
	s.startWatchers()
	p.tasks.Go(func() { s.watchSettings(file) })
	p.Log.Info("relay is up", "version", c.build.Version, "listen", settings.Listen, "zone", settings.Location.Zone)
	<-p.stopRequested
	s.shutDown()
	return nil
}
