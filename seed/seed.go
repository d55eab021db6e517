// Package seed fixes the seeds of random tests, so that CI gives the same
// verdict each time, and lets make test-long search further ones.
package seed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// CountVariable names the environment variable with the number of seeds to try.
const CountVariable = "CROCUSSTEP_SEEDS"

const (
	// first is the seed that CI runs with.
	first = 20261204
	// checksPerSeed is how many cases rapid draws for each seed asked for.
	checksPerSeed = 100
)

// Main runs a package's tests with rapid's seed fixed.
func Main(m *testing.M) {
	flag.Parse()
	count := Count(1)
	set("rapid.seed", strconv.Itoa(first+count-1))
	set("rapid.checks", strconv.Itoa(checksPerSeed*count))
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Count returns how many seeds to try, by default as many as CI does.
func Count(byDefault int) int {
	count, err := strconv.Atoi(os.Getenv(CountVariable))
	if err != nil || count < 1 {
		return byDefault
	}
	return count
}

// List returns the seeds to try, the first ones of which are always the same.
func List(byDefault int) []uint64 {
	seeds := make([]uint64, Count(byDefault))
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// set changes a flag unless the command line did.
func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if flag.Lookup(name) == nil || given {
		return
	}
	// The flags exist and take numbers and booleans.
	_ = flag.Set(name, value)
}
