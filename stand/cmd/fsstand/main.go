// Command fsstand is a stand-in for one neighbour of the system.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiashelf.dev/stand/prog"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(prog.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
