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

// rig is the hardware of a bench: engines in stages, and their links.
type rig struct {
	engines []accelerator
	// near and far are the delays of links within and between domains.
	near, far time.Duration
	// lag is how late load reports are.
	lag time.Duration
}

// accelerator is one engine of a rig.
type accelerator struct {
	name   string
	domain domain.Name
	stage  int
	kind   string
	step   time.Duration
	atOnce int
}

const (
	stages      = 3
	stageLayers = 8
	layers      = stages * stageLayers
	service     = "assist"
)

var domains = []domain.Name{"a", "b"}

// mixed is a rig of three kinds of accelerators with speeds 1, 2.5 and 6, one
// of each kind in each of two domains and three stages, on links that differ
// a hundredfold. The steps are long, so that the engines' time and not this
// machine's processor bounds what the rig carries.
func mixed(lag time.Duration) *rig {
	r := &rig{near: 200 * time.Microsecond, far: 20 * time.Millisecond, lag: lag}
	kinds := []struct {
		name string
		step time.Duration
	}{{"k1", 30 * time.Millisecond}, {"k25", 12 * time.Millisecond}, {"k6", 5 * time.Millisecond}}
	for stage := range stages {
		for _, in := range domains {
			for _, kind := range kinds {
				r.engines = append(r.engines, accelerator{
					name:   fmt.Sprintf("%s%d-%s", in, stage, kind.name),
					domain: in, stage: stage, kind: kind.name, step: kind.step, atOnce: 3,
				})
			}
		}
	}
	return r
}

// even is a rig of equal engines, three to a stage, whose chains make a token
// every 20 ms when the pool is not full.
func even() *rig {
	r := &rig{near: 200 * time.Microsecond, far: 200 * time.Microsecond}
	for stage := range stages {
		for i := range 3 {
			r.engines = append(r.engines, accelerator{
				name: fmt.Sprintf("e%d-%d", stage, i), domain: domains[i%len(domains)],
				stage: stage, kind: "k1", step: 5 * time.Millisecond, atOnce: 8,
			})
		}
	}
	return r
}

// bound returns what the rig can carry, in tokens per second, without the
// named engines.
func (r *rig) bound(without ...string) float64 {
	p := &flow.Pool{Layers: layers}
	for _, e := range r.engines {
		if !contains(without, e.name) {
			p.Servers = append(p.Servers, flow.Server{
				Name: e.name, First: e.stage * stageLayers, End: (e.stage + 1) * stageLayers,
				Rate: float64(e.atOnce) / e.step.Seconds(),
			})
		}
	}
	return p.Capacity().Rate
}

func contains(list []string, name string) bool {
	for _, one := range list {
		if one == name {
			return true
		}
	}
	return false
}

// links returns the delays of an engine's links to the next stage.
func (r *rig) links(from accelerator) string {
	var list []string
	for _, to := range r.engines {
		if to.stage == from.stage+1 {
			delay := r.near
			if to.domain != from.domain {
				delay = r.far
			}
			list = append(list, fmt.Sprintf("%s=%s", to.name, delay))
		}
	}
	return strings.Join(list, ",")
}

// start starts the store and the engines, and one entry host to configure.
func (r *rig) start(w *procs.Cluster, teams ...string) error {
	if err := w.StartStore(teams...); err != nil {
		return err
	}
	var starts errgroup.Group
	for _, e := range r.engines {
		starts.Go(func() error {
			first := e.stage * stageLayers
			return w.StartEngine(e.name, e.domain, first, first+stageLayers,
				"-kind", e.kind, "-token-time", e.step.String(), "-capacity", fmt.Sprint(e.atOnce),
				"-links", r.links(e), "-report-lag", r.lag.String())
		})
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	if err := w.StartEntry("desk", "a"); err != nil {
		return err
	}
	var names []string
	for _, e := range r.engines {
		names = append(names, e.name)
	}
	for _, line := range []string{
		"create service assist model lotus",
		fmt.Sprintf("create pool lake model lotus layers %d servers %s", layers, strings.Join(names, " ")),
		"route service assist to pool lake",
	} {
		last := ""
		err := procs.WaitFor(line, func() bool {
			// A line whose first answer was partly or unknown is in force, and
			// refused when it comes again.
			last, _ = w.RunDesk("desk", line)
			return strings.Contains(last, "\ndone") || strings.Contains(last, "exists since")
		})
		if err != nil {
			return fmt.Errorf("%w: %s", err, last)
		}
	}
	return nil
}

// entriesPerPolicy is how many entry hosts share the load: four, as the users
// have today.
const entriesPerPolicy = 4

// entries starts entry hosts and returns their names.
func entries(w *procs.Cluster, prefix string, more ...string) ([]string, error) {
	var names []string
	var starts errgroup.Group
	for i := range entriesPerPolicy {
		name := fmt.Sprintf("%s-%d", prefix, i)
		names = append(names, name)
		starts.Go(func() error {
			if err := w.StartEntry(name, domains[i%len(domains)], more...); err != nil {
				return err
			}
			return w.Ready(name)
		})
	}
	return names, starts.Wait()
}
