// Package seed sets the seeds of randomized tests: fixed ones, so that CI is
// reproducible, and more of them for make test-long.
package seed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// CountVariable is the environment variable with the number of seeds to try.
const CountVariable = "CROCUSSTEP_SEEDS"

const (
	// firstSeed is the seed that CI uses.
	firstSeed = 20261204
	// checksPerSeed is the number of cases that rapid generates for each requested seed.
	checksPerSeed = 100
)

// Main runs a package's tests with a fixed seed for rapid, and exits. Call it from
// TestMain.
func Main(m *testing.M) {
	flag.Parse()
	count := Count(1)
	setDefault("rapid.seed", strconv.Itoa(firstSeed+count-1))
	setDefault("rapid.checks", strconv.Itoa(checksPerSeed*count))
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Count returns the number of seeds to try: the value of the environment variable, or
// defaultCount if that isn't a positive number.
func Count(defaultCount int) int {
	count, err := strconv.Atoi(os.Getenv(CountVariable))
	if err != nil || count < 1 {
		return defaultCount
	}
	return count
}

// List returns the seeds to try. A longer list begins with the same seeds as a shorter
// one.
func List(defaultCount int) []uint64 {
	seeds := make([]uint64, Count(defaultCount))
	for i := range seeds {
		seeds[i] = firstSeed + uint64(i)
	}
	return seeds
}

// setDefault sets a flag unless the command line set it or it doesn't exist.
func setDefault(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if flag.Lookup(name) == nil || isSet {
		return
	}
	// Set can't fail: the flag exists and its value has the right type.
	_ = flag.Set(name, value)
}
