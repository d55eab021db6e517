package start

import (
	"fmt"
	"time"

	"crocusstep/ident"
	"crocusstep/ledger"
)

func (c *cli) addAction() {
	action := c.app.Command("action", "Inspect and settle non-idempotent actions.")
	platform := action.Flag("platform", "IP number and port of the platform's object API.").Default("127.0.0.1:7000").String()
	newAdmin := func() *ledger.Admin { return ledger.NewAdmin(newCommandStore(*platform)) }

	list := action.Command("list", "List the actions of a service whose outcome is not known.")
	listService := list.Arg("service", "Name of the service.").Required().String()
	c.add(list, func() error { return c.listActions(newAdmin(), ident.ServiceName(*listService)) })

	settle := action.Command("settle", "Record what became of an action whose outcome is not known.")
	settleService := settle.Arg("service", "Name of the service.").Required().String()
	settleKey := settle.Arg("key", "Key as printed by action list.").Required().String()
	outcome := settle.Flag("outcome", "ran: never run it again; not-run: let a resend run it.").Required().Enum("ran", "not-run")
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
	if err != nil {
		return err
	}
	for _, r := range records {
		if _, err := fmt.Fprintf(c.stdout, "%s\t%s\t%s\t%s\n", r.Key, r.UpdatedAt.Format(time.RFC3339), r.Owner, r.Attempt); err != nil {
			return err
		}
	}
	return nil
}
