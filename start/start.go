// Package start implements the command line and runs each role with its settings,
// listeners and signal handlers.
package start

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"crocusstep/parser"
)

// The exit codes of the program.
const (
	exitOK = 0
	// exitFailed means that the command failed.
	exitFailed = 1
	// exitUsage means that the command line was invalid.
	exitUsage = 2
	// exitInvalid means that a document or settings file has errors.
	exitInvalid = 3
)

// Build is the build information that the linker sets.
type Build struct {
	Version string
}

// cli is the command-line interface.
type cli struct {
	build  Build
	app    *kingpin.Application
	stdout io.Writer
	stderr io.Writer
	// commands maps the full name of each command to its function.
	commands map[string]func() error
}

// Run executes the command in args and returns the exit code.
func Run(build Build, args []string, stdout, stderr io.Writer) int {
	c := &cli{
		build:    build,
		app:      kingpin.New("crocusstep", "Routes requests to prefill and decode pools and to plain services."),
		stdout:   stdout,
		stderr:   stderr,
		commands: map[string]func() error{},
	}
	terminated := false
	c.app.Terminate(func(int) { terminated = true })
	c.app.UsageWriter(stdout)
	c.app.ErrorWriter(stderr)
	c.app.HelpFlag.Short('h')
	c.addEntry()
	c.addAgent()
	c.addRelay()
	c.addKeeper()
	c.addSettings()
	c.addService()
	c.addAction()
	c.addSuspect()
	c.addReport()
	c.addTable()
	c.add(c.app.Command("version", "Print the version."), c.printVersion)
	command, err := c.app.Parse(args)
	switch {
	case terminated && len(args) > 0:
		return exitOK
	case terminated:
		return exitUsage
	case err != nil:
		_, _ = fmt.Fprintf(stderr, "crocusstep: %v; see crocusstep --help\n", err)
		return exitUsage
	}
	return c.exitCode(c.commands[command]())
}

func (c *cli) add(command *kingpin.CmdClause, run func() error) {
	c.commands[command.FullCommand()] = run
}

func (c *cli) exitCode(err error) int {
	var fieldErrors parser.FieldErrors
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fieldErrors):
		_, _ = fmt.Fprintln(c.stderr, fieldErrors.Error())
		return exitInvalid
	}
	_, _ = fmt.Fprintf(c.stderr, "crocusstep: %v\n", err)
	return exitFailed
}

func (c *cli) printVersion() error {
	_, err := fmt.Fprintln(c.stdout, c.build.Version)
	return err
}
