// Package property runs property tests with fixed seeds, so that every run of the
// tests gives the same verdict.
//
// The environment variables DOTTERELWELL_CHECKS and DOTTERELWELL_SEED replace the
// number of checks and the seed for longer runs.
package property

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is the seed of every property test.
const defaultSeed = 20261204

// Check checks a property for the given number of random inputs and prints the seed.
func Check(t *testing.T, checks int, holds func(*rapid.T)) {
	t.Helper()
	checks = fromEnvironment("DOTTERELWELL_CHECKS", checks)
	seed := fromEnvironment("DOTTERELWELL_SEED", defaultSeed)
	for name, value := range map[string]int{"rapid.checks": checks, "rapid.seed": seed} {
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			t.Fatal(err)
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d checks with seed %d", checks, seed)
	rapid.Check(t, holds)
}

func fromEnvironment(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}
