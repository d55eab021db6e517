package start

import (
	"fmt"
	"os"

	"crocusstep/conf"
)

func (c *cli) addSettings() {
	settings := c.app.Command("settings", "Check or print settings.")
	check := settings.Command("check", "Check a settings file and list all faults.")
	checkRole := check.Arg("role", "entry or agent").Required().Enum("entry", "agent")
	checkFile := check.Arg("file", "YAML file with the settings.").Required().String()
	c.add(check, func() error { return checkSettings(*checkRole, *checkFile) })
	defaults := settings.Command("default", "Print a role's settings with their defaults.")
	defaultRole := defaults.Arg("role", "entry or agent").Required().Enum("entry", "agent")
	c.add(defaults, func() error { return c.printDefaults(*defaultRole) })
	reference := settings.Command("reference", "Print docs/Config.md.")
	c.add(reference, c.printReference)
}

func checkSettings(role, file string) error {
	if role == "entry" {
		_, err := parseFile(file, conf.ParseEntry)
		return err
	}
	_, err := parseFile(file, conf.ParseAgent)
	return err
}

func (c *cli) printDefaults(role string) error {
	var settings any = conf.NewEntry()
	if role == "agent" {
		settings = conf.NewAgent()
	}
	return printYAML(c.stdout, settings)
}

func (c *cli) printReference() error {
	text, err := conf.Reference()
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.stdout, text)
	return err
}

// parseFile reads a file and hands it to a parser.
func parseFile[Settings any](file string, parse func(string, []byte) (Settings, error)) (settings Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, err
	}
	return parse(file, data)
}
