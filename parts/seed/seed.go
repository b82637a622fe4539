// Package seed gives property tests a fixed seed, so that each run draws the same
// values. Test files import it for its effect. To draw others:
//
//	go test ./place -rapid.seed=N -rapid.checks=10000
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// fixed is the seed of each test unless the command line gives another one.
const fixed = "1"

func init() {
	if err := flag.Set("rapid.seed", fixed); err != nil {
		panic(err)
	}
}
