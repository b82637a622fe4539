package main

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/flow"
	"fuchsiashelf.dev/sess/procs"
)

// testbed describes the hardware of a benchmark: engines in stages, and their
// links.
type testbed struct {
	engines []engineSpec
	// intraDomainDelay and interDomainDelay are the delays of links within a
	// domain and between domains.
	intraDomainDelay, interDomainDelay time.Duration
	// reportLag is the delay of load reports.
	reportLag time.Duration
}

// engineSpec describes one engine of a testbed.
type engineSpec struct {
	name        string
	domain      domain.Name
	stage       int
	kind        string
	stepTime    time.Duration
	concurrency int
}

const (
	stages      = 3
	stageLayers = 8
	layers      = stages * stageLayers
	service     = "assist"
)

var domains = []domain.Name{"a", "b"}

// mixedTestbed returns a testbed with three kinds of accelerators, of speeds 1, 2.5
// and 6. Each stage has one of each kind in each of two domains, and the delays of
// the links differ by a factor of 100. The steps are long, so that the engines and
// not the processor of this machine limit the throughput.
func mixedTestbed(lag time.Duration) *testbed {
	tb := &testbed{intraDomainDelay: 200 * time.Microsecond, interDomainDelay: 20 * time.Millisecond, reportLag: lag}
	kinds := []struct {
		name string
		step time.Duration
	}{{"k1", 30 * time.Millisecond}, {"k25", 12 * time.Millisecond}, {"k6", 5 * time.Millisecond}}
	for stage := range stages {
		for _, dom := range domains {
			for _, kind := range kinds {
				tb.engines = append(tb.engines, engineSpec{
					name:   fmt.Sprintf("%s%d-%s", dom, stage, kind.name),
					domain: dom, stage: stage, kind: kind.name, stepTime: kind.step, concurrency: 3,
				})
			}
		}
	}
	return tb
}

// uniformTestbed returns a testbed with three equal engines per stage. Its chains
// generate a token every 20 ms when the pool is not saturated.
func uniformTestbed() *testbed {
	tb := &testbed{intraDomainDelay: 200 * time.Microsecond, interDomainDelay: 200 * time.Microsecond}
	for stage := range stages {
		for i := range 3 {
			tb.engines = append(tb.engines, engineSpec{
				name: fmt.Sprintf("e%d-%d", stage, i), domain: domains[i%len(domains)],
				stage: stage, kind: "k1", stepTime: 5 * time.Millisecond, concurrency: 8,
			})
		}
	}
	return tb
}

// capacity returns the maximum throughput of the testbed without the named
// engines, in tokens per second.
func (tb *testbed) capacity(without ...string) float64 {
	p := &flow.Pool{Layers: layers}
	for _, e := range tb.engines {
		if !contains(without, e.name) {
			p.Servers = append(p.Servers, flow.Server{
				Name: e.name, First: e.stage * stageLayers, End: (e.stage + 1) * stageLayers,
				Rate: float64(e.concurrency) / e.stepTime.Seconds(),
			})
		}
	}
	return p.Capacity().Rate
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}

// linkDelays returns the delays of the links from an engine to those of the
// next stage, as a value for the flag -links of fsstand.
func (tb *testbed) linkDelays(from engineSpec) string {
	var list []string
	for _, to := range tb.engines {
		if to.stage == from.stage+1 {
			delay := tb.intraDomainDelay
			if to.domain != from.domain {
				delay = tb.interDomainDelay
			}
			list = append(list, fmt.Sprintf("%s=%s", to.name, delay))
		}
	}
	return strings.Join(list, ",")
}

// start starts the store, the engines and one entry host, and configures the
// service and the pool through it.
func (tb *testbed) start(cluster *procs.Cluster, teams ...string) error {
	if err := cluster.StartStore(teams...); err != nil {
		return err
	}
	var starts errgroup.Group
	for _, e := range tb.engines {
		starts.Go(func() error {
			first := e.stage * stageLayers
			return cluster.StartEngine(e.name, e.domain, first, first+stageLayers,
				"-kind", e.kind, "-token-time", e.stepTime.String(), "-capacity", fmt.Sprint(e.concurrency),
				"-links", tb.linkDelays(e), "-report-lag", tb.reportLag.String())
		})
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	if err := cluster.StartEntry("desk", "a"); err != nil {
		return err
	}
	var names []string
	for _, e := range tb.engines {
		names = append(names, e.name)
	}
	for _, line := range []string{
		"create service assist model lotus",
		fmt.Sprintf("create pool lake model lotus layers %d servers %s", layers, strings.Join(names, " ")),
		"route service assist to pool lake",
	} {
		output := ""
		err := procs.WaitFor(line, func() bool {
			// A command whose first outcome was partly or unknown may have taken
			// effect; sent again, it is refused because its object exists.
			output, _ = cluster.RunDesk("desk", line)
			return strings.Contains(output, "\ndone") || strings.Contains(output, "exists since")
		})
		if err != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
	}
	return nil
}

// entryHostCount is the number of entry hosts that share the load: four, as in
// the users' present deployment.
const entryHostCount = 4

// startEntryHosts starts entry hosts, waits until they are ready and returns
// their names.
func startEntryHosts(cluster *procs.Cluster, prefix string, extraArgs ...string) ([]string, error) {
	var names []string
	var starts errgroup.Group
	for i := range entryHostCount {
		name := fmt.Sprintf("%s-%d", prefix, i)
		names = append(names, name)
		starts.Go(func() error {
			if err := cluster.StartEntry(name, domains[i%len(domains)], extraArgs...); err != nil {
				return err
			}
			return cluster.Ready(name)
		})
	}
	return names, starts.Wait()
}
