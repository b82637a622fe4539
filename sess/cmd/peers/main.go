// Command peers measures what the membership costs a node: it runs many peers
// in one process, joined by real loopback connections, and prints bytes,
// processor time and memory of each and how long a mark and a revision take to
// reach all, as lines `name value`.
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

// target is the fleet of the target size.
const target = 320

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

func run(nodes string, secure bool, warm, span time.Duration) error {
	var points []point
	for text := range strings.SplitSeq(nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 2 {
			return fmt.Errorf("-nodes: %q is not a number above 1", text)
		}
		p, err := measure(context.Background(), n, secure, warm, span)
		if err != nil {
			return err
		}
		p.print(os.Stdout)
		points = append(points, p)
	}
	at := func(of func(point) float64) float64 { return extend(points, target, of) }
	fmt.Printf("control-core-percent-%d %.3f\n", target, at(func(p point) float64 { return p.core * 100 }))
	fmt.Printf("control-megabytes-%d %.2f\n", target, at(func(p point) float64 { return p.memory / 1e6 }))
	fmt.Printf("control-bytes-per-second-%d %.0f\n", target, at(func(p point) float64 { return p.bytes }))
	return nil
}

// extend returns the figure at a size: as measured there, or else on the line
// through the two largest sizes that were measured.
func extend(points []point, size int, of func(point) float64) float64 {
	last := points[len(points)-1]
	if last.nodes >= size || len(points) == 1 {
		return of(last)
	}
	prior := points[len(points)-2]
	slope := (of(last) - of(prior)) / float64(last.nodes-prior.nodes)
	return of(last) + slope*float64(size-last.nodes)
}
