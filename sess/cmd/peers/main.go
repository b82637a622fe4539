// Command peers measures the cost of cluster membership per node. It runs many
// peers in one process, connected over loopback, and prints the bytes,
// processor time and memory per node and the times until a mark and a revision
// have reached all nodes, as lines `name value`.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// targetNodes is the target size of a fleet.
const targetNodes = 320

func main() {
	nodes := flag.String("nodes", "4,16,64,128,320", "sizes of the fleet, the last one being the largest")
	warm := flag.Duration("warm", 8*time.Second, "time before the measurement")
	span := flag.Duration("span", 10*time.Second, "time of the measurement")
	secure := flag.Bool("tls", true, "join the nodes by TLS")
	flag.Parse()
	if err := run(*nodes, *secure, *warm, *span); err != nil {
		fmt.Fprintln(os.Stderr, "peers:", err)
		os.Exit(1)
	}
}

func run(nodes string, secure bool, warmup, duration time.Duration) error {
	var measurements []measurement
	for sizeText := range strings.SplitSeq(nodes, ",") {
		n, err := strconv.Atoi(sizeText)
		if err != nil || n < 2 {
			return fmt.Errorf("-nodes: %q is not a number above 1", sizeText)
		}
		m, err := measure(context.Background(), n, secure, warmup, duration)
		if err != nil {
			return err
		}
		m.print(os.Stdout)
		measurements = append(measurements, m)
	}
	atTarget := func(of func(measurement) float64) float64 { return extrapolate(measurements, targetNodes, of) }
	fmt.Printf("control-core-percent-%d %.3f\n", targetNodes, atTarget(func(m measurement) float64 { return m.cores * 100 }))
	fmt.Printf("control-megabytes-%d %.2f\n", targetNodes, atTarget(func(m measurement) float64 { return m.memoryBytes / 1e6 }))
	fmt.Printf("control-bytes-per-second-%d %.0f\n", targetNodes, atTarget(func(m measurement) float64 { return m.bytesPerSecond }))
	return nil
}

// extrapolate returns a value for a fleet of the given size: that of the largest
// measured fleet, if it is as large or the only one, or else the value on the line
// through the two largest ones.
func extrapolate(measurements []measurement, size int, of func(measurement) float64) float64 {
	last := measurements[len(measurements)-1]
	if last.nodes >= size || len(measurements) == 1 {
		return of(last)
	}
	prior := measurements[len(measurements)-2]
	slope := (of(last) - of(prior)) / float64(last.nodes-prior.nodes)
	return of(last) + slope*float64(size-last.nodes)
}
