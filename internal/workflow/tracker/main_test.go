package tracker_test

import (
	"flag"
	"os"
	"testing"
)

// runWithFixedSeed runs the tests with a fixed seed of rapid, so that the results
// are reproducible.
func runWithFixedSeed(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
