// Command mutant shows that each promise hangs on its mechanism: it takes one
// mechanism out of a scratch copy of the tree and expects a named test to fail.
// It prints a table and exits with 1 if a test passes without its mechanism.
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

// parallel is how many copies are tested at once.
const parallel = 3

// mutant is one mechanism taken out.
type mutant struct {
	promise string
	file    string
	// old stands exactly once in the file and is replaced by changed.
	old, changed string
	// test is the package and the pattern of the test that must fail.
	pkg, test string
}

type result struct {
	mutant mutant
	failed bool
	err    error
}

// main tries all mutants, or those of the packages named on the command line.
func main() {
	var chosen []mutant
	for _, m := range mutants {
		if len(os.Args) < 2 || slices.Contains(os.Args[1:], m.pkg) {
			chosen = append(chosen, m)
		}
	}
	results := make([]result, len(chosen))
	tasks := pool.New().WithMaxGoroutines(parallel)
	for i, m := range chosen {
		tasks.Go(func() { results[i] = try(m) })
	}
	tasks.Wait()
	if !show(results) {
		os.Exit(1)
	}
}

func try(m mutant) result {
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
		return result{mutant: m, err: fmt.Errorf("the copy does not build: %s", output)}
	}
	return result{mutant: m, failed: err != nil}
}

func (m mutant) apply(folder string) error {
	file := filepath.Join(folder, m.file)
	source, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if count := strings.Count(string(source), m.old); count != 1 {
		return fmt.Errorf("%s has the text %q %d times", m.file, m.old, count)
	}
	return os.WriteFile(file, []byte(strings.Replace(string(source), m.old, m.changed, 1)), 0o600)
}

// show prints the table and reports whether every test failed as it should.
func show(results []result) (good bool) {
	good = true
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range results {
		verdict := "fails without it"
		switch {
		case r.err != nil:
			verdict = "ERROR: " + r.err.Error()
			good = false
		case !r.failed:
			verdict = "PASSES WITHOUT IT"
			good = false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s %s\t%s\n", r.mutant.promise, r.mutant.pkg, r.mutant.test, verdict)
	}
	_ = table.Flush()
	return good
}
