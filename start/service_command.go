package start

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"crocusstep/docset"
	"crocusstep/ident"
	"crocusstep/platform"
	"crocusstep/socket"
	"crocusstep/spec"
)

const (
	// commandTimeout bounds a command of an operator.
	commandTimeout = 40 * time.Second
	// platformCallTimeout bounds each call of the platform within a command.
	platformCallTimeout = 5 * time.Second
)

func (c *cli) addService() {
	service := c.app.Command("service", "Check, store and read service documents.")
	platform := service.Flag("platform", "IP address and port of the platform's object API.").Default("127.0.0.1:7000").String()
	newAdmin := func() *docset.Admin { return docset.NewAdmin(newCommandStore(*platform)) }

	check := service.Command("check", "Check a document without storing it.")
	checkFile := check.Arg("file", "YAML file with the document.").Required().String()
	c.add(check, func() error {
		_, err := parseFile(*checkFile, spec.Parse)
		return err
	})

	put := service.Command("put", "Check a document and activate it.")
	putFile := put.Arg("file", "YAML file with the document.").Required().String()
	base := put.Flag("base", "Revision number of the edited document; the newest by default, 0 for a new service.").Default("-1").Int64()
	c.add(put, func() error { return c.putDocument(newAdmin(), *putFile, *base) })

	get := service.Command("get", "Print the active document.")
	getName := get.Arg("service", "Name of the service.").Required().String()
	c.add(get, func() error { return c.getDocument(newAdmin(), ident.ServiceName(*getName)) })

	list := service.Command("list", "List services with their revision numbers.")
	c.add(list, func() error { return c.listDocuments(newAdmin()) })

	history := service.Command("history", "List the accepted revisions of a document.")
	historyName := history.Arg("service", "Name of the service.").Required().String()
	c.add(history, func() error { return c.listHistory(newAdmin(), ident.ServiceName(*historyName)) })
}

func newCommandStore(address string) *platform.Store {
	return platform.NewStore(platform.StoreConfig{
		Address: ident.Address(address),
		HTTP:    socket.NewClient(),
		Timeout: platformCallTimeout,
	})
}

func newCommandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

func (c *cli) putDocument(admin *docset.Admin, file string, base int64) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	document, err := spec.Parse(file, data)
	if err != nil {
		return err
	}
	number, err := admin.Put(ctx, document, data, docset.RevisionNumber(base))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s accepted as number %d; in force everywhere within %s\n", document.Service, number, docset.MaxStaleness)
	return err
}

func (c *cli) getDocument(admin *docset.Admin, service ident.ServiceName) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	revision, err := admin.Get(ctx, service)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "# number %d\n%s", revision.Number, revision.Text)
	return err
}

func (c *cli) listDocuments(admin *docset.Admin) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	items, err := admin.List(ctx)
	for _, item := range items {
		if _, err := fmt.Fprintf(c.stdout, "%s\t%d\t%s\n", item.Service, item.Record.Current.Number, describeState(item.Record)); err != nil {
			return err
		}
	}
	return err
}

func describeState(record docset.Record) string {
	if record.Staged == nil {
		return "in force"
	}
	return "in force, a change is proposed"
}

func (c *cli) listHistory(admin *docset.Admin, service ident.ServiceName) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	revisions, err := admin.History(ctx, service)
	if err != nil {
		return err
	}
	for _, revision := range revisions {
		if _, err := fmt.Fprintf(c.stdout, "# number %d, accepted %s\n%s\n", revision.Number, revision.At.Format(time.RFC3339), revision.Text); err != nil {
			return err
		}
	}
	return nil
}

func printYAML(w io.Writer, value any) error {
	encoder := yaml.NewEncoder(w)
	defer func() { _ = encoder.Close() }()
	return encoder.Encode(value)
}
