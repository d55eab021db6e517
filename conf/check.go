package conf

import (
	"net/netip"
	"slices"

	"crocusstep/auth"
	"crocusstep/ident"
	"crocusstep/parser"
	"crocusstep/spec"
)

// ParseEntry decodes and checks an entry's settings. The error lists all errors.
func ParseEntry(file string, data []byte) (Entry, error) {
	settings := NewEntry()
	source := parser.Decode(file, data, &settings)
	checkAddress(source, "listen", settings.Listen)
	checkAddress(source, "admin.listen", settings.Admin.Listen)
	checkAddress(source, "platform.address", settings.Platform.Address)
	checkLog(source, settings.Log)
	checkPositive(source, "platform.timeout", settings.Platform.Timeout)
	checkPositive(source, "header-timeout", settings.HeaderTimeout)
	checkPositive(source, "body-timeout", settings.BodyTimeout)
	checkPositive(source, "write-timeout", settings.WriteTimeout)
	checkPositive(source, "transfer-timeout", settings.TransferTimeout)
	checkPositive(source, "max-body", settings.MaxBody)
	checkPositive(source, "max-header", settings.MaxHeader)
	checkPositive(source, "memory", settings.Memory)
	return settings, source.Err()
}

// ParseAgent decodes and checks an agent's settings. The error lists all errors.
func ParseAgent(file string, data []byte) (Agent, error) {
	settings := NewAgent()
	source := parser.Decode(file, data, &settings)
	checkAddress(source, "listen", settings.Listen)
	checkAddress(source, "admin.listen", settings.Admin.Listen)
	checkAddress(source, "platform.address", settings.Platform.Address)
	checkAddress(source, "endpoint-address", settings.EndpointAddress)
	if settings.Kind != spec.LanguageModel && settings.Kind != spec.Plain && settings.Kind != "" {
		source.Report("endpoint-kind", "expected language-model or plain, not %q", settings.Kind)
	}
	checkLog(source, settings.Log)
	checkPositive(source, "platform.timeout", settings.Platform.Timeout)
	checkPositive(source, "slots", settings.Slots)
	checkPositive(source, "lanes", settings.PrefillSlots)
	checkPositive(source, "max-hold", settings.MaxHoldTimeout)
	checkPositive(source, "sweep-interval", settings.SweepInterval)
	checkPositive(source, "memory", settings.Memory)
	return settings, source.Err()
}

// peerKeys is the content of a peer keys file.
type peerKeys struct {
	Keys []auth.Key `yaml:"keys" required:"true"`
}

// ParsePeerKeys decodes a file with the keys that authenticate requests between processes.
func ParsePeerKeys(file string, data []byte) ([]auth.Key, error) {
	var content peerKeys
	source := parser.Decode(file, data, &content)
	if source.Err() == nil && len(content.Keys) == 0 {
		source.Report("keys", "at least one key is needed")
	}
	return content.Keys, source.Err()
}

func checkAddress(source *parser.Source, key string, address ident.Address) {
	if address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(string(address)); err != nil {
		source.Report(key, "expected an IP address and a port such as 10.0.0.1:8080, not %q", address)
	}
}

func checkLog(source *parser.Source, log Log) {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, log.Level) {
		source.Report("log.level", "expected debug, info, warn or error, not %q", log.Level)
	}
	if !slices.Contains([]string{"text", "json"}, log.Format) {
		source.Report("log.format", "expected text or json, not %q", log.Format)
	}
}

func checkPositive[Number ~int | ~int64](source *parser.Source, key string, value Number) {
	if value <= 0 && source.Has(key) {
		source.Report(key, "must be more than zero")
	}
}
