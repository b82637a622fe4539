package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// measureCosts measures the cost of an entry host: the processor time, memory
// and store calls of an idle one, in small and large fleets, and the cost of a
// request, a token and an open stream in a busy one.
func (b *bench) measureCosts() error {
	if err := b.measureIdle(); err != nil {
		return err
	}
	if err := b.measureBusy(); err != nil {
		return err
	}
	return b.measureOpenStreams()
}

// measureOpenStreams prints the memory that an open stream takes in an entry
// host. The engines are so slow that no stream ends during the measurement.
func (b *bench) measureOpenStreams() error {
	return b.withCluster(func(cluster *procs.Cluster) error {
		tb := uniformTestbed()
		for i := range tb.engines {
			tb.engines[i].stepTime, tb.engines[i].concurrency = 300*time.Millisecond, 100
		}
		if err := tb.start(cluster, "cantata"); err != nil {
			return err
		}
		if err := cluster.StartEntry("open", "a"); err != nil {
			return err
		}
		if err := cluster.Ready("open"); err != nil {
			return err
		}
		p, err := cluster.Get("open")
		if err != nil {
			return err
		}
		before := residentMB(p.PID())
		done := make(chan error, 1)
		go func() {
			_, err := b.runLoad(cluster, "open", []string{"open"}, "-tokens", "100", "-rate", "100",
				"-duration", "6s", "-warm", "0s", "-drain", "1s")
			done <- err
		}()
		time.Sleep(5 * time.Second)
		page, err := fetchMetrics(p.Addresses["ops"])
		if err != nil {
			return err
		}
		streams, now := page["gate.open"]["count"].float(), residentMB(p.PID())
		fmt.Printf("%.0f streams open: %.1f MB before, %.1f MB now, %.0f KB a stream\n",
			streams, before, now, (now-before)*1000/max(streams, 1))
		return <-done
	})
}

// idleSpan is the duration of the measurement of idle entry hosts.
const idleSpan = 10 * time.Second

// measureIdle prints the cost of each of n idle entry hosts.
func (b *bench) measureIdle() error {
	fmt.Printf("%-8s %12s %12s %12s\n", "entries", "core %", "MB resident", "store calls/s")
	for _, n := range []int{1, 4, 16} {
		err := b.withCluster(func(cluster *procs.Cluster) error {
			if err := uniformTestbed().start(cluster, "cantata"); err != nil {
				return err
			}
			for i := range n - 1 {
				if err := cluster.StartEntry(fmt.Sprintf("entry-%d", i), domains[i%len(domains)]); err != nil {
					return err
				}
			}
			time.Sleep(warmup)
			return printIdle(cluster, n)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// printIdle measures n idle entry hosts and prints their mean cost.
func printIdle(cluster *procs.Cluster, n int) error {
	before, err := storeCalls(cluster)
	if err != nil {
		return err
	}
	cpu := sampleCPU(cluster)
	time.Sleep(idleSpan)
	entry, _, _ := cpu.since()
	after, err := storeCalls(cluster)
	if err != nil {
		return err
	}
	memory := 0.0
	for _, p := range cluster.All() {
		if p.Program == "fsentry" {
			memory += residentMB(p.PID())
		}
	}
	count := float64(n)
	fmt.Printf("%-8d %12.2f %12.1f %12.2f\n", n, entry*100/count, memory/count,
		float64(after-before)/idleSpan.Seconds()/count)
	return nil
}

// storeCalls returns the number of calls that the store has received.
func storeCalls(cluster *procs.Cluster) (int, error) {
	text, err := cluster.Control(procs.StoreName, "GET", "/counts", nil)
	if err != nil {
		return 0, err
	}
	var page map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &page); err != nil {
		return 0, err
	}
	return sumCounts(page), nil
}

// sumCounts adds up the numbers on the top level of a page of counts.
func sumCounts(page map[string]json.RawMessage) int {
	sum := 0
	for _, raw := range page {
		var n int
		if json.Unmarshal(raw, &n) == nil {
			sum += n
		}
	}
	return sum
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) float64 {
	value, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(value))
	const residentField = 1
	if len(fields) <= residentField {
		return 0
	}
	n, _ := strconv.Atoi(fields[residentField])
	return float64(n*os.Getpagesize()) / 1e6
}

// measureBusy prints the processor time that a request and a token take in an entry
// host. It solves for both from two loads with the same tokens per second in
// responses of different lengths.
func (b *bench) measureBusy() error {
	return b.withCluster(func(cluster *procs.Cluster) error {
		tb := uniformTestbed()
		if err := tb.start(cluster, "cantata"); err != nil {
			return err
		}
		if err := cluster.StartEntry("busy", "a"); err != nil {
			return err
		}
		if err := cluster.Ready("busy"); err != nil {
			return err
		}
		short, err := b.measureLoadCost(cluster, "8", "150")
		if err != nil {
			return err
		}
		long, err := b.measureLoadCost(cluster, "200", "6")
		if err != nil {
			return err
		}
		short.print("short answers")
		long.print("long answers")
		// For both loads, cores = requests*request + tokens*token.
		det := short.requests*long.tokens - long.requests*short.tokens
		request := (short.cores*long.tokens - long.cores*short.tokens) / det
		token := (short.requests*long.cores - long.requests*short.cores) / det
		fmt.Printf("entry: %.0f us a request, %.0f us a token, %.0f tokens/s a core\n",
			request*1e6, token*1e6, 1/token)
		return nil
	})
}

// loadCost is the cost of one load to the entry host.
type loadCost struct{ requests, tokens, cores, memory, open float64 }

func (c *loadCost) print(label string) {
	fmt.Printf("%-14s %6.1f requests/s %7.0f tokens/s %6.3f cores %6.1f MB, about %.0f streams open\n",
		label, c.requests, c.tokens, c.cores, c.memory, c.open)
}

// measureLoadCost runs one load against the entry host "busy" and returns its
// cost.
func (b *bench) measureLoadCost(cluster *procs.Cluster, size, rate string) (*loadCost, error) {
	p, err := cluster.Get("busy")
	if err != nil {
		return nil, err
	}
	before, start := cpuSeconds(p.PID()), time.Now()
	report, err := b.runLoad(cluster, "cost-"+size, []string{"busy"}, "-tokens", size, "-rate", rate,
		"-duration", b.measureTime.String(), "-warm", "0s")
	if err != nil {
		return nil, err
	}
	span := time.Since(start).Seconds()
	tokens, _ := strconv.ParseFloat(size, 64)
	whole := float64(report.Whole)
	return &loadCost{
		requests: whole / span, tokens: whole * tokens / span,
		cores: (cpuSeconds(p.PID()) - before) / span, memory: residentMB(p.PID()),
		open: whole / span * tokens * report.Gap.P50 / 1000,
	}, nil
}
