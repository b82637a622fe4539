// Package order decides which orders the engines are due.
//
// An engine whose planned stop has begun is told to drain, so that it takes
// no new work from anyone else either; one whose stop was taken back is told
// to load again. What was ordered is kept by the holder of the lease and left
// to its successor with each renewal; what was ordered since the last renewal
// is ordered once more, which changes nothing.
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

// List returns the orders that are due, by name of the engine. Drained are the
// engines that were told to drain and not to load since.
func List(c *conf.Config, hosts map[string]host.Host, drained []string, now time.Time) []Due {
	var due []Due
	if c == nil {
		return nil
	}
	for name, stop := range c.Stops {
		h, listed := hosts[name]
		if listed && h.Role == host.Engine && stop.Begun(now) && !slices.Contains(drained, name) {
			due = append(due, Due{Drain, h})
		}
	}
	for _, name := range drained {
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

// Taken returns the drained engines after an order took effect.
func Taken(drained []string, d Due) []string {
	rest := slices.DeleteFunc(slices.Clone(drained), func(name string) bool { return name == d.Host.Name })
	if d.Order == Drain {
		rest = append(rest, d.Host.Name)
	}
	slices.Sort(rest)
	return rest
}

// Gone returns the drained engines without those that are not listed any
// more: a host that comes back under the name is a new one.
func Gone(drained []string, hosts map[string]host.Host) []string {
	return slices.DeleteFunc(slices.Clone(drained), func(name string) bool {
		_, listed := hosts[name]
		return !listed
	})
}
