package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

const (
	// maxTargetRequests is the highest target capacity of a server, in requests of
	// mean size.
	maxTargetRequests = 160
	// severalCopies is the number of copies of all layers from which on the highest
	// target is used.
	severalCopies = 2
	// targetSteps is the number of target capacities that are compared.
	targetSteps = 50
	// hopLatency is the latency that each server adds to a token besides its own step:
	// the link, and the wait for the step in progress there.
	hopLatency = 200 * time.Microsecond
)

// accelerator is one kind of accelerator in a group.
type accelerator struct {
	route.Accelerator
	// servers is the number of servers that have it.
	servers int
	// layerSeconds is the time per layer that a mean-sized request takes there.
	layerSeconds float64
}

// acceleratorsOf counts the kinds of accelerators of the servers.
func acceleratorsOf(e *route.Engine, servers []*fleet.Server) map[string]*accelerator {
	accelerators := map[string]*accelerator{}
	for _, s := range servers {
		if accelerators[s.Accelerator] == nil {
			a := &accelerator{Accelerator: e.Accelerators[s.Accelerator]}
			a.layerSeconds = a.layerTime(e)
			accelerators[s.Accelerator] = a
		}
		accelerators[s.Accelerator].servers++
	}
	return accelerators
}

// layerTime returns the seconds per layer that a mean-sized request takes on a server
// with the highest target capacity.
func (a *accelerator) layerTime(e *route.Engine) float64 {
	n := max(1, maxLayersWithCapacity(e, a.MemoryMB, maxTargetTokens(e)))
	decode := a.stepTime(e, n).Seconds() * float64(e.MeanResponseTokens) / float64(n)
	prefill := float64(e.MeanPromptTokens) / max(e.PrefillPerSec, 1) * a.PrefillFactor / float64(e.Layers)
	return decode + prefill
}

// stepTime returns how long a token takes to reach a server and pass through the
// given number of layers there.
func (a *accelerator) stepTime(e *route.Engine, layers int) time.Duration {
	step := float64(e.Step) * a.StepFactor * float64(layers) / float64(e.Layers)
	return hopLatency + time.Duration(step)
}

// maxTargetTokens returns the highest target capacity of each server, in tokens.
func maxTargetTokens(e *route.Engine) float64 {
	return maxTargetRequests * float64(e.MeanPromptTokens+e.MeanResponseTokens)
}

// targetCapacity returns the capacity for requests, in tokens, that each server should
// keep besides its layers. A lower target lets the fastest servers hold more of the
// layers: a response then takes less time, fewer of them are in progress when a server
// fails, and less capacity is needed.
//
// Of the targets that the servers can meet, it is the one with the highest score: its
// headroom divided by the time of a response. Headroom is the number of requests that
// fit divided by the number in flight at a given load, which grows with that time. The
// second division by the time accounts for failures, which can hit a response for as
// long as it takes. Where the layers are held several times, most requests take other
// chains than the fastest one, and capacity matters more than the speed of that chain.
func (g *group) targetCapacity() float64 {
	if g.totalLayersWithCapacity(maxTargetTokens(g.engine)) >= severalCopies*g.engine.Layers {
		return maxTargetTokens(g.engine)
	}
	accelerators := slices.SortedFunc(maps.Values(g.accelerators), func(a, b *accelerator) int { return cmp.Compare(a.layerSeconds, b.layerSeconds) })
	var best, bestScore float64
	for i := targetSteps; i > 0; i-- {
		tokens := maxTargetTokens(g.engine) * float64(i) / targetSteps
		seconds, complete := tokenTime(g.engine, accelerators, tokens)
		if score := tokens / (seconds * seconds); complete && score > bestScore {
			best, bestScore = tokens, score
		}
	}
	return best
}

// totalLayersWithCapacity returns how many layers the servers hold together if each
// keeps the given capacity.
func (g *group) totalLayersWithCapacity(tokens float64) int {
	sum := 0
	for _, a := range g.accelerators {
		sum += a.servers * maxLayersWithCapacity(g.engine, a.MemoryMB, tokens)
	}
	return sum
}

// tokenTime returns the seconds that a token takes through all layers if each server
// keeps the given capacity and the layers are given to the servers in the order of the
// accelerators, as many to each as it can hold. Complete is false if all servers
// together cannot hold the model.
func tokenTime(e *route.Engine, accelerators []*accelerator, tokens float64) (seconds float64, complete bool) {
	remaining := e.Layers
	for _, a := range accelerators {
		n := maxLayersWithCapacity(e, a.MemoryMB, tokens)
		for range a.servers {
			if n <= 0 || remaining == 0 {
				break
			}
			held := min(n, remaining)
			seconds += a.stepTime(e, held).Seconds()
			remaining -= held
		}
	}
	return seconds, remaining == 0
}
