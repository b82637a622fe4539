// Package prog is the program fsload: it loads the system with open-loop
// arrivals and measures it.
package prog

import (
	"context"
	"fmt"
	"io"
)

// Version is the version of the program.
const Version = "0.1.0"

// Main runs the program and returns its exit status.
func Main(_ context.Context, _ []string, _ io.Reader, stdout, _ io.Writer) int {
	fmt.Fprintln(stdout, "fsload", Version)
	return 0
}
