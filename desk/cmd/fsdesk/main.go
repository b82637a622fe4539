// Command fsdesk is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiashelf.dev/desk/prog"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(prog.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
