package start

import (
	"net"
	"strconv"
	"time"

	"crocusstep/conf"
	"crocusstep/gossip"
	"crocusstep/keeper"
	"crocusstep/parser"
	"crocusstep/platform"
	"crocusstep/socket"
)

// keeperStopTime is how long a keeper that stops completes the calls that it has accepted:
// reservations wait for 2.5 s at most.
const keeperStopTime = 3 * time.Second

func (c *cli) addKeeper() {
	command := c.app.Command("keeper", "Run a keeper, which admits requests to the KV memory of the engine on the same instance.")
	file := command.Flag("settings", "YAML file with the settings.").Envar(platform.SettingsVariable).Required().String()
	c.add(command, func() error {
		return runPlatformRole(c, *file, platformRole[conf.Keeper]{
			parse:     conf.ParseKeeper,
			placement: func(s conf.Keeper) (conf.Location, parser.Size) { return s.Location, s.Memory },
			run:       c.runKeeper,

			requestParts: requestParts,
		})
	})
}

func (c *cli) runKeeper(p *platformProcess, settings conf.Keeper) error {
	engine := platform.NewEngineClient(platform.EngineClientConfig{
		Transport: socket.NewTransport(), Address: settings.Endpoint, Holder: settings.Location.Instance,
	})
	k := keeper.NewKeeper(p.Common, engine)
	p.tasks.Go(func() { k.Run(p.ctx) })
	server := p.guard.newServer(keeper.NewHandler(k, gossip.NewHub()), adminHeaderTimeout)
	listen := net.JoinHostPort(settings.Address, strconv.Itoa(settings.Peers.KeeperPort))
	if err := p.serve(listen, server); err != nil {
		return err
	}
	if err := p.serveMetrics(settings.Address, settings.MetricsPort); err != nil {
		return err
	}
	p.Log.Info("keeper is up", "version", c.build.Version, "endpoint", settings.Endpoint, "listen", listen)
	<-p.stopRequested
	p.finishCalls(server, keeperStopTime)
	return nil
}
