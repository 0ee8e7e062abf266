// Package testseed fixes the default seed of randomized tests, so that every run of the test suite
// has the same result. Tests import it for this side effect. Long manual runs use a new seed with
// -rapid.seed=0 and -rapid.checks=N.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is the default seed; its value is arbitrary.
const seed = "1"

func init() {
	// The command line is parsed later and takes precedence.
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
