// Command demo starts both example deployments as separate processes on loopback,
// sends requests, kills and stops processes, and prints a table of the results. It
// exits with 1 if a step failed.
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
	demoTimeout  = 3 * time.Minute
	binaryFolder = "bin"
)

// fleet adds the steps of the demo to the processes.
type fleet struct {
	*procs.Fleet
}

// stepResult is a row of the table that is printed at the end.
type stepResult struct {
	step     string
	observed string
	failed   bool
}

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	results, err := run(ctx)
	failed := printResults(results)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	if failed {
		os.Exit(1)
	}
}

func run(ctx context.Context) ([]stepResult, error) {
	folder, err := os.MkdirTemp("", "crocusstep-demo-")
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: procs.NewFleet(folder, binaryFolder)}
	defer f.Close()
	fmt.Println("logs are in", folder)
	if err := startAll(f); err != nil {
		return nil, err
	}
	fmt.Println(f.ProcessCount(), "processes are running")
	var results []stepResult
	for _, step := range steps {
		observed, err := step.run(ctx, f)
		if err != nil {
			results = append(results, stepResult{step: step.name, observed: err.Error(), failed: true})
			continue
		}
		results = append(results, stepResult{step: step.name, observed: observed})
	}
	return results, nil
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

// printResults prints the table and reports whether a step failed.
func printResults(results []stepResult) (failed bool) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range results {
		status := "held"
		if r.failed {
			status = "FAILED"
			failed = true
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", status, r.step, r.observed)
	}
	_ = table.Flush()
	return failed
}
