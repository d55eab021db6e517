package start

import (
	"fmt"
	"time"

	"crocusstep/poison"
)

func (c *cli) addSuspect() {
	suspect := c.app.Command("suspect", "Inspect and lift the blame of requests that crash endpoints.")
	platform := suspect.Flag("platform", "IP number and port of the platform's object API.").Default("127.0.0.1:7000").String()
	list := suspect.Command("list", "List suspects and whether they are blocked.")
	c.add(list, func() error { return c.listSuspects(*platform) })
	lift := suspect.Command("lift", "Let a request run again.")
	fingerprint := lift.Arg("fingerprint", "Fingerprint as printed by suspect list.").Required().String()
	c.add(lift, func() error {
		ctx, cancel := newCommandContext()
		defer cancel()
		return poison.Delete(ctx, newCommandStore(*platform), poison.Fingerprint(*fingerprint))
	})
}

func (c *cli) listSuspects(platform string) error {
	ctx, cancel := newCommandContext()
	defer cancel()
	list, err := poison.List(ctx, newCommandStore(platform))
	if err != nil {
		return err
	}
	for _, l := range list {
		verdict := poison.Suspected
		if l.Suspect.Blocked(time.Now()) {
			verdict = poison.Blocked
		}
		if _, err := fmt.Fprintf(c.stdout, "%s\t%s\t%s\t%d crashes\n", l.Fingerprint, l.Suspect.Service, verdict, len(l.Suspect.Crashes)); err != nil {
			return err
		}
	}
	return nil
}
