package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// scenario is a failure that the benchmark causes while streams run.
type scenario struct {
	name string
	// targets are the processes that fail.
	targets []string
	// fault returns the fsload fault of one target, without its time.
	fault func(cluster *procs.Cluster, tb *testbed, target string) (string, error)
	// lostEngines are the engines that no longer serve after the failure.
	lostEngines []string
	// lostCallers is the share of callers whose entry host is lost. fsload
	// keeps sending to it, as the load balancer of the platform does until it
	// detects the failure.
	lostCallers float64
}

// Load of the recovery benchmark: streams of 4 s with a token every 20 ms.
const (
	streamTokens = "200"
	streamRate   = "8"
	faultAt      = 5 * time.Second
	loadDuration = 10 * time.Second
)

// measureRecovery measures how fast streams resume after one engine or its
// links fail.
func (b *bench) measureRecovery() error {
	scenarios := []scenario{
		engineFailure("kill first stage", "e0-1", "KILL"),
		engineFailure("kill last stage", "e2-1", "KILL"),
		engineFailure("freeze", "e1-1", "STOP"),
		engineFailure("freeze first stage", "e0-1", "STOP"),
		{name: "link cut", targets: []string{"e0-2"}, fault: cutLinksFault},
		{name: "no fault"},
	}
	worst, err := b.runScenarios(scenarios)
	if err != nil {
		return err
	}
	b.addResult("recovery-kill-p95-ms", worst["kill"])
	b.addResult("recovery-freeze-p95-ms", worst["freeze"])
	return nil
}

// measureLosses measures failures that affect more than one engine: of the store,
// of an entry host, and of a whole failure domain.
func (b *bench) measureLosses() error {
	domainEngines := []string{"e0-1", "e1-1", "e2-1"}
	_, err := b.runScenarios([]scenario{
		{name: "store down", targets: []string{procs.StoreName}, fault: outageFault},
		{name: "entry killed", targets: []string{"entry-1"}, fault: signalFault("KILL"), lostCallers: 0.25},
		{
			name: "domain killed", targets: append([]string{"entry-1", "entry-3"}, domainEngines...),
			fault: signalFault("KILL"), lostEngines: domainEngines, lostCallers: 0.5,
		},
	})
	return err
}

// engineFailure returns the scenario in which a signal stops one engine.
func engineFailure(name, target, signal string) scenario {
	return scenario{name: name, targets: []string{target}, fault: signalFault(signal), lostEngines: []string{target}}
}

// runScenarios measures the scenarios in order. It returns the worst p95 of the
// time to the next token by the first word of the names of the scenarios.
func (b *bench) runScenarios(scenarios []scenario) (map[string]float64, error) {
	fmt.Printf("%-20s %7s %8s %8s %8s %6s %6s %10s\n",
		"failure", "streams", "next p50", "next p95", "next max", "cut", "wrong", "back ms")
	worst := map[string]float64{}
	for _, sc := range scenarios {
		p95, err := b.runScenario(sc)
		if err != nil {
			return nil, err
		}
		kind, _, _ := strings.Cut(sc.name, " ")
		worst[kind] = max(worst[kind], p95)
	}
	return worst, nil
}

// runScenario runs one scenario in a cluster of its own. It returns the 95th
// percentile of the time to the next token of the streams that the target
// carried.
func (b *bench) runScenario(sc scenario) (p95 float64, err error) {
	err = b.withCluster(func(cluster *procs.Cluster) error {
		tb := uniformTestbed()
		if err := tb.start(cluster, "cantata"); err != nil {
			return err
		}
		entryHosts, err := startEntryHosts(cluster, "entry")
		if err != nil {
			return err
		}
		p95, err = b.measureScenario(cluster, tb, entryHosts, sc)
		return err
	})
	return p95, err
}

// measureScenario runs streams, injects the faults and prints a row of the
// table.
func (b *bench) measureScenario(cluster *procs.Cluster, tb *testbed, entryHosts []string, sc scenario) (float64, error) {
	args := []string{
		"-rate", streamRate, "-tokens", streamTokens, "-duration", loadDuration.String(), "-warm", warmup.String(),
	}
	for _, target := range sc.targets {
		text, err := sc.fault(cluster, tb, target)
		if err != nil {
			return 0, err
		}
		args = append(args, "-fault", fmt.Sprintf("%s %s", faultAt, text))
	}
	report, err := b.runLoad(cluster, strings.ReplaceAll(sc.name, " ", "-"), entryHosts, args...)
	if err != nil {
		return 0, err
	}
	alive := slices.DeleteFunc(slices.Clone(entryHosts), func(h string) bool { return contains(sc.targets, h) })
	resumed, err := sumCounter(cluster, alive, "relay.resumed")
	if err != nil {
		return 0, err
	}
	times := resumeTimes(report, resumed)
	p95 := quantile(times, 0.95)
	bad := report.Failed + report.Lost
	fmt.Printf("%-20s %7d %8.1f %8.1f %8.1f %6d %6d %10.0f\n", sc.name, resumed,
		quantile(times, 0.5), p95, quantile(times, 1), bad, report.Wrong, recoveryTime(report, tb.capacity(sc.lostEngines...), 1-sc.lostCallers))
	return p95, nil
}

// signalFault returns a fault that sends a signal to the process of the target.
func signalFault(name string) func(*procs.Cluster, *testbed, string) (string, error) {
	return func(cluster *procs.Cluster, _ *testbed, target string) (string, error) {
		p, err := cluster.Get(target)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("pid:%d %s", p.PID(), name), nil
	}
}

// outageFault returns the fault that takes the store down.
func outageFault(cluster *procs.Cluster, _ *testbed, target string) (string, error) {
	p, err := cluster.Get(target)
	if err != nil {
		return "", err
	}
	return p.Addresses["control"] + " outage", nil
}

// cutLinksFault returns the fault that cuts all links from the target to the
// second stage.
func cutLinksFault(cluster *procs.Cluster, tb *testbed, target string) (string, error) {
	p, err := cluster.Get(target)
	if err != nil {
		return "", err
	}
	var links []string
	for _, e := range tb.engines {
		if e.stage == 1 {
			links = append(links, e.name+"=cut")
		}
	}
	return fmt.Sprintf("%s link %s", p.Addresses["control"], strings.Join(links, ",")), nil
}

// resumeTimes returns the times to the next token of the streams that the
// target carried. Only the number of streams that resumed on another chain is
// known; they are assumed to be those that waited longest.
func resumeTimes(r *report, resumed int) []float64 {
	if len(r.Faults) == 0 {
		return nil
	}
	next := r.Faults[0].NextMs
	return next[max(0, len(next)-resumed):]
}

// quantile returns the q-quantile of a sorted list, or 0 for an empty one.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// recoveryTime returns the time in milliseconds from the fault until the goodput
// over half a second reached 95% of its target. The target is the smaller of the
// goodput before the fault, for the share of callers that still have an entry
// host, and the remaining capacity. If the goodput never recovered, it returns an
// hour.
func recoveryTime(r *report, remaining, callerShare float64) float64 {
	if len(r.Faults) == 0 {
		return 0
	}
	const windowRows, threshold = 5, 0.95
	faultRow := int(r.Faults[0].AtMs / r.TickMs)
	first := int(float64(warmup.Milliseconds()) / r.TickMs)
	want := threshold * min(callerShare*meanTokens(r.Series[first:faultRow]), remaining*r.TickMs/1000)
	for i := faultRow; i+windowRows < len(r.Series); i++ {
		if meanTokens(r.Series[i:i+windowRows]) >= want {
			return max(0, r.Series[i].AtMs-r.Faults[0].AtMs)
		}
	}
	return float64(time.Hour.Milliseconds())
}

// meanTokens returns the mean number of tokens per row.
func meanTokens(rows []sample) float64 {
	total := 0
	for _, r := range rows {
		total += r.Tokens
	}
	return float64(total) / float64(max(len(rows), 1))
}

// sumCounter adds up a counter over the metrics pages of entry hosts.
func sumCounter(cluster *procs.Cluster, entryHosts []string, counter string) (int, error) {
	total := 0
	for _, name := range entryHosts {
		p, err := cluster.Get(name)
		if err != nil {
			return 0, err
		}
		page, err := fetchMetrics(p.Addresses["ops"])
		if err != nil {
			return 0, err
		}
		total += int(page[counter]["count"].float())
	}
	return total, nil
}

// metricValue is one value of a metrics page: a number, or a text, which is
// ignored.
type metricValue struct{ json.RawMessage }

func (v metricValue) float() float64 {
	return parseNumber(string(slices.Clone(v.RawMessage)))
}

// fetchMetrics returns the metrics page of an entry host.
func fetchMetrics(address string) (map[string]map[string]metricValue, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	page := map[string]map[string]metricValue{}
	return page, json.Unmarshal(text, &page)
}
