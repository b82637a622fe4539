// Package order decides which orders the engines are due.
//
// An engine whose planned stop has begun is told to drain, so that it takes
// no new work from anyone else either; one whose stop was taken back is told
// to load again. The engines that may have been told to drain are noted in the
// lease before they are: a holder that is gone right after the order would
// otherwise leave an engine drained that nobody tells to load. A successor
// orders them once more, which changes nothing.
package order

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
)

// The orders.
const (
	Drain = "drain"
	Load  = "load"
)

// Due is one order for one engine.
type Due struct {
	// Order is Drain or Load.
	Order string
	Host  host.Host
}

// List returns the orders that are due, by name of the engine. Noted are the
// engines that may have been told to drain and not to load since; ordered are
// those that this holder told itself.
func List(c *conf.Config, hosts map[string]host.Host, noted, ordered []string, now time.Time) []Due {
	var due []Due
	if c == nil {
		return nil
	}
	for name, stop := range c.Stops {
		h, listed := hosts[name]
		if listed && h.Role == host.Engine && stop.Begun(now) && !slices.Contains(ordered, name) {
			due = append(due, Due{Drain, h})
		}
	}
	for _, name := range noted {
		h, listed := hosts[name]
		stop, stopped := c.Stops[name]
		if listed && (!stopped || !stop.Begun(now)) {
			due = append(due, Due{Load, h})
		}
	}
	slices.SortFunc(due, func(a, b Due) int {
		if a.Host.Name < b.Host.Name {
			return -1
		}
		return 1
	})
	return due
}

// With returns a list of names, sorted, with one more.
func With(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	next := append(slices.Clone(names), name)
	slices.Sort(next)
	return next
}

// Without returns a list of names without one.
func Without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// Listed returns the names that the host list has: a host that comes back
// under a name is a new one.
func Listed(names []string, hosts map[string]host.Host) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, listed := hosts[name]
		return !listed
	})
}
