// Command mutant runs mutation tests: for each guarantee it disables the mechanism
// behind it in a copy of the source tree and expects a named test to fail. It prints a
// table and exits with 1 if a test passes or can't be run.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/sourcegraph/conc/pool"
)

// maxConcurrentTests limits the copies that are tested concurrently.
const maxConcurrentTests = 3

// mutant is a change of the source that disables one mechanism.
type mutant struct {
	// guarantee describes what the mechanism ensures.
	guarantee string
	file      string
	// original occurs exactly once in the file and is replaced by mutated.
	original, mutated string
	// pkg is the package's path below the root, and test the pattern of the test that
	// must fail.
	pkg, test string
}

// result is the result of testing a mutant.
type result struct {
	mutant mutant
	// killed is set if the test failed.
	killed bool
	err    error
}

// main tests all mutants, or those of the packages that the command line names.
func main() {
	var selected []mutant
	for _, m := range slices.Concat(
		ownInterfaceMutants,
		usersPlatformMutants,
		admitMutants,
		clientMutants,
		configMutants,
		costMutants,
		crashMutants,
		entryMutants,
		intakeMutants,
		moveMutants,
		originMutants,
		patienceMutants,
		quotaMutants,
		replyMutants,
		responseMutants,
		stopMutants,
		workspaceMutants,
	) {
		if len(os.Args) < 2 || slices.Contains(os.Args[1:], m.pkg) {
			selected = append(selected, m)
		}
	}
	if len(selected) == 0 {
		fmt.Fprintln(os.Stderr, "mutant: no mutant belongs to", os.Args[1:])
		os.Exit(1)
	}
	results := make([]result, len(selected))
	tasks := pool.New().WithMaxGoroutines(maxConcurrentTests)
	for i, m := range selected {
		tasks.Go(func() { results[i] = runTest(m) })
	}
	tasks.Wait()
	if !printResults(results) {
		os.Exit(1)
	}
}

func runTest(m mutant) result {
	folder, err := os.MkdirTemp("", "crocusstep-mutant-")
	if err != nil {
		return result{mutant: m, err: err}
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := os.CopyFS(folder, os.DirFS(".")); err != nil {
		return result{mutant: m, err: err}
	}
	if err := m.apply(folder); err != nil {
		return result{mutant: m, err: err}
	}
	command := exec.Command("go", "test", "-count=1", "-timeout=90s", "-run", m.test, "./"+m.pkg)
	command.Dir = folder
	output, err := command.CombinedOutput()
	if err != nil && strings.Contains(string(output), "[build failed]") {
		return result{mutant: m, err: fmt.Errorf("the mutant does not build: %s", output)}
	}
	return result{mutant: m, killed: err != nil}
}

func (m mutant) apply(folder string) error {
	file := filepath.Join(folder, m.file)
	source, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if count := strings.Count(string(source), m.original); count != 1 {
		return fmt.Errorf("%s contains the text %q %d times, want once", m.file, m.original, count)
	}
	return os.WriteFile(file, []byte(strings.Replace(string(source), m.original, m.mutated, 1)), 0o600)
}

// printResults prints the table and reports whether all mutants were killed.
func printResults(results []result) (allKilled bool) {
	allKilled = true
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range results {
		status := "killed"
		switch {
		case r.err != nil:
			status = "ERROR: " + r.err.Error()
			allKilled = false
		case !r.killed:
			status = "SURVIVED"
			allKilled = false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s %s\t%s\n", r.mutant.guarantee, r.mutant.pkg, r.mutant.test, status)
	}
	_ = table.Flush()
	return allKilled
}
