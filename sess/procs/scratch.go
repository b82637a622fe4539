package procs

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// ProgramsIn returns where a program's file is in a directory, for World.Path.
func ProgramsIn(bin string) func(program string) (string, error) {
	return func(program string) (string, error) {
		return filepath.Abs(filepath.Join(bin, program))
	}
}

// RunScratch runs a function in a world of its own, with the programs of a
// directory, and ends the world's processes: also when this process is told
// to end, since nobody else would. The logs are kept if something failed.
func RunScratch(bin string, run func(w *Cluster) error) (err error) {
	dir, err := os.MkdirTemp("", "fuchsiashelf-")
	if err != nil {
		return err
	}
	w := &Cluster{Dir: dir, Path: ProgramsIn(bin)}
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if <-told != nil {
			_ = w.Stop()
			os.Exit(1)
		}
	}()
	defer func() {
		signal.Stop(told)
		close(told)
		err = errors.Join(err, w.Stop())
		if err == nil {
			err = os.RemoveAll(dir)
		}
	}()
	return run(w)
}
