// Package conf is the settings of each role: one commented struct and one
// default function, from which docs/Config.md is made.
package conf

import (
	"time"

	"crocusstep/ident"
	"crocusstep/parser"
	"crocusstep/spec"
)

// Location is where a process runs. A process learns it from its settings alone.
type Location struct {
	// Name of the instance in the platform's list.
	Instance ident.InstanceName `yaml:"instance" required:"true"`
	// Region of the instance.
	Region ident.RegionName `yaml:"region" required:"true"`
	// Availability zone of the instance.
	Zone ident.ZoneName `yaml:"availability-zone" required:"true"`
}

// Log is how a process writes its log to the standard error.
type Log struct {
	// Least level that is written: debug, info, warn or error.
	Level string `yaml:"level"`
	// Form of each line: text or json.
	Format string `yaml:"format"`
}

// Platform is how to reach the platform's object API.
type Platform struct {
	// IP number and port of the platform's object API.
	Address ident.Address `yaml:"address" required:"true"`
	// Longest time that one call may take.
	Timeout parser.Duration `yaml:"timeout"`
}

// Admin is the listener for operators and probes, apart from all others.
type Admin struct {
	// IP number and port of the administration listener.
	Listen ident.Address `yaml:"listen" required:"true"`
	// Bearer token for what is more than a probe or a metric.
	Token string `yaml:"token" required:"true"`
}

// Shutdown is how a process stops after SIGTERM.
type Shutdown struct {
	// Time for which an entry still takes requests while the balancer turns away.
	ShutdownDelay parser.Duration `yaml:"leave-delay"`
	// Longest time that work under way may take before it is cut off.
	Timeout parser.Duration `yaml:"timeout"`
}

// Entry is the settings of the processes that callers talk to.
type Entry struct {
	Location Location `yaml:"place" required:"true"`
	// IP number and port for callers.
	Listen ident.Address `yaml:"listen" required:"true"`
	// Administration listener.
	Admin Admin `yaml:"admin" required:"true"`
	// The platform's object API.
	Platform Platform `yaml:"platform" required:"true"`
	// File with the keys that sign orders to agents; it is read again when it changes.
	PeerKeysFile string `yaml:"peer-keys-file" required:"true"`
	// Largest body of any request, whatever a service's document allows.
	MaxBody parser.Size `yaml:"max-body"`
	// Largest header of a request.
	MaxHeader parser.Size `yaml:"max-header"`
	// Longest time for a caller to send its header.
	HeaderTimeout parser.Duration `yaml:"header-timeout"`
	// Longest time for a caller to send its body.
	BodyTimeout parser.Duration `yaml:"body-timeout"`
	// Longest time for a caller to accept one piece of an answer.
	WriteTimeout parser.Duration `yaml:"write-timeout"`
	// Longest time for a KV transfer between two endpoints.
	TransferTimeout parser.Duration `yaml:"transfer-timeout"`
	Log             Log             `yaml:"log"`
	Shutdown        Shutdown        `yaml:"shutdown"`
}

// Agent is the settings of the process beside each endpoint.
type Agent struct {
	Location Location `yaml:"place" required:"true"`
	// Name of the endpoint beside which the agent runs.
	Endpoint ident.EndpointName `yaml:"endpoint" required:"true"`
	// Pool in which the endpoint serves; service documents name it.
	Pool ident.PoolName `yaml:"pool" required:"true"`
	// What listens at the endpoint: language-model or plain.
	Kind spec.ServiceKind `yaml:"endpoint-kind" required:"true"`
	// IP number and port of the endpoint.
	EndpointAddress ident.Address `yaml:"endpoint-address" required:"true"`
	// IP number and port for orders of entries.
	Listen ident.Address `yaml:"listen" required:"true"`
	// Administration listener.
	Admin Admin `yaml:"admin" required:"true"`
	// The platform's object API.
	Platform Platform `yaml:"platform" required:"true"`
	// File with the keys that verify orders; it is read again when it changes.
	PeerKeysFile string `yaml:"peer-keys-file" required:"true"`
	// Requests that decode at once at the endpoint.
	Slots int `yaml:"slots"`
	// Prompts that are read at once at the endpoint.
	PrefillSlots int `yaml:"lanes"`
	// Longest time that a slot or turn is kept without being used.
	MaxHold parser.Duration `yaml:"max-hold"`
	// Time between two comparisons with the engine's list of requests.
	SweepInterval parser.Duration `yaml:"sweep-interval"`
	Log           Log             `yaml:"log"`
	Shutdown      Shutdown        `yaml:"shutdown"`
}

// NewEntry returns an entry's settings with every default set.
func NewEntry() Entry {
	return Entry{
		Platform:        defaultPlatform(),
		MaxBody:         4 * parser.MiB,
		MaxHeader:       32 * parser.KiB,
		HeaderTimeout:   parser.Duration(5 * time.Second),
		BodyTimeout:     parser.Duration(10 * time.Second),
		WriteTimeout:    parser.Duration(10 * time.Second),
		TransferTimeout: parser.Duration(2 * time.Second),
		Log:             defaultLog(),
		Shutdown:        defaultShutdown(),
	}
}

// NewAgent returns an agent's settings with every default set.
func NewAgent() Agent {
	return Agent{
		Platform:      defaultPlatform(),
		Slots:         20,
		PrefillSlots:  1,
		MaxHold:       parser.Duration(10 * time.Second),
		SweepInterval: parser.Duration(2 * time.Second),
		Log:           defaultLog(),
		Shutdown:      defaultShutdown(),
	}
}

func defaultPlatform() Platform { return Platform{Timeout: parser.Duration(2 * time.Second)} }

func defaultLog() Log { return Log{Level: "info", Format: "text"} }

func defaultShutdown() Shutdown {
	return Shutdown{
		ShutdownDelay: parser.Duration(3 * time.Second),
		Timeout:       parser.Duration(2 * time.Minute),
	}
}
