package pick

import (
	"math/rand/v2"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/server"
)

// ServerPicker picks single servers, for services that need no chain. Set the
// exported fields before first use.
type ServerPicker struct {
	// Meters holds the measurements of each server by name.
	Meters map[string]*server.Meter
	// Avoid reports whether a server is used only if there is no other.
	Avoid func(name string) bool
	// Rand is the source of randomness.
	Rand *rand.Rand
}

// Pick returns the better of two random servers (power of two choices). It
// panics if there is none.
func (p *ServerPicker) Pick(servers []host.Host) host.Host {
	if len(servers) == 1 {
		return servers[0]
	}
	i := p.Rand.IntN(len(servers))
	j := p.Rand.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	if p.cost(servers[j].Name) < p.cost(servers[i].Name) {
		i = j
	}
	return servers[i]
}

// cost returns the relative cost of a server: the requests in flight, this one
// included, times the step time.
func (p *ServerPicker) cost(name string) float64 {
	cost := 0.0
	if m := p.Meters[name]; m != nil {
		cost = float64(m.InFlight.Load()+1) * float64(m.Step.Current()+1)
	}
	if p.Avoid != nil && p.Avoid(name) {
		cost += avoidPenalty
	}
	return cost
}
