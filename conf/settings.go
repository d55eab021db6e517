// Package conf defines the settings of each role, with their defaults and checks.
// docs/Config.md is generated from the structs and the comments of their fields.
package conf

import (
	"time"

	"crocusstep/ident"
	"crocusstep/parser"
	"crocusstep/spec"
)

// Location is where a process runs. It is known from the settings only.
type Location struct {
	// Name of the instance in the platform's list.
	Instance ident.InstanceName `yaml:"instance" required:"true"`
	// Region of the instance.
	Region ident.RegionName `yaml:"region" required:"true"`
	// Availability zone of the instance.
	Zone ident.ZoneName `yaml:"availability-zone" required:"true"`
}

// Log is how a process logs to the standard error.
type Log struct {
	// Minimum level of logged lines: debug, info, warn or error.
	Level string `yaml:"level"`
	// Format of each line: text or json.
	Format string `yaml:"format"`
}

// Platform is how to reach the platform's object API.
type Platform struct {
	// IP address and port of the platform's object API.
	Address ident.Address `yaml:"address" required:"true"`
	// Timeout of one call.
	Timeout parser.Duration `yaml:"timeout"`
}

// Admin is the listener for operators and probes, separate from all others.
type Admin struct {
	// IP address and port of the administration listener.
	Listen ident.Address `yaml:"listen" required:"true"`
	// Bearer token for all paths other than probes and metrics.
	Token string `yaml:"token" required:"true"`
}

// Shutdown is how an entry or agent shuts down after SIGTERM.
type Shutdown struct {
	// Time for which an entry still accepts requests while the load balancer stops sending.
	ShutdownDelay parser.Duration `yaml:"leave-delay"`
	// Longest wait for requests in flight before they are ended; an entry refuses requests that may need more time than is left. It should exceed the services' patience, and for chats the patience of each attempt and the longest output at the target between tokens.
	Timeout parser.Duration `yaml:"timeout"`
}

// Entry is the settings of the processes that serve callers.
type Entry struct {
	Location Location `yaml:"place" required:"true"`
	// IP address and port for callers.
	Listen ident.Address `yaml:"listen" required:"true"`
	// Administration listener.
	Admin Admin `yaml:"admin" required:"true"`
	// The platform's object API.
	Platform Platform `yaml:"platform" required:"true"`
	// File with the keys that sign requests to agents; it is reloaded when it changes.
	PeerKeysFile string `yaml:"peer-keys-file" required:"true"`
	// Largest body of any request, whatever a service's document allows.
	MaxBody parser.Size `yaml:"max-body"`
	// Largest header of a request.
	MaxHeader parser.Size `yaml:"max-header"`
	// Longest time for a caller to send its header.
	HeaderTimeout parser.Duration `yaml:"header-timeout"`
	// Longest time for a caller to send its body.
	BodyTimeout parser.Duration `yaml:"body-timeout"`
	// Longest time for a caller to accept one write of a response.
	WriteTimeout parser.Duration `yaml:"write-timeout"`
	// Longest time for a KV transfer between two endpoints.
	TransferTimeout parser.Duration `yaml:"transfer-timeout"`
	// Memory limit of the process. A quarter of it is for requests.
	Memory   parser.Size `yaml:"memory"`
	Log      Log         `yaml:"log"`
	Shutdown Shutdown    `yaml:"shutdown"`
}

// Agent is the settings of the process that serves one endpoint.
type Agent struct {
	Location Location `yaml:"place" required:"true"`
	// Name of the endpoint that the agent serves.
	Endpoint ident.EndpointName `yaml:"endpoint" required:"true"`
	// Pool of the endpoint, as named in service documents.
	Pool ident.PoolName `yaml:"pool" required:"true"`
	// Kind of the endpoint: language-model or plain.
	Kind spec.ServiceKind `yaml:"endpoint-kind" required:"true"`
	// IP address and port of the endpoint.
	EndpointAddress ident.Address `yaml:"endpoint-address" required:"true"`
	// IP address and port for requests of entries.
	Listen ident.Address `yaml:"listen" required:"true"`
	// Administration listener.
	Admin Admin `yaml:"admin" required:"true"`
	// The platform's object API.
	Platform Platform `yaml:"platform" required:"true"`
	// File with the keys that verify requests of entries; it is reloaded when it changes.
	PeerKeysFile string `yaml:"peer-keys-file" required:"true"`
	// Concurrent decodes at the endpoint.
	Slots int `yaml:"slots"`
	// Concurrent prefills at the endpoint.
	PrefillSlots int `yaml:"lanes"`
	// Time after which an unused reservation expires.
	MaxHoldTimeout parser.Duration `yaml:"max-hold"`
	// Interval of comparisons with the engine's list of requests.
	SweepInterval parser.Duration `yaml:"sweep-interval"`
	// Memory limit of the process. A quarter of it is for requests.
	Memory   parser.Size `yaml:"memory"`
	Log      Log         `yaml:"log"`
	Shutdown Shutdown    `yaml:"shutdown"`
}

// NewEntry returns the default settings of an entry.
func NewEntry() Entry {
	return Entry{
		Platform:        defaultPlatform(),
		MaxBody:         4 * parser.MiB,
		MaxHeader:       32 * parser.KiB,
		HeaderTimeout:   parser.Duration(5 * time.Second),
		BodyTimeout:     parser.Duration(10 * time.Second),
		WriteTimeout:    parser.Duration(10 * time.Second),
		TransferTimeout: parser.Duration(2 * time.Second),
		Memory:          defaultMemory,
		Log:             defaultLog(),
		Shutdown:        defaultShutdown(),
	}
}

// NewAgent returns the default settings of an agent.
func NewAgent() Agent {
	return Agent{
		Platform:       defaultPlatform(),
		Slots:          20,
		PrefillSlots:   1,
		MaxHoldTimeout: parser.Duration(10 * time.Second),
		SweepInterval:  parser.Duration(2 * time.Second),
		Memory:         defaultMemory,
		Log:            defaultLog(),
		Shutdown:       defaultShutdown(),
	}
}

// defaultMemory is a little less than the 256 MB that control may have on an instance.
const defaultMemory = 240 * parser.MiB

func defaultPlatform() Platform { return Platform{Timeout: parser.Duration(2 * time.Second)} }

func defaultLog() Log { return Log{Level: "info", Format: "text"} }

func defaultShutdown() Shutdown {
	return Shutdown{
		ShutdownDelay: parser.Duration(3 * time.Second),
		Timeout:       parser.Duration(2 * time.Minute),
	}
}
