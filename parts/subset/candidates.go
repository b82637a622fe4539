package subset

import (
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Candidates returns the servers of a service to which a host of a failure domain
// connects, without those that are leaving. An engine is nil for a plain service. Hosts
// connect only to the first server of a chain, so of engines these are the servers with
// layer 0. Suspected servers are excluded, and those of other failure domains that do not
// hold all layers.
func Candidates(e *route.Engine, local domain.Name, servers []*fleet.Server) []Server {
	complete := map[domain.Name]bool{}
	var list []Server
	for _, s := range servers {
		if s.Leaving || e != nil && (s.First != 0 || s.End <= 0) {
			continue
		}
		if _, known := complete[s.Domain]; !known {
			complete[s.Domain] = e == nil || s.Domain == local || holdsAll(e.Layers, s.Domain, servers)
		}
		list = append(list, Server{ID: s.ID, Domain: s.Domain, Weight: weight(e, s), Excluded: s.Suspected || !complete[s.Domain]})
	}
	return list
}

// weight returns the capacity of a server relative to others of its service: how many
// requests it runs at once, by the time of each.
func weight(e *route.Engine, s *fleet.Server) float64 {
	w := float64(max(s.Slots, 1))
	if e == nil {
		return w
	}
	if a, known := e.Accelerators[s.Accelerator]; known && a.StepFactor > 0 {
		w /= a.StepFactor
	}
	return w
}

// holdsAll reports whether the usable servers of a failure domain hold all layers.
func holdsAll(layers int, name domain.Name, servers []*fleet.Server) bool {
	held := make([]bool, layers)
	for _, s := range servers {
		if s.Domain != name || s.Leaving || s.Suspected {
			continue
		}
		for layer := max(s.First, 0); layer < min(s.End, layers); layer++ {
			held[layer] = true
		}
	}
	for _, h := range held {
		if !h {
			return false
		}
	}
	return true
}
