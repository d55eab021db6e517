package start

import (
	"crocusstep/conf"
	"crocusstep/platform"
)

func (c *cli) addRelay() {
	command := c.app.Command("relay", "Pass callers' requests on to endpoints as they came.")
	file := command.Flag("settings", "YAML file with the settings.").Envar(platform.SettingsVariable).Required().String()
	c.add(command, func() error { return c.runRelay(*file) })
}

func (c *cli) runRelay(file string) error {
	settings, err := parseFile(file, conf.ParseRelay)
	if err != nil {
		return err
	}
	p, err := c.bootNative(settings.Place, settings.Memory)
	if err != nil {
		return err
	}
	defer p.close()
	s := newRelayServer(p, settings)
	if err := s.listen(); err != nil {
		return err
	}
	s.follow()
	p.tasks.Go(func() { s.watchSettings(file) })
	p.Log.Info("relay is up", "version", c.build.Version, "listen", settings.Listen, "zone", settings.Place.Zone)
	<-p.asked
	s.stop()
	return nil
}
