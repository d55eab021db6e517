// Command demo starts both example deployments as separate processes on
// loopback, sends requests, kills and stops processes, and shows what happened.
// It exits with 1 if anything promised did not hold.
package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"crocusstep/procs"
)

const (
	demoTimeout = 3 * time.Minute
	binaries    = "bin"
)

// fleet is the demo's processes with what it does with them.
type fleet struct {
	*procs.Fleet
}

// row is one line of the table at the end.
type row struct {
	step   string
	seen   string
	failed bool
}

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	rows, err := run(ctx)
	failed := show(rows)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	if failed {
		os.Exit(1)
	}
}

func run(ctx context.Context) ([]row, error) {
	folder, err := os.MkdirTemp("", "crocusstep-demo-")
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: procs.NewFleet(folder, binaries)}
	defer f.Close()
	fmt.Println("logs are in", folder)
	if err := startAll(f); err != nil {
		return nil, err
	}
	fmt.Println(f.ProcessCount(), "processes are up")
	var rows []row
	for _, step := range steps {
		seen, err := step.run(ctx, f)
		if err != nil {
			rows = append(rows, row{step: step.name, seen: err.Error(), failed: true})
			continue
		}
		rows = append(rows, row{step: step.name, seen: seen})
	}
	return rows, nil
}

func startAll(f *fleet) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for _, document := range documents {
		if _, err := f.RunCommand("service", "--platform", string(f.Platform), "put", document); err != nil {
			return err
		}
	}
	for _, e := range endpoints {
		if err := f.StartEndpoint(e.name, e.pool, e.region, e.kind); err != nil {
			return err
		}
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		if err := f.StartEntry(name, "cascadia-west"); err != nil {
			return err
		}
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		if err := f.AwaitOK(f.Processes[name].Admin, "/readyz"); err != nil {
			return err
		}
	}
	return f.awaitPools()
}

// show prints the table and reports whether any step failed.
func show(rows []row) (failed bool) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		verdict := "held"
		if r.failed {
			verdict = "FAILED"
			failed = true
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", verdict, r.step, r.seen)
	}
	_ = table.Flush()
	return failed
}
