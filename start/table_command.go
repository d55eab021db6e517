package start

import (
	"encoding/json"
	"fmt"

	"crocusstep/audit"
	"crocusstep/parser"
	"crocusstep/platform"
	"crocusstep/store"
	"crocusstep/table"
)

// tableCheck is what "table check" was asked to do.
type tableCheck struct {
	file string
	// inForce is a file, platform an address; both are empty if nothing is compared.
	inForce  string
	platform string
	capacity audit.Capacity
	format   string
}

func (c *cli) addTable() {
	command := c.app.Command("table", "Routing tables on a platform that keeps them.").
		Command("check", "Check a routing table before it is sent, and compare it with the one in force.")
	var check tableCheck
	command.Arg("file", "JSON file with the routing table, as it is stored.").Required().StringVar(&check.file)
	command.Flag("in-force", "JSON file with the routing table in force.").StringVar(&check.inForce)
	command.Flag("platform", "IP address and port of the platform's object API, to read the routing table in force.").StringVar(&check.platform)
	command.Flag("capacity", "Tokens a second that all endpoints serve together, to compare quotas with.").Float64Var(&check.capacity.TokensPerSecond)
	command.Flag("format", "text or json").Default("text").EnumVar(&check.format, "text", "json")
	c.add(command, func() error { return c.checkTable(check) })
}

// checkTable prints the findings. Its error lists the errors among them.
func (c *cli) checkTable(check tableCheck) error {
	next, err := parseFile(check.file, decodeTable)
	if err != nil {
		return err
	}
	found := audit.Check(next, check.capacity)
	inForce, err := tableInForce(check)
	if err != nil {
		return err
	}
	if inForce != nil {
		found = append(found, audit.Compare(inForce, next)...)
	}
	if err := c.printFindings(found, check.format); err != nil {
		return err
	}
	if audit.HasErrors(found) {
		return parser.FieldErrors{{File: check.file, Message: "the routing table has errors"}}
	}
	return nil
}

// decodeTable decodes a file with a routing table; what cannot be decoded is an error of the file.
func decodeTable(file string, data []byte) (*table.Document, error) {
	d, err := platform.DecodeTable(data)
	if err != nil {
		return nil, parser.FieldErrors{{File: file, Message: err.Error()}}
	}
	return d, nil
}

// tableInForce returns the routing table to compare with, or nil.
func tableInForce(check tableCheck) (*table.Document, error) {
	switch {
	case check.inForce != "":
		return parseFile(check.inForce, decodeTable)
	case check.platform == "":
		return nil, nil
	}
	ctx, cancel := newCommandContext()
	defer cancel()
	object, err := newCommandStore(check.platform).Get(ctx, store.Key{Kind: platform.ConfigKind, Name: platform.ConfigName})
	if err != nil {
		return nil, err
	}
	return decodeTable(check.platform, object.Value)
}

func (c *cli) printFindings(found []audit.Finding, format string) error {
	if format == "json" {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(append([]audit.Finding{}, found...))
	}
	for _, f := range found {
		if _, err := fmt.Fprintln(c.stdout, f); err != nil {
			return err
		}
	}
	return nil
}
