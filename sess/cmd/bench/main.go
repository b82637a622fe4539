// Command bench measures the system as separate processes on this machine:
// throughput against the bound that the hardware allows, recovery times, and
// the cost of control. It prints one table and, last, lines `name value`.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

func main() {
	b := &bench{}
	flag.StringVar(&b.bin, "bin", "bin", "directory with the programs")
	flag.DurationVar(&b.cell, "cell", 5*time.Second, "length of one measurement")
	flag.StringVar(&b.series, "series", "", "directory for the time series, if wanted")
	flag.StringVar(&b.policies, "policies", "cost,random,robin,least", "policies to compare")
	flag.BoolVar(&b.quick, "quick", false, "measure throughput at the highest load only")
	only := flag.String("only", "throughput,recovery,fair,control", "parts to run, of throughput, recovery, losses, fair, control and costs")
	flag.Parse()
	if err := b.run(strings.Split(*only, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// bench is one run of the bench.
type bench struct {
	bin, series, policies string
	// quick measures only the throughput at the highest load, for trials.
	quick bool
	cell  time.Duration
	// last are the lines that end the output.
	last []string
}

func (b *bench) run(parts []string) error {
	steps := map[string]func() error{
		"throughput": b.throughput, "recovery": b.recovery, "control": b.control, "costs": b.costs, "fair": b.fair,
		"losses": b.losses,
	}
	for _, part := range parts {
		step := steps[part]
		if step == nil {
			return fmt.Errorf("no part %q", part)
		}
		began := time.Now()
		if err := step(); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
		fmt.Printf("(%s took %s)\n\n", part, time.Since(began).Round(time.Second))
	}
	for _, line := range b.last {
		fmt.Println(line)
	}
	return nil
}

// note keeps a line for the end of the output.
func (b *bench) note(name string, value float64) {
	b.last = append(b.last, fmt.Sprintf("%s %.3f", name, value))
}

// in runs a function in a world of its own and ends its processes.
func (b *bench) in(run func(w *procs.Cluster) error) error {
	return procs.RunScratch(b.bin, run)
}
