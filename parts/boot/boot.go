// Package boot runs a program as a process: with its arguments and standard
// streams, a context that ends on SIGTERM or SIGINT, and its exit status.
package boot

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Version is the version of all programs, which are released together.
const Version = "0.1.0"

// The exit statuses of all programs, besides 0.
const (
	// ExitFailed means that the program ran and did not do what was asked.
	ExitFailed = 1
	// ExitUsage means that the settings are invalid and nothing was done.
	ExitUsage = 2
)

// PrintVersion prints the name and the version if the arguments ask for them,
// and reports whether they do.
func PrintVersion(name string, args []string, stdout io.Writer) bool {
	if len(args) != 1 || args[0] != "version" {
		return false
	}
	fmt.Fprintln(stdout, name, Version)
	return true
}

// Main is the main function of a program. It returns when the context ends or
// the program is done, with the exit status.
type Main func(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int

// Serve is Run for a program that serves until it is told to stop. The end of a terminal, or of the
// process that reads its output, does not end it: SIGHUP is ignored, and writing to an output without a
// reader fails.
func Serve(main Main) {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	Run(main)
}

// Run runs a program and exits with its status.
func Run(main Main) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
