// Program rig2 plays the cases of the second review: it starts the project's relays and keepers as
// processes on loopback addresses, with stand-ins of the platform's store, of workers and of clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the names of the cases to what plays them. Trouble is unset for the run without the
// disruption.
var cases = map[string]func(s *system, trouble bool) error{
	"inplace": playInPlace,
	"leaving": playLeaving,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	s, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitNotRun)
	}()
	err = cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		s.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.note("result: %v", err)
		return exitBroken
	}
	s.note("result: the case could not run: %v", err)
	return exitNotRun
}

// sleepUntil waits until a moment.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
