package start

import (
	"fmt"
	"os"

	"crocusstep/conf"
)

func (c *cli) addSettings() {
	settings := c.app.Command("settings", "Check or print settings.")
	check := settings.Command("check", "Check a settings file and list all errors.")
	checkRole := check.Arg("role", "entry, agent, relay or keeper").Required().Enum(roleNames...)
	checkFile := check.Arg("file", "YAML file with the settings.").Required().String()
	c.add(check, func() error { return checkSettings(*checkRole, *checkFile) })
	defaults := settings.Command("default", "Print a role's settings with their defaults.")
	defaultRole := defaults.Arg("role", "entry, agent, relay or keeper").Required().Enum(roleNames...)
	c.add(defaults, func() error { return c.printDefaults(*defaultRole) })
	reference := settings.Command("reference", "Print docs/Config.md.")
	c.add(reference, c.printReference)
}

// roleNames lists the roles that are configured by a settings file.
var roleNames = []string{"entry", "agent", "relay", "keeper"}

func checkSettings(role, file string) (err error) {
	switch role {
	case "entry":
		_, err = parseFile(file, conf.ParseEntry)
	case "agent":
		_, err = parseFile(file, conf.ParseAgent)
	case "relay":
		_, err = parseFile(file, conf.ParseRelay)
	case "keeper":
		_, err = parseFile(file, conf.ParseKeeper)
	}
	return err
}

func (c *cli) printDefaults(role string) error {
	defaults := map[string]any{
		"entry": conf.NewEntry(), "agent": conf.NewAgent(), "relay": conf.NewRelay(), "keeper": conf.NewKeeper(),
	}
	return printYAML(c.stdout, defaults[role])
}

func (c *cli) printReference() error {
	text, err := conf.Reference()
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.stdout, text)
	return err
}

// parseFile reads a file and parses it.
func parseFile[Settings any](file string, parse func(string, []byte) (Settings, error)) (settings Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, err
	}
	return parse(file, data)
}
