package start

import (
	"fmt"
	"os"
	"time"

	"crocusstep/burn"
	"crocusstep/ident"
	"crocusstep/socket"
)

func (c *cli) addReport() {
	report := c.app.Command("report", "Reports for operators.")
	command := report.Command("burn", "Show the error budget burn rate of services.")
	entries := command.Flag("entry", "IP address and port of an entry's administration listener; repeatable.").Required().Strings()
	token := command.Flag("token-file", "File with the admin token.").Required().String()
	format := command.Flag("format", "text, json or html").Default("text").Enum("text", "json", "html")
	c.add(command, func() error { return c.reportBurn(*entries, *token, *format) })
	c.addBound(report)
	c.addLosses(report)
}

func (c *cli) reportBurn(entries []string, tokenFile, format string) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return err
	}
	collector := burn.NewCollector(socket.NewClient(), string(token))
	addresses := make([]ident.Address, len(entries))
	for i, address := range entries {
		addresses[i] = ident.Address(address)
	}
	series, missing := collector.Collect(ctx, addresses)
	for _, err := range missing {
		_, _ = fmt.Fprintf(c.stderr, "crocusstep: %v\n", err)
	}
	if err := burn.NewReport(series, time.Now()).Write(c.stdout, format); err != nil {
		return err
	}
	if len(missing) > 0 {
		return fmt.Errorf("the report lacks %d of %d entries", len(missing), len(entries))
	}
	return nil
}
