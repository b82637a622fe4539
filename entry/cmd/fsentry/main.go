// Command fsentry runs the router on an entry host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiashelf.dev/entry/prog"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(prog.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
