package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// defaultPolicy is the default policy of the system; baselines are the policies
// that it is compared with.
const defaultPolicy = "cost"

var baselines = []string{"random", "robin", "least"}

// sizes is the distribution of response lengths and sizeMean their mean, in tokens.
const (
	sizes    = "16:3,48:1"
	sizeMean = 24.0
)

// loads are the offered loads, relative to the capacity.
var loads = []float64{0.7, 0.95, 1.3}

// measurement is the result of one policy at one load.
type measurement struct {
	policy    string
	load      float64
	condition string
	report    *report
	ratio     float64
}

// measureThroughput compares the policies at several loads, and then with late
// load reports and links that degrade.
func (b *bench) measureThroughput() error {
	var measurements []measurement
	if b.quick {
		return b.withCluster(func(cluster *procs.Cluster) error {
			_, err := b.measurePolicies(cluster, mixedTestbed(0), []float64{1.3}, "")
			return err
		})
	}
	for _, c := range []struct {
		lag       time.Duration
		loads     []float64
		condition string
	}{
		{0, loads, ""},
		{2 * time.Second, []float64{0.95}, "lag+link"},
	} {
		err := b.withCluster(func(cluster *procs.Cluster) error {
			measured, err := b.measurePolicies(cluster, mixedTestbed(c.lag), c.loads, c.condition)
			measurements = append(measurements, measured...)
			return err
		})
		if err != nil {
			return err
		}
	}
	b.addResult("throughput-ratio", ratioOf(measurements, defaultPolicy, 1.3, ""))
	b.results = append(b.results, comparisons(measurements)...)
	return nil
}

// measurePolicies measures all policies on one testbed.
func (b *bench) measurePolicies(cluster *procs.Cluster, tb *testbed, loads []float64, condition string) ([]measurement, error) {
	if err := tb.start(cluster, "cantata"); err != nil {
		return nil, err
	}
	capacity := tb.capacity()
	fmt.Printf("bound %.0f tokens/s, load reports %s late %s\n", capacity, tb.reportLag, condition)
	fmt.Printf("%-8s %5s %9s %6s %9s %9s %8s %8s %7s %5s %6s %6s %5s\n", "policy", "load", "tokens/s",
		"ratio", "first p50", "first p95", "gap p50", "gap p95", "refused", "bad", "entry", "engine", "idle")
	var measurements []measurement
	for _, policy := range strings.Split(b.policies, ",") {
		entryHosts, err := startEntryHosts(cluster, policy, "-policy", policy)
		if err != nil {
			return nil, err
		}
		for _, load := range loads {
			m, err := b.measurePolicy(cluster, tb, entryHosts, measurement{policy: policy, load: load, condition: condition})
			if err != nil {
				return nil, err
			}
			measurements = append(measurements, m)
		}
		if err := stopEntryHosts(cluster, entryHosts); err != nil {
			return nil, err
		}
	}
	return measurements, nil
}

// drainTimeout limits the wait for open calls at the end of a measurement. It
// exceeds the duration of a long response, because none of the tokens of a
// response that is incomplete by then are counted, not even those that arrived
// before the end. Tokens that arrive during the drain are not counted.
const drainTimeout = 10 * time.Second

// warmup is the first part of each measurement, which is not counted. It is as
// long as a long response takes; before that, the number of open streams still
// grows and goodput lags behind the offered load.
const warmup = 4 * time.Second

// measurePolicy measures one policy at one load and prints a row of the table.
func (b *bench) measurePolicy(cluster *procs.Cluster, tb *testbed, entryHosts []string, m measurement) (measurement, error) {
	capacity := tb.capacity()
	args := []string{
		"-rate", fmt.Sprintf("%.3f", m.load*capacity/sizeMean), "-tokens", sizes,
		"-duration", (b.measureTime + warmup).String(), "-warm", warmup.String(),
		"-drain", drainTimeout.String(),
	}
	if m.condition == "lag+link" {
		args = append(args, slowLinksFault(cluster, tb, b.measureTime/2+warmup)...)
	}
	cpu := sampleCPU(cluster)
	name := fmt.Sprintf("%s-%.2f%s", m.policy, m.load, strings.ReplaceAll(m.condition, "+", "-"))
	report, err := b.runLoad(cluster, name, entryHosts, args...)
	if err != nil {
		return m, err
	}
	entry, engines, idle := cpu.since()
	m.report, m.ratio = report, report.TokensPerSecond/capacity
	s := &report.summary
	fmt.Printf("%-8s %5.2f %9.0f %6.3f %9.1f %9.1f %8.1f %8.1f %7d %5d %6.2f %6.2f %5.1f\n",
		m.policy, m.load, s.TokensPerSecond, m.ratio, s.First.P50, s.First.P95, s.Gap.P50, s.Gap.P95,
		s.Refused, s.Failed+s.Lost+s.Wrong, entry, engines, idle)
	if m.condition == "lag+link" {
		for _, e := range tb.engines {
			if err := cluster.ClearFaults(e.name); err != nil {
				return m, err
			}
		}
	}
	return m, nil
}

// slowLinksFault returns the fsload arguments for a fault that multiplies the
// delay of some links by factor: those from the fastest first-stage engine of
// domain a to other engines of that domain.
func slowLinksFault(cluster *procs.Cluster, tb *testbed, at time.Duration) []string {
	const factor = 20
	from := "a0-k6"
	p, err := cluster.Get(from)
	if err != nil {
		return nil
	}
	var slow []string
	for _, e := range tb.engines {
		if e.stage == 1 && e.domain == "a" {
			slow = append(slow, fmt.Sprintf("%s=%s", e.name, factor*tb.intraDomainDelay))
		}
	}
	return []string{"-fault", fmt.Sprintf("%s %s link %s", at, p.Addresses["control"], strings.Join(slow, ","))}
}

// stopEntryHosts shuts entry hosts down and removes them from the host list.
func stopEntryHosts(cluster *procs.Cluster, entryHosts []string) error {
	for _, name := range entryHosts {
		p, err := cluster.Get(name)
		if err != nil {
			return err
		}
		if err := p.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if _, err := p.Wait(); err != nil {
			return err
		}
		if err := cluster.DeleteHost(name); err != nil {
			return err
		}
	}
	return nil
}

func findMeasurement(measurements []measurement, policy string, load float64, condition string) *measurement {
	for i := range measurements {
		m := &measurements[i]
		if m.policy == policy && m.load == load && m.condition == condition {
			return m
		}
	}
	return nil
}

func ratioOf(measurements []measurement, policy string, load float64, condition string) float64 {
	if m := findMeasurement(measurements, policy, load, condition); m != nil {
		return m.ratio
	}
	return 0
}

// comparisons returns result lines that compare the default policy with the
// baselines, and its goodput under overload with that at a load of 0.95.
func comparisons(measurements []measurement) []string {
	var lines []string
	own := findMeasurement(measurements, defaultPolicy, 0.95, "")
	for _, other := range baselines {
		if m := findMeasurement(measurements, other, 0.95, ""); m != nil && own != nil {
			lines = append(lines, fmt.Sprintf("first-p95-against-%s %.3f", other,
				own.report.First.P95/m.report.First.P95))
		}
	}
	if goodput95 := ratioOf(measurements, defaultPolicy, 0.95, ""); goodput95 > 0 {
		lines = append(lines, fmt.Sprintf("goodput-at-1.3-against-0.95 %.3f", ratioOf(measurements, defaultPolicy, 1.3, "")/goodput95))
	}
	return lines
}
