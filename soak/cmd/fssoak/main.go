// Command fssoak runs the fault soak with a range of seeds and prints the
// violations that it found.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/soak"
)

func main() {
	fs := flag.NewFlagSet("fssoak", flag.ContinueOnError)
	program := fs.String("program", "bin/fsplat", "the program to run")
	seed := fs.Uint64("seed", 1, "the first seed")
	seeds := fs.Int("seeds", 1, "how many seeds are played, one after the other")
	duration := fs.Duration("for", 15*time.Second, "how long faults happen in each")
	entries := fs.Int("entries", 4, "how many entry hosts there are")
	callers := fs.Int("callers", 16, "how many callers there are")
	series := fs.Bool("series", true, "series of restarts, configurations and rate limits beside the faults")
	restores := fs.Bool("restores", false, "restores of the store from an older copy in the series")
	limits := fs.Bool("limits", false, "check that the rate limits of servers are kept")
	notices := fs.Bool("notices", false, "servers request pauses and say that they leave, and entry hosts keep to it")
	cuts := fs.Bool("cuts", false, "entry hosts are cut off from all backend servers, and serve their callers")
	crashes := fs.Bool("crashes", false, "parts of prompts crash servers, and entry hosts block them")
	silences := fs.Bool("silences", false, "servers fall silent, and entry hosts end no answers in progress")
	teams := fs.Bool("teams", false, "crowds of a second team, and the first team is served beside them")
	leavers := fs.Bool("leavers", false, "callers leave before their answer is whole, and no server works on for them")
	floods := fs.Bool("floods", false, "servers answer with bytes without end")
	obstacles := fs.Bool("obstacles", false, "processes meet hangups, taken addresses, torn settings, a lost output and odd entries, and none ends")
	dir := fs.String("dir", "", "where settings and logs are kept; a new folder if empty")
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("FSSOAK")); err != nil {
		os.Exit(boot.ExitUsage)
	}
	started := &processes{}
	go started.killOnSignal()
	failed := 0
	for n := range *seeds {
		s := soak.Settings{
			Seed: *seed + uint64(n), FaultDuration: *duration, Series: *series, Restores: *restores, Limits: *limits, Notices: *notices, Cuts: *cuts, Crashes: *crashes, Silences: *silences, Teams: *teams, Leavers: *leavers, Floods: *floods, Obstacles: *obstacles, EntryHosts: *entries, Callers: *callers, Program: *program, Dir: *dir, OnStart: started.add,
		}
		if s.Dir == "" {
			s.Dir, _ = os.MkdirTemp("", "fssoak-")
		}
		report, err := soak.Run(s)
		if err != nil {
			fmt.Fprintf(os.Stderr, "fssoak: seed %d: %v\n", s.Seed, err)
			os.Exit(boot.ExitFailed)
		}
		fmt.Printf("seed %d: %d asked, %d served, %d faults, %d broken\n", s.Seed, report.Requests, report.Succeeded, len(report.Faults), len(report.Violations))
		if len(report.Violations) == 0 {
			_ = os.RemoveAll(s.Dir)
			continue
		}
		failed++
		for _, line := range append(report.Faults, report.Violations...) {
			fmt.Println("  ", line)
		}
		fmt.Println("   logs in", s.Dir)
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		os.Exit(boot.ExitFailed)
	}
}

// processes collects the processes that the soak has started.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

// killOnSignal kills all processes when the soak receives a termination signal.
// Otherwise they would keep sending gossip to the addresses of their peers, and
// entry hosts of a later run that got these addresses would take over servers and
// configurations of the earlier run.
func (p *processes) killOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	p.mu.Lock()
	for _, process := range p.list {
		// Most have exited already.
		_ = process.Kill()
	}
	os.Exit(boot.ExitFailed)
}
