package procs

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// ProgramsIn returns a function for Cluster.Path that looks for programs in a
// directory.
func ProgramsIn(bin string) func(program string) (string, error) {
	return func(program string) (string, error) {
		return filepath.Abs(filepath.Join(bin, program))
	}
}

// RunScratch runs a function with a new cluster, whose programs are in the
// directory bin, and then kills the processes of the cluster. It also kills them
// when this process receives a termination signal, since they would otherwise keep
// running. It deletes the logs unless the function or the cleanup fails.
func RunScratch(bin string, run func(c *Cluster) error) (err error) {
	dir, err := os.MkdirTemp("", "fuchsiashelf-")
	if err != nil {
		return err
	}
	c := &Cluster{Dir: dir, Path: ProgramsIn(bin)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if <-signals != nil {
			_ = c.Stop()
			os.Exit(1)
		}
	}()
	defer func() {
		signal.Stop(signals)
		close(signals)
		err = errors.Join(err, c.Stop())
		if err == nil {
			err = os.RemoveAll(dir)
		}
	}()
	return run(c)
}
