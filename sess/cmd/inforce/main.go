// Command inforce measures the time from sending a command of the operators
// until it is in force on all of four entry hosts: with a healthy store, with a
// slow store, with a store that fails right after it has stored the command, and
// with updates by gossip only. It also measures the time until all entry hosts
// have excluded a server that the host list marks as leaving. It prints lines
// `name value`.
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
	return procs.RunScratch(bin, func(cluster *procs.Cluster) error {
		if err := startCluster(cluster); err != nil {
			return err
		}
		b := &bench{Cluster: cluster, lines: lines}
		return b.measureAll()
	})
}

func startCluster(cluster *procs.Cluster) error {
	if err := cluster.StartStore("cantata"); err != nil {
		return err
	}
	for _, name := range []string{"p1", "p2"} {
		if err := cluster.StartPlain(name, "a"); err != nil {
			return err
		}
	}
	for i, name := range entries {
		if err := cluster.StartEntry(name, []domain.Name{"a", "b"}[i/2]); err != nil {
			return err
		}
	}
	b := &bench{Cluster: cluster}
	if err := b.send("create pool books servers p1 p2"); err != nil {
		return err
	}
	for _, name := range entries {
		if err := cluster.Ready(name); err != nil {
			return err
		}
	}
	return nil
}

// settleTime is the time that watches need to recover after a fault of the store.
const settleTime = 6 * time.Second

func (b *bench) measureAll() error {
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
		durations, err := b.measureLines()
		if err != nil {
			return fmt.Errorf("%s: %w", state.name, err)
		}
		printTimes("in-force-"+state.name, durations)
		if err := b.ClearFaults(procs.StoreName); err != nil {
			return err
		}
		time.Sleep(settleTime)
	}
	durations, err := b.measureStoreDown()
	if err != nil {
		return err
	}
	printTimes("in-force-store-down-after", durations)
	durations, err = b.measureLeaving()
	printTimes("out-host-list-leaving", durations)
	return err
}
