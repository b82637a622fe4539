package lang

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
)

// checkHost returns an error if a host cannot serve in a pool.
func checkHost(p pool.Pool, h host.Host) error {
	switch {
	case h.Role == host.Entry:
		return fmt.Errorf("%s is an entry host, want a backend server", h.Name)
	case p.IsPlain() && h.Role == host.Engine:
		return fmt.Errorf("server %s is an engine, pool %s is for plain services", h.Name, p.Name)
	case !p.IsPlain() && h.Role == host.Plain:
		return fmt.Errorf("server %s runs a plain service, pool %s is for model %s", h.Name, p.Name, p.Model)
	case !p.IsPlain() && h.Model != "" && h.Model != p.Model:
		return fmt.Errorf("server %s holds model %s, pool %s is for model %s", h.Name, h.Model, p.Name, p.Model)
	case !p.IsPlain() && h.End > p.Layers:
		return fmt.Errorf("server %s holds layers %d to %d, the model of pool %s ends at %d",
			h.Name, h.First, h.End, p.Name, p.Layers)
	}
	return nil
}

// checkCoverage checks the coverage of all pools. It rejects the line only if
// the line itself reduces the coverage. A pool may also lose coverage because
// hosts leave, and that must not keep the operators from changing anything else.
func (e *edit) checkCoverage() error {
	if e.force {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(e.Pools)) {
		after := findCoverageGap(e.Pools[name], e.Stops, e.env.Hosts)
		before := coverageGap{}
		if p, existed := e.before.Pools[name]; existed {
			before = findCoverageGap(p, e.before.Stops, e.env.Hosts)
		}
		if after.worseThan(before) {
			return errorAt(e.errorWord, "pool %s: %s (end the line with anyway to do it all the same)", name, after)
		}
	}
	return nil
}

// coverageGap is what a pool lacks once all planned stops have begun.
type coverageGap struct {
	// noServers reports whether a pool of a plain service has no server left.
	noServers bool
	// missing reports for each layer whether no server is left for it.
	missing []bool
	// noChain reports whether every layer has a server, but the ranges of the
	// servers do not form a chain.
	noChain bool
}

func findCoverageGap(p pool.Pool, stops map[string]conf.Stop, hosts map[string]host.Host) coverageGap {
	var usable []host.Host
	for _, name := range p.Servers {
		h, listed := hosts[name]
		_, stopped := stops[name]
		if listed && !stopped && h.State != host.Leaving {
			usable = append(usable, h)
		}
	}
	if p.IsPlain() {
		return coverageGap{noServers: len(usable) == 0}
	}
	gap := coverageGap{missing: make([]bool, p.Layers)}
	for layer := range gap.missing {
		gap.missing[layer] = !slices.ContainsFunc(usable, func(h host.Host) bool {
			return h.First <= layer && layer < h.End
		})
	}
	_, err := chain.New(p.Layers, usable)
	gap.noChain = err != nil && !slices.Contains(gap.missing, true)
	return gap
}

// worseThan reports whether the pool lacks something that it did not lack
// before.
func (gap coverageGap) worseThan(before coverageGap) bool {
	for layer, missing := range gap.missing {
		if missing && (layer >= len(before.missing) || !before.missing[layer]) {
			return true
		}
	}
	hadGap := before.noServers || before.noChain || slices.Contains(before.missing, true)
	return (gap.noServers || gap.noChain) && !hadGap
}

// String describes everything that is lacking.
func (gap coverageGap) String() string {
	if gap.noServers {
		return "no server is left"
	}
	if gap.noChain {
		return fmt.Sprintf("the servers' layers do not join up from 0 to %d", len(gap.missing))
	}
	var ranges []string
	for first := 0; first < len(gap.missing); first++ {
		if !gap.missing[first] {
			continue
		}
		end := first
		for end < len(gap.missing) && gap.missing[end] {
			end++
		}
		ranges = append(ranges, fmt.Sprintf("%d to %d", first, end))
		first = end
	}
	return "no server is left for layers " + strings.Join(ranges, " and ")
}
