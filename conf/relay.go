package conf

import (
	"time"

	"crocusstep/ident"
	"crocusstep/parser"
)

// Zone is an availability zone and its region.
type Zone struct {
	// Name of the availability zone.
	Name ident.ZoneName `yaml:"name" required:"true"`
	// Region of the availability zone.
	Region ident.RegionName `yaml:"region" required:"true"`
}

// Peers is how relays and keepers reach each other.
type Peers struct {
	// Port at which every keeper listens on the instance of its engine.
	KeeperPort int `yaml:"keeper-port" required:"true"`
}

// RetryLimits limits the retries of all relays.
type RetryLimits struct {
	// Retries allowed per request of a caller.
	Ratio float64 `yaml:"ratio"`
	// Retries allowed beyond the ratio, summed over all relays.
	Slack float64 `yaml:"slack"`
	// Length of the sliding window in which requests and retries are counted.
	Window parser.Duration `yaml:"window"`
}

// QuotaBounds is what all relays together may use beyond the quotas of workspaces.
type QuotaBounds struct {
	// Length of the windows in which the use of quotas is counted.
	Window parser.Duration `yaml:"window"`
	// Part of a quota that may be exceeded.
	Excess float64 `yaml:"excess"`
	// Units beyond the excess, summed over all relays.
	Slack float64 `yaml:"slack"`
}

// TableBounds is how recent the routing table of a relay must be.
type TableBounds struct {
	// Longest time from the acknowledgement of a routing table until all relays use it. A relay that has not been able to confirm its own for longer refuses unknown routes and keys for the moment only.
	MaxAge parser.Duration `yaml:"max-age"`
}

// Routing is how relays choose the endpoint of a request.
type Routing struct {
	// Send requests where they are likely to cost least, by what was learned of outputs and of the engines' speed.
	LearnedCosts bool `yaml:"learned-costs"`
}

// Callers is what is known of the callers of a relay.
type Callers struct {
	// Longest time that a request and its response take together between a caller and the relay. So long before a caller leaves, a request without a response is refused.
	Transit parser.Duration `yaml:"transit"`
}

// RelayShutdown is how a relay shuts down after SIGTERM.
type RelayShutdown struct {
	// Time after SIGTERM for which new connections are still accepted while the load balancer stops sending.
	ShutdownDelay parser.Duration `yaml:"leave-delay"`
	// Time from SIGTERM until the platform kills the process.
	GracePeriod parser.Duration `yaml:"grace"`
}

// Relay is the settings of the processes that forward requests unchanged.
type Relay struct {
	Location Location `yaml:"place" required:"true"`
	// IP address of the instance.
	Address string `yaml:"address" required:"true"`
	// IP address and port for callers.
	Listen ident.Address `yaml:"listen" required:"true"`
	// IP address and port of the load balancer's readiness checks.
	Readiness ident.Address `yaml:"readiness" required:"true"`
	// Port at which metrics are served.
	MetricsPort int `yaml:"metrics-port"`
	// The platform's object API.
	Platform Platform `yaml:"platform" required:"true"`
	Peers    Peers    `yaml:"peers" required:"true"`
	// All availability zones.
	Zones []Zone `yaml:"availability-zones"`
	// Limits on retries.
	Retries RetryLimits `yaml:"retries"`
	// Tolerances of quotas.
	Quotas   QuotaBounds   `yaml:"quotas"`
	Shutdown RelayShutdown `yaml:"stop"`
	// Age of the routing table.
	Table TableBounds `yaml:"table"`
	// Choice of endpoints.
	Routing Routing `yaml:"routing"`
	Callers Callers `yaml:"callers"`
	// Memory limit of the process; the garbage collector keeps well below it.
	Memory parser.Size `yaml:"memory"`
}

// Keeper is the settings of the process that reserves an engine's KV memory.
type Keeper struct {
	Location Location `yaml:"place" required:"true"`
	// IP address of the instance.
	Address string `yaml:"address" required:"true"`
	// IP address and port of the engine.
	Endpoint ident.Address `yaml:"endpoint" required:"true"`
	// Port at which metrics are served.
	MetricsPort int   `yaml:"metrics-port"`
	Peers       Peers `yaml:"peers" required:"true"`
	// Memory limit of the process; the garbage collector keeps well below it.
	Memory parser.Size `yaml:"memory"`
}

// NewRelay returns the default settings of a relay.
func NewRelay() Relay {
	return Relay{
		MetricsPort: defaultMetricsPort,
		Platform:    defaultPlatform(),
		Retries:     RetryLimits{Ratio: 0.1, Slack: 10, Window: parser.Duration(10 * time.Second)},
		Quotas:      QuotaBounds{Window: parser.Duration(8 * time.Second), Excess: 0.1},
		Shutdown:    RelayShutdown{ShutdownDelay: parser.Duration(2400 * time.Millisecond), GracePeriod: parser.Duration(8 * time.Second)},
		Table:       TableBounds{MaxAge: parser.Duration(4 * time.Second)},
		Callers:     Callers{Transit: parser.Duration(250 * time.Millisecond)},
		Memory:      128 * parser.MiB,
	}
}

// NewKeeper returns the default settings of a keeper.
func NewKeeper() Keeper {
	return Keeper{MetricsPort: defaultMetricsPort, Memory: 128 * parser.MiB}
}

// defaultMetricsPort is the usual port of OpenTelemetry's Prometheus exporter.
const defaultMetricsPort = 9464

// ParseRelay decodes and checks a relay's settings. The error lists all errors.
func ParseRelay(file string, data []byte) (Relay, error) {
	settings := NewRelay()
	source := parser.Decode(file, data, &settings)
	checkAddress(source, "listen", settings.Listen)
	checkAddress(source, "readiness", settings.Readiness)
	checkAddress(source, "platform.address", settings.Platform.Address)
	checkPositive(source, "platform.timeout", settings.Platform.Timeout)
	checkPositive(source, "retries.window", settings.Retries.Window)
	checkPositive(source, "quotas.window", settings.Quotas.Window)
	checkPositive(source, "stop.grace", settings.Shutdown.GracePeriod)
	checkPositive(source, "callers.transit", settings.Callers.Transit)
	checkPositive(source, "table.max-age", settings.Table.MaxAge)
	checkPositive(source, "memory", settings.Memory)
	checkPort(source, "metrics-port", settings.MetricsPort)
	checkPort(source, "peers.keeper-port", settings.Peers.KeeperPort)
	if settings.Retries.Ratio < 0 || settings.Retries.Slack < 0 {
		source.Report("retries", "ratio and slack cannot be negative")
	}
	if settings.Quotas.Excess < 0 || settings.Quotas.Slack < 0 {
		source.Report("quotas", "excess and slack cannot be negative")
	}
	return settings, source.Err()
}

// ParseKeeper decodes and checks a keeper's settings. The error lists all errors.
func ParseKeeper(file string, data []byte) (Keeper, error) {
	settings := NewKeeper()
	source := parser.Decode(file, data, &settings)
	checkAddress(source, "endpoint", settings.Endpoint)
	checkPositive(source, "memory", settings.Memory)
	checkPort(source, "metrics-port", settings.MetricsPort)
	checkPort(source, "peers.keeper-port", settings.Peers.KeeperPort)
	return settings, source.Err()
}

func checkPort(source *parser.Source, key string, port int) {
	const maxPort = 1<<16 - 1
	if source.Has(key) && (port < 1 || port > maxPort) {
		source.Report(key, "expected a port from 1 to %d, not %d", maxPort, port)
	}
}
