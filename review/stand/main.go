// Command stand shows faults of the project's own programs: it starts relays and keepers as
// processes beside stand-ins of the store, the workers and the clients, and judges what these see.
// It exits with 1 if a rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitBroken = 1
	exitFailed = 2
	// maxSpan bounds a run.
	maxSpan = 115 * time.Second
)

// cases maps the name of each case to its function.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error){
	"take-up-moved":    runMoved,
	"take-up":          runTakeUp,
	"poison-unshared":  runUnshared,
	"poison-forgotten": runForgotten,
}

func main() {
	name := flag.String("record", "record.txt", "File for what was sent, answered and run.")
	logs := flag.String("logs", "", "Folder for the processes' logs, a temporary one by default.")
	flag.Parse()
	broken, err := run(flag.Arg(0), *name, *logs)
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
}

func run(name, recordName, folder string) (broken bool, err error) {
	runCase, found := cases[name]
	if !found {
		return false, fmt.Errorf("there is no case %q", name)
	}
	if folder == "" {
		if folder, err = os.MkdirTemp("", "stand-"); err != nil {
			return false, err
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	r, err := newRecord(recordName)
	if err != nil {
		return false, err
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxSpan)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := newDeployment(r, folder)
	if err != nil {
		return false, err
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with its disruption: %v", name, trouble)
	broken, err = runCase(ctx, d, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	r.add("rule broken: %v, error: %v", broken, err)
	return broken, err
}
