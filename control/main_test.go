package control_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run draws the same cases, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "20261128"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
