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
	// commandTimeout bounds an operator's command.
	commandTimeout = 40 * time.Second
	// platformCallTimeout bounds one call of the platform in it.
	platformCallTimeout = 5 * time.Second
)

func (c *cli) addService() {
	service := c.app.Command("service", "Check, store and read service documents.")
	platform := service.Flag("platform", "IP number and port of the platform's object API.").Default("127.0.0.1:7000").String()
	newBook := func() *docset.Admin { return docset.NewAdmin(newCommandStore(*platform)) }

	check := service.Command("check", "Check a document without storing it.")
	checkFile := check.Arg("file", "YAML file with the document.").Required().String()
	c.add(check, func() error {
		_, err := parseFile(*checkFile, spec.Parse)
		return err
	})

	put := service.Command("put", "Check a document and put it in force.")
	putFile := put.Arg("file", "YAML file with the document.").Required().String()
	base := put.Flag("base", "Number of the document that was edited; the newest if not given, 0 for a new service.").Default("-1").Int64()
	c.add(put, func() error { return c.putDocument(newBook(), *putFile, *base) })

	get := service.Command("get", "Print a document in force.")
	getName := get.Arg("service", "Name of the service.").Required().String()
	c.add(get, func() error { return c.getDocument(newBook(), ident.ServiceName(*getName)) })

	list := service.Command("list", "List services with their versions.")
	c.add(list, func() error { return c.listDocuments(newBook()) })

	history := service.Command("history", "List the accepted versions of a document.")
	historyName := history.Arg("service", "Name of the service.").Required().String()
	c.add(history, func() error { return c.listHistory(newBook(), ident.ServiceName(*historyName)) })
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

func (c *cli) putDocument(book *docset.Admin, file string, base int64) error {
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
	number, err := book.Put(ctx, document, data, docset.RevisionNumber(base))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s accepted as number %d; in force everywhere within %s\n", document.Service, number, docset.MaxStaleness)
	return err
}

func (c *cli) getDocument(book *docset.Admin, service ident.ServiceName) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	draft, err := book.Get(ctx, service)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "# number %d\n%s", draft.Number, draft.Text)
	return err
}

func (c *cli) listDocuments(book *docset.Admin) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	rows, err := book.List(ctx)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(c.stdout, "%s\t%d\t%s\n", row.Service, row.Record.Current.Number, describeState(row.Record)); err != nil {
			return err
		}
	}
	return nil
}

func describeState(sheet docset.Record) string {
	if sheet.Staged == nil {
		return "in force"
	}
	return "in force, a change is proposed"
}

func (c *cli) listHistory(book *docset.Admin, service ident.ServiceName) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	revisions, err := book.History(ctx, service)
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
