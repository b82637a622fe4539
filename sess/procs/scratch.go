package procs

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// In returns where a program's file is in a directory, for World.Path.
func In(bin string) func(program string) (string, error) {
	return func(program string) (string, error) {
		return filepath.Abs(filepath.Join(bin, program))
	}
}

// Scratch runs a function in a world of its own, with the programs of a
// directory, and ends the world's processes: also when this process is told
// to end, since nobody else would. The logs are kept if something failed.
func Scratch(bin string, run func(w *World) error) (err error) {
	dir, err := os.MkdirTemp("", "fuchsiashelf-")
	if err != nil {
		return err
	}
	w := &World{Dir: dir, Path: In(bin)}
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if <-told != nil {
			_ = w.End()
			os.Exit(1)
		}
	}()
	defer func() {
		signal.Stop(told)
		close(told)
		err = errors.Join(err, w.End())
		if err == nil {
			err = os.RemoveAll(dir)
		}
	}()
	return run(w)
}
