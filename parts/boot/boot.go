// Package boot runs a program as a process: with its arguments and streams,
// a context that ends with SIGTERM or SIGINT, and its exit status.
package boot

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Main is a program. It ends when the context does, and returns its exit
// status.
type Main func(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int

// Run runs a program and exits with its status.
func Run(main Main) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
