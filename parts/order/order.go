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

// Pending is one order for one engine.
type Pending struct {
	// Kind is Drain or Load.
	Kind string
	Host host.Host
}

// Plan returns the orders that are due, by name of the engine. Noted are the
// engines that may have been told to drain and not to load since; ordered are
// those that this holder told itself.
func Plan(c *conf.Config, hosts map[string]host.Host, noted, ordered []string, now time.Time) []Pending {
	var due []Pending
	if c == nil {
		return nil
	}
	for name, stop := range c.Stops {
		h, listed := hosts[name]
		if listed && h.Role == host.Engine && stop.Begun(now) && !slices.Contains(ordered, name) {
			due = append(due, Pending{Drain, h})
		}
	}
	for _, name := range noted {
		h, listed := hosts[name]
		stop, stopped := c.Stops[name]
		if listed && (!stopped || !stop.Begun(now)) {
			due = append(due, Pending{Load, h})
		}
	}
	slices.SortFunc(due, func(a, b Pending) int {
		if a.Host.Name < b.Host.Name {
			return -1
		}
		return 1
	})
	return due
}

// Insert returns a list of names, sorted, with one more.
func Insert(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	next := append(slices.Clone(names), name)
	slices.Sort(next)
	return next
}

// Remove returns a list of names without one.
func Remove(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// FilterListed returns the names that the host list has: a host that comes back
// under a name is a new one.
func FilterListed(names []string, hosts map[string]host.Host) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, listed := hosts[name]
		return !listed
	})
}
