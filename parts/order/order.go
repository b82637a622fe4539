// Package order plans the orders that engines are to get.
//
// An engine whose planned stop has begun is ordered to drain, so that it takes no
// new work from any other client either. An engine whose stop was cancelled is
// ordered to load again. Engines are recorded in the lease before they are ordered
// to drain: otherwise, if the holder of the lease failed right after the order,
// the next holder would not know that the engine has to load again once the stop
// is cancelled. The next holder repeats the order to drain, which is idempotent.
package order

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
)

// The kinds of orders.
const (
	Drain = "drain"
	Load  = "load"
)

// Pending is one order to be sent to one engine.
type Pending struct {
	// Kind is Drain or Load.
	Kind string
	// Host is the engine that gets the order.
	Host host.Host
}

// Plan returns the pending orders, sorted by the name of the engine. Recorded
// holds the engines that may have been ordered to drain and not to load since;
// ordered holds those that this holder of the lease has itself ordered to drain.
func Plan(c *conf.Config, hosts map[string]host.Host, recorded, ordered []string, now time.Time) []Pending {
	var pending []Pending
	if c == nil {
		return nil
	}
	for name, stop := range c.Stops {
		h, listed := hosts[name]
		if listed && h.Role == host.Engine && stop.Begun(now) && !slices.Contains(ordered, name) {
			pending = append(pending, Pending{Drain, h})
		}
	}
	for _, name := range recorded {
		h, listed := hosts[name]
		stop, stopped := c.Stops[name]
		if listed && (!stopped || !stop.Begun(now)) {
			pending = append(pending, Pending{Load, h})
		}
	}
	slices.SortFunc(pending, func(a, b Pending) int {
		if a.Host.Name < b.Host.Name {
			return -1
		}
		return 1
	})
	return pending
}

// Insert returns a sorted list of names with one name added.
func Insert(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	next := append(slices.Clone(names), name)
	slices.Sort(next)
	return next
}

// Remove returns a list of names with one name removed.
func Remove(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// FilterListed returns the names that are in the host list: a host that comes
// back under the same name is a new one.
func FilterListed(names []string, hosts map[string]host.Host) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, listed := hosts[name]
		return !listed
	})
}
