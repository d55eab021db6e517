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
	"crocusstep/socket"
	"crocusstep/spec"
	"crocusstep/store"
)

// operatorTimeout bounds one call of an operator's command.
const operatorTimeout = 10 * time.Second

func (c *cli) addService() {
	service := c.app.Command("service", "Check, store and read service documents.")
	platform := service.Flag("platform", "IP number and port of the platform's object API.").Default("127.0.0.1:7000").String()
	books := func() *docset.Book { return docset.NewBook(operatorStore(*platform)) }

	check := service.Command("check", "Check a document without storing it.")
	checkFile := check.Arg("file", "YAML file with the document.").Required().String()
	c.add(check, func() error {
		_, err := parseFile(*checkFile, spec.Parse)
		return err
	})

	put := service.Command("put", "Check a document and put it in force.")
	putFile := put.Arg("file", "YAML file with the document.").Required().String()
	base := put.Flag("base", "Version that was edited; the newest if not given, 0 for a new service.").Default("-1").Int64()
	c.add(put, func() error { return c.putDocument(books(), *putFile, *base) })

	get := service.Command("get", "Print a document in force.")
	getName := get.Arg("service", "Name of the service.").Required().String()
	c.add(get, func() error { return c.getDocument(books(), ident.ServiceName(*getName)) })

	list := service.Command("list", "List services with their versions.")
	c.add(list, func() error { return c.listDocuments(books()) })

	history := service.Command("history", "List the accepted versions of a document.")
	historyName := history.Arg("service", "Name of the service.").Required().String()
	c.add(history, func() error { return c.listHistory(books(), ident.ServiceName(*historyName)) })
}

func operatorStore(platform string) *store.Client {
	return store.NewClient(store.ClientConfig{
		Address: ident.Address(platform),
		HTTP:    socket.NewClient(),
		Timeout: operatorTimeout,
	})
}

func operatorContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), operatorTimeout)
}

func (c *cli) putDocument(book *docset.Book, file string, base int64) error {
	ctx, cancel := operatorContext()
	defer cancel()
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	document, err := spec.Parse(file, data)
	if err != nil {
		return err
	}
	version, err := book.Put(ctx, document, data, store.Version(base))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s accepted as version %d\n", document.Service, version)
	return err
}

func (c *cli) getDocument(book *docset.Book, service ident.ServiceName) error {
	ctx, cancel := operatorContext()
	defer cancel()
	object, err := book.Get(ctx, service)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "# version %d\n%s", object.Version, object.Value)
	return err
}

func (c *cli) listDocuments(book *docset.Book) error {
	ctx, cancel := operatorContext()
	defer cancel()
	objects, err := book.List(ctx)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if _, err := fmt.Fprintf(c.stdout, "%s\t%d\n", object.Name, object.Version); err != nil {
			return err
		}
	}
	return nil
}

func (c *cli) listHistory(book *docset.Book, service ident.ServiceName) error {
	ctx, cancel := operatorContext()
	defer cancel()
	revisions, err := book.History(ctx, service)
	if err != nil {
		return err
	}
	for _, revision := range revisions {
		if _, err := fmt.Fprintf(c.stdout, "%d\t%s\t%s\n", revision.Base, revision.At.Format(time.RFC3339), revision.Digest); err != nil {
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
