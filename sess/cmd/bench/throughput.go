package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// shipped is the policy that the system ships, and baselines are what it is
// compared with.
const shipped = "cost"

var baselines = []string{"random", "robin", "least"}

// sizes are the answer lengths and sizeMean their mean, in tokens.
const (
	sizes    = "16:3,48:1"
	sizeMean = 24.0
)

// loads are the offered loads, as parts of the bound.
var loads = []float64{0.7, 0.95, 1.3}

// cell is one measurement of a policy at one load.
type cell struct {
	policy string
	load   float64
	what   string
	report *report
	ratio  float64
}

func (b *bench) throughput() error {
	var cells []cell
	if b.quick {
		return b.in(func(w *procs.Cluster) error {
			_, err := b.cells(w, mixed(0), []float64{1.3}, "")
			return err
		})
	}
	for _, c := range []struct {
		lag   time.Duration
		loads []float64
		what  string
	}{
		{0, loads, ""},
		{2 * time.Second, []float64{0.95}, "lag+link"},
	} {
		err := b.in(func(w *procs.Cluster) error {
			more, err := b.cells(w, mixed(c.lag), c.loads, c.what)
			cells = append(cells, more...)
			return err
		})
		if err != nil {
			return err
		}
	}
	b.note("throughput-ratio", ratioOf(cells, shipped, 1.3, ""))
	b.last = append(b.last, verdicts(cells)...)
	return nil
}

// cells measures all policies on one rig.
func (b *bench) cells(w *procs.Cluster, r *rig, loads []float64, what string) ([]cell, error) {
	if err := r.start(w, "cantata"); err != nil {
		return nil, err
	}
	bound := r.bound()
	fmt.Printf("bound %.0f tokens/s, load reports %s late %s\n", bound, r.lag, what)
	fmt.Printf("%-8s %5s %9s %6s %9s %9s %8s %8s %7s %5s %6s %6s %5s\n", "policy", "load", "tokens/s",
		"ratio", "first p50", "first p95", "gap p50", "gap p95", "refused", "bad", "entry", "engine", "idle")
	var cells []cell
	for _, policy := range strings.Split(b.policies, ",") {
		hosts, err := entries(w, policy, "-policy", policy)
		if err != nil {
			return nil, err
		}
		for _, load := range loads {
			c, err := b.cellOf(w, r, hosts, cell{policy: policy, load: load, what: what})
			if err != nil {
				return nil, err
			}
			cells = append(cells, c)
		}
		if err := stop(w, hosts); err != nil {
			return nil, err
		}
	}
	return cells, nil
}

// drain is the longest wait for open calls at the end of a measurement. An
// answer that is not whole by then counts for nothing, also what came of it
// before the end, so it is longer than a long answer takes. What comes during
// the drain is not counted.
const drain = 10 * time.Second

// warm is the first part of each measurement that is not counted. It is as
// long as a long answer takes; before that the streams under way still grow
// in number, and goodput lags behind what is offered.
const warm = 4 * time.Second

func (b *bench) cellOf(w *procs.Cluster, r *rig, hosts []string, c cell) (cell, error) {
	bound := r.bound()
	args := []string{
		"-rate", fmt.Sprintf("%.3f", c.load*bound/sizeMean), "-tokens", sizes,
		"-duration", (b.cell + warm).String(), "-warm", warm.String(),
		"-drain", drain.String(),
	}
	if c.what == "lag+link" {
		args = append(args, degrade(w, r, b.cell/2+warm)...)
	}
	use := measure(w)
	name := fmt.Sprintf("%s-%.2f%s", c.policy, c.load, strings.ReplaceAll(c.what, "+", "-"))
	report, err := b.load(w, name, hosts, args...)
	if err != nil {
		return c, err
	}
	entry, engines, idle := use.since()
	c.report, c.ratio = report, report.TokensPerSecond/bound
	f := &report.figures
	fmt.Printf("%-8s %5.2f %9.0f %6.3f %9.1f %9.1f %8.1f %8.1f %7d %5d %6.2f %6.2f %5.1f\n",
		c.policy, c.load, f.TokensPerSecond, c.ratio, f.First.P50, f.First.P95, f.Gap.P50, f.Gap.P95,
		f.Refused, f.Failed+f.Lost+f.Wrong, entry, engines, idle)
	if c.what == "lag+link" {
		for _, e := range r.engines {
			if err := w.ClearFaults(e.name); err != nil {
				return c, err
			}
		}
	}
	return c, nil
}

// degrade makes the near links out of the fastest first server of domain a
// twenty times slower in the middle of a run.
func degrade(w *procs.Cluster, r *rig, at time.Duration) []string {
	const factor = 20
	from := "a0-k6"
	p, err := w.Get(from)
	if err != nil {
		return nil
	}
	var slow []string
	for _, e := range r.engines {
		if e.stage == 1 && e.domain == "a" {
			slow = append(slow, fmt.Sprintf("%s=%s", e.name, factor*r.near))
		}
	}
	return []string{"-fault", fmt.Sprintf("%s %s link %s", at, p.Addresses["control"], strings.Join(slow, ","))}
}

// stop ends entry hosts and takes them off the host list.
func stop(w *procs.Cluster, hosts []string) error {
	for _, name := range hosts {
		p, err := w.Get(name)
		if err != nil {
			return err
		}
		if err := p.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if _, err := p.Wait(); err != nil {
			return err
		}
		if err := w.DeleteHost(name); err != nil {
			return err
		}
	}
	return nil
}

func find(cells []cell, policy string, load float64, what string) *cell {
	for i := range cells {
		c := &cells[i]
		if c.policy == policy && c.load == load && c.what == what {
			return c
		}
	}
	return nil
}

func ratioOf(cells []cell, policy string, load float64, what string) float64 {
	if c := find(cells, policy, load, what); c != nil {
		return c.ratio
	}
	return 0
}

// verdicts compares the figures with the goals.
func verdicts(cells []cell) []string {
	var lines []string
	mine := find(cells, shipped, 0.95, "")
	for _, other := range baselines {
		if c := find(cells, other, 0.95, ""); c != nil && mine != nil {
			lines = append(lines, fmt.Sprintf("first-p95-against-%s %.3f", other,
				mine.report.First.P95/c.report.First.P95))
		}
	}
	if at95 := ratioOf(cells, shipped, 0.95, ""); at95 > 0 {
		lines = append(lines, fmt.Sprintf("goodput-at-1.3-against-0.95 %.3f", ratioOf(cells, shipped, 1.3, "")/at95))
	}
	return lines
}
