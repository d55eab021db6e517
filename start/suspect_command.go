package start

import (
	"fmt"
	"time"

	"crocusstep/poison"
)

func (c *cli) addSuspect() {
	suspect := c.app.Command("suspect", "List requests that crash endpoints, and unblock them.")
	platform := suspect.Flag("platform", "IP address and port of the platform's object API.").Default("127.0.0.1:7000").String()
	list := suspect.Command("list", "List the suspected requests and whether they are blocked.")
	c.add(list, func() error { return c.listSuspects(*platform) })
	lift := suspect.Command("lift", "Unblock a request.")
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
	for _, l := range list {
		state := poison.Suspected
		if l.Suspect.Blocked(time.Now()) {
			state = poison.Blocked
		}
		if _, err := fmt.Fprintf(c.stdout, "%s\t%s\t%s\t%d crashes\n", l.Fingerprint, l.Suspect.Service, state, len(l.Suspect.Crashes)); err != nil {
			return err
		}
	}
	return err
}
