// Command bench measures the system as separate processes on this machine:
// throughput relative to the capacity of the hardware, recovery times, and the
// cost of the control plane. It prints tables and, at the end, lines `name
// value`.
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
	flag.DurationVar(&b.measureTime, "cell", 5*time.Second, "length of one measurement")
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

// bench holds the settings and the results of one run.
type bench struct {
	bin, series, policies string
	// quick measures only throughput at the highest load.
	quick       bool
	measureTime time.Duration
	// results are the lines that end the output.
	results []string
}

func (b *bench) run(parts []string) error {
	steps := map[string]func() error{
		"throughput": b.measureThroughput, "recovery": b.measureRecovery, "control": b.measureControl, "costs": b.measureCosts, "fair": b.measureFairness,
		"losses": b.measureLosses,
	}
	for _, part := range parts {
		step := steps[part]
		if step == nil {
			return fmt.Errorf("no part %q", part)
		}
		start := time.Now()
		if err := step(); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
		fmt.Printf("(%s took %s)\n\n", part, time.Since(start).Round(time.Second))
	}
	for _, line := range b.results {
		fmt.Println(line)
	}
	return nil
}

// addResult adds a line to the end of the output.
func (b *bench) addResult(name string, value float64) {
	b.results = append(b.results, fmt.Sprintf("%s %.3f", name, value))
}

// withCluster runs a function with a cluster of its own and stops its processes
// afterwards.
func (b *bench) withCluster(run func(cluster *procs.Cluster) error) error {
	return procs.RunScratch(b.bin, run)
}
