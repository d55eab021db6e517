package start

import (
	"net"
	"strconv"

	"crocusstep/conf"
	"crocusstep/news"
	"crocusstep/place"
	"crocusstep/platform"
	"crocusstep/socket"
)

func (c *cli) addKeeper() {
	command := c.app.Command("keeper", "Give out the places of the engine on the same instance.")
	file := command.Flag("settings", "YAML file with the settings.").Envar(platform.SettingsVariable).Required().String()
	c.add(command, func() error { return c.runKeeper(*file) })
}

func (c *cli) runKeeper(file string) error {
	settings, err := parseFile(file, conf.ParseKeeper)
	if err != nil {
		return err
	}
	p, err := c.bootNative(settings.Place, settings.Memory)
	if err != nil {
		return err
	}
	defer p.close()
	keeper := place.NewKeeper(p.Common, platform.NewEngine(socket.NewClient(), settings.Endpoint, settings.Place.Instance))
	p.tasks.Go(func() { keeper.Run(p.ctx) })
	server := newServer(place.NewHandler(keeper, news.NewBoard()), adminHeaderTimeout)
	listen := net.JoinHostPort(settings.Address, strconv.Itoa(settings.Peers.KeeperPort))
	if err := p.serve(listen, server); err != nil {
		return err
	}
	if err := p.serveMetrics(settings.Address, settings.MetricsPort); err != nil {
		return err
	}
	p.Log.Info("keeper is up", "version", c.build.Version, "endpoint", settings.Endpoint, "listen", listen)
	<-p.asked
	return nil
}
