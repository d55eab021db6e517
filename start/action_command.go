package start

import (
	"fmt"
	"time"

	"crocusstep/ident"
	"crocusstep/ledger"
)

func (c *cli) addAction() {
	action := c.app.Command("action", "Inspect and settle non-idempotent actions whose outcome is unknown.")
	platform := action.Flag("platform", "IP address and port of the platform's object API.").Default("127.0.0.1:7000").String()
	newAdmin := func() *ledger.Admin { return ledger.NewAdmin(newCommandStore(*platform)) }

	list := action.Command("list", "List the actions of a service whose outcome is unknown.")
	listService := list.Arg("service", "Name of the service.").Required().String()
	c.add(list, func() error { return c.listActions(newAdmin(), ident.ServiceName(*listService)) })

	settle := action.Command("settle", "Record the outcome of an action.")
	settleService := settle.Arg("service", "Name of the service.").Required().String()
	settleKey := settle.Arg("key", "Key as printed by action list.").Required().String()
	outcome := settle.Flag("outcome", "ran: never execute it again; not-run: a retry may execute it.").Required().Enum("ran", "not-run")
	c.add(settle, func() error {
		ctx, cancel := newCommandContext()
		defer cancel()
		return newAdmin().Settle(ctx, ident.ServiceName(*settleService), ident.IdempotencyKey(*settleKey), *outcome == "ran")
	})
}

func (c *cli) listActions(admin *ledger.Admin, service ident.ServiceName) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	records, err := admin.Unsettled(ctx, service)
	for _, r := range records {
		if _, err := fmt.Fprintf(c.stdout, "%s\t%s\t%s\t%s\n", r.Key, r.UpdatedAt.Format(time.RFC3339), r.Owner, r.Attempt); err != nil {
			return err
		}
	}
	return err
}
