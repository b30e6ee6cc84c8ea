package failuredomain_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of random schedules, so that every run
// gives the same result. Another seed: -rapid.seed=N after -args.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":   "20261204",
		"rapid.checks": "1000",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
