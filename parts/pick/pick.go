// Package pick chooses a backend server for each stage of a chain.
package pick

import (
	"math/rand/v2"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/server"
)

// Picker chooses chains. Set the exported fields before first use.
type Picker struct {
	// Meters holds the figures of each server.
	Meters map[string]*server.Meter
	// Avoid reports servers that are used only if there is no other.
	Avoid func(name string) bool
	// Rand is the random source.
	Rand *rand.Rand
}

// Chain chooses a server for each stage, from the first layer to the last.
func (p *Picker) Chain(g *chain.Graph) []engine.Stage {
	var stages []engine.Stage
	for at := 0; at < g.Layers; {
		s := p.One(g.From[at])
		stages = append(stages, chain.Stage(s))
		at = s.End
	}
	return stages
}

// One chooses the better of two servers taken at random (power of two
// choices). It panics if there is none.
func (p *Picker) One(servers []host.Host) host.Host {
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

// avoided is added to the cost of a server that is to be avoided.
const avoided = 1e12

func (p *Picker) cost(name string) float64 {
	cost := 0.0
	if m := p.Meters[name]; m != nil {
		cost = float64(m.InFlight.Load()+1) * float64(m.Gap()+1)
	}
	if p.Avoid != nil && p.Avoid(name) {
		cost += avoided
	}
	return cost
}
