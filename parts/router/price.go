package router

import (
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// utilizationWeight is the weight of the latest utilization in the smoothed one. Without
// smoothing all hosts move to the domain that looked empty at the last measurement.
const utilizationWeight = 0.3

// minFree is the least free share of a domain in the cost of another domain. It bounds that
// cost to between a twentieth and twenty times remoteStartSeconds.
const minFree = 0.05

// remoteStartCost returns the cost, in seconds, of starting a chain in another failure domain.
// It is lower the less of the local domain is free and higher the less of the other one is, so
// that requests leave a domain before it is full, and stop before the other one is. Between
// domains that are equally full it is the same as without utilizations.
func (q *Query) remoteStartCost(name domain.Name) float64 {
	own, known := q.Utilization[q.LocalDomain]
	other, otherKnown := q.Utilization[name]
	if !known || !otherKnown {
		return remoteStartSeconds
	}
	return remoteStartSeconds * max(minFree, 1-own) / max(minFree, 1-other)
}

// Utilization returns the utilization of the failure domains that hold all layers: the share
// of the usable memory that requests take where it is highest, of the holders of each layer
// together, or the share of the usable slots of the servers where chains start. A server that
// counts as saturated is full.
func Utilization(e *route.Engine, servers []*fleet.Server, used func(id string) Usage) map[domain.Name]float64 {
	sums := map[domain.Name]*domainUsage{}
	for _, s := range servers {
		if s.LayerCount() <= 0 || s.Leaving || s.Suspected {
			continue
		}
		if sums[s.Domain] == nil {
			sums[s.Domain] = &domainUsage{used: make([]float64, e.Layers), capacity: make([]float64, e.Layers)}
		}
		sums[s.Domain].add(s, Capacity(e, s), used(s.ID))
	}
	list := map[domain.Name]float64{}
	for name, d := range sums {
		if highest, complete := d.highest(); complete {
			list[name] = highest
		}
	}
	return list
}

// SmoothUtilization returns the moving average of utilizations that are measured every 200 ms,
// after another one.
func SmoothUtilization(average, latest map[domain.Name]float64) map[domain.Name]float64 {
	next := make(map[domain.Name]float64, len(latest))
	for name, u := range latest {
		before, known := average[name]
		if !known {
			before = u
		}
		next[name] = before + utilizationWeight*(u-before)
	}
	return next
}

// domainUsage is the sum over the servers of a failure domain.
type domainUsage struct {
	// used and capacity are the tokens that are reserved and that fit, by layer.
	used, capacity []float64
	// starts is the number of slots that are taken, and slots that of all. unlimited says
	// that some server where chains start has no limit.
	starts, slots float64
	unlimited     bool
}

func (d *domainUsage) add(s *fleet.Server, capacity float64, u Usage) {
	n := float64(s.LayerCount())
	if u.Full {
		u.TokenLayers, u.Starts = capacity, float64(s.Slots)
	}
	for l := max(0, s.First); l < min(s.End, len(d.used)); l++ {
		d.used[l] += u.TokenLayers / n
		d.capacity[l] += capacity / n
	}
	if s.First == 0 {
		d.starts += u.Starts
		d.slots += float64(s.Slots)
		d.unlimited = d.unlimited || s.Slots <= 0
	}
}

// highest returns the highest utilization, and whether all layers are held.
func (d *domainUsage) highest() (utilization float64, complete bool) {
	for l, capacity := range d.capacity {
		if capacity <= 0 {
			return 0, false
		}
		utilization = max(utilization, d.used[l]/(maxFill*capacity))
	}
	if !d.unlimited {
		utilization = max(utilization, d.starts/(maxFill*max(d.slots, 1)))
	}
	return min(utilization, 1), true
}
