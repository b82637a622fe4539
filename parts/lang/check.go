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

// fits reports why a host cannot serve in a pool.
func fits(p pool.Pool, h host.Host) error {
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

// check looks at the whole configuration. Only what the line itself made
// worse refuses it: hosts come and go, and a pool that lost its cover that way
// must not keep the operators from setting anything else.
func (e *edit) check() error {
	if e.anyway {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(e.Pools)) {
		now := lacking(e.Pools[name], e.Stops, e.world.Hosts)
		old := lack{}
		if p, existed := e.before.Pools[name]; existed {
			old = lacking(p, e.before.Stops, e.world.Hosts)
		}
		if now.worse(old) {
			return fault(e.at, "pool %s: %s (end the line with anyway to do it all the same)", name, now)
		}
	}
	return nil
}

// lack is what a pool lacks once all planned stops have begun.
type lack struct {
	// empty says that a plain pool has no server left.
	empty bool
	// missing tells for each layer whether no server is left for it.
	missing []bool
	// apart says that servers are left for all layers, but that their ranges
	// do not join up to a chain.
	apart bool
}

func lacking(p pool.Pool, stops map[string]conf.Stop, hosts map[string]host.Host) lack {
	var usable []host.Host
	for _, name := range p.Servers {
		h, listed := hosts[name]
		_, stopped := stops[name]
		if listed && !stopped && h.State != host.Leaving {
			usable = append(usable, h)
		}
	}
	if p.IsPlain() {
		return lack{empty: len(usable) == 0}
	}
	l := lack{missing: make([]bool, p.Layers)}
	for layer := range l.missing {
		l.missing[layer] = !slices.ContainsFunc(usable, func(h host.Host) bool {
			return h.First <= layer && layer < h.End
		})
	}
	_, err := chain.New(p.Layers, usable)
	l.apart = err != nil && !slices.Contains(l.missing, true)
	return l
}

// worse reports whether something is lacking that was not before.
func (l lack) worse(old lack) bool {
	for layer, missing := range l.missing {
		if missing && (layer >= len(old.missing) || !old.missing[layer]) {
			return true
		}
	}
	was := old.empty || old.apart || slices.Contains(old.missing, true)
	return (l.empty || l.apart) && !was
}

// String names all that is lacking.
func (l lack) String() string {
	if l.empty {
		return "no server is left"
	}
	if l.apart {
		return fmt.Sprintf("the servers' layers do not join up from 0 to %d", len(l.missing))
	}
	var ranges []string
	for first := 0; first < len(l.missing); first++ {
		if !l.missing[first] {
			continue
		}
		end := first
		for end < len(l.missing) && l.missing[end] {
			end++
		}
		ranges = append(ranges, fmt.Sprintf("%d to %d", first, end))
		first = end
	}
	return "no server is left for layers " + strings.Join(ranges, " and ")
}
