// Command inforce measures how long a line of the operators takes from being
// sent until it is in force on every one of four entry hosts, with the store
// well, slow, and down right after it took the line, and through other entry
// hosts alone; and how long a server that the host list calls leaving still
// gets work. It prints lines `name value`.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/sess/procs"
)

func main() {
	bin := flag.String("bin", "../bin", "where the programs are")
	lines := flag.Int("lines", 20, "lines for each figure")
	flag.Parse()
	if err := run(*bin, *lines); err != nil {
		fmt.Fprintln(os.Stderr, "inforce:", err)
		os.Exit(1)
	}
}

var entries = []string{"e1", "e2", "e3", "e4"}

func run(bin string, lines int) error {
	return procs.RunScratch(bin, func(w *procs.Cluster) error {
		if err := start(w); err != nil {
			return err
		}
		b := &bench{Cluster: w, lines: lines}
		return b.all()
	})
}

func start(w *procs.Cluster) error {
	if err := w.StartStore("cantata"); err != nil {
		return err
	}
	for _, name := range []string{"p1", "p2"} {
		if err := w.StartPlain(name, "a"); err != nil {
			return err
		}
	}
	for i, name := range entries {
		if err := w.StartEntry(name, []domain.Name{"a", "b"}[i/2]); err != nil {
			return err
		}
	}
	b := &bench{Cluster: w}
	if err := b.send("create pool books servers p1 p2"); err != nil {
		return err
	}
	for _, name := range entries {
		if err := w.Ready(name); err != nil {
			return err
		}
	}
	return nil
}

// wellWait lets the watches settle between two states of the store.
const wellWait = 6 * time.Second

func (b *bench) all() error {
	for _, state := range []struct {
		name string
		set  func() error
	}{
		{"store-up", func() error { return nil }},
		{"store-slow-500ms", func() error { return b.InjectFault(procs.StoreName, "slow", "500ms", 0) }},
		{"watches-cut", func() error { return b.InjectFault(procs.StoreName, "break", "", 0) }},
		{"one-cut-off", func() error { return b.InjectFault(procs.StoreName, "cut", "e4", 0) }},
	} {
		if err := state.set(); err != nil {
			return err
		}
		took, err := b.measure()
		if err != nil {
			return fmt.Errorf("%s: %w", state.name, err)
		}
		print("in-force-"+state.name, took)
		if err := b.ClearFaults(procs.StoreName); err != nil {
			return err
		}
		time.Sleep(wellWait)
	}
	took, err := b.downAfter()
	if err != nil {
		return err
	}
	print("in-force-store-down-after", took)
	took, err = b.leaving()
	print("out-host-list-leaving", took)
	return err
}
