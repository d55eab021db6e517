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
)

const (
	demoTimeout = 3 * time.Minute
	binaries    = "bin"
)

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
	f := newFleet(folder, binaries)
	defer f.close()
	fmt.Println("logs are in", folder)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	fmt.Println(len(f.order), "processes are up")
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

func (f *fleet) startAll() (err error) {
	if _, err := f.writeFile("peer-keys.yaml", "keys:\n  - {id: demo, secret: only-for-the-demo}\n"); err != nil {
		return err
	}
	if _, err := f.writeFile("token", adminToken); err != nil {
		return err
	}
	if f.platform, err = f.startStandin("platform", "platform"); err != nil {
		return err
	}
	if err := f.awaitStatus(f.platform, "/instances"); err != nil {
		return err
	}
	for _, document := range documents {
		if _, err := f.run("service", "--platform", string(f.platform), "put", document); err != nil {
			return err
		}
	}
	for _, e := range endpoints {
		if err := f.startEndpoint(e.name, e.pool, e.region, e.kind); err != nil {
			return err
		}
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		if err := f.startEntry(name, "cascadia-west"); err != nil {
			return err
		}
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		if err := f.awaitStatus(f.processes[name].admin, "/readyz"); err != nil {
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
