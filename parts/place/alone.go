package place

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Demand is the demand of the callers of a failure domain, in tokens of prompt and response
// per second.
type Demand struct {
	// Mean and Max are the mean and the maximum over some waves.
	Mean, Max float64
}

// Excess returns the mean demand beyond a capacity, if the demand is at its maximum for half
// of the time, and as far below its mean for the other half.
func (d Demand) Excess(capacity float64) float64 {
	return max(0, d.Max-capacity)/2 + max(0, 2*d.Mean-d.Max-capacity)/2
}

// Standalone returns the standalone capacity of each failure domain that holds all layers:
// how many tokens of prompt and response its servers can process per second without those of
// other domains. Servers that are leaving or suspected do not count. Only the memory for
// requests limits it, not the slots of the servers.
func Standalone(e *route.Engine, servers []*fleet.Server) map[domain.Name]float64 {
	flows := map[domain.Name]*flow{}
	for _, s := range servers {
		if s.Leaving || s.Suspected || s.LayerCount() <= 0 || e.Accelerators[s.Accelerator].MemoryMB <= 0 {
			continue
		}
		if flows[s.Domain] == nil {
			flows[s.Domain] = newFlow(e)
		}
		flows[s.Domain].add(s, span{max(0, s.First), min(s.End, e.Layers)}, 1)
	}
	list := map[domain.Name]float64{}
	for name, f := range flows {
		if f.complete() {
			list[name] = f.rate()
		}
	}
	return list
}

// flow is what the requests of a set of servers can use, by layer.
type flow struct {
	engine *route.Engine
	// holders is the number of servers that hold each layer, and tokens what fits into them
	// together. tokenSeconds is the sum of the tokens of each server times the time that
	// the layer takes there.
	holders              []int
	tokens, tokenSeconds []float64
}

func newFlow(e *route.Engine) *flow {
	return &flow{engine: e, holders: make([]int, e.Layers), tokens: make([]float64, e.Layers), tokenSeconds: make([]float64, e.Layers)}
}

// add adds a range that a server holds if by is 1, or removes it if by is -1.
func (f *flow) add(s *fleet.Server, r span, by int) {
	tokens, seconds := layerFlow(f.engine, s, r.len())
	for l := r.first; l < r.end; l++ {
		f.holders[l] += by
		f.tokens[l] += float64(by) * tokens
		f.tokenSeconds[l] += float64(by) * tokens * seconds
	}
}

// complete reports whether all layers are held.
func (f *flow) complete() bool { return slices.Min(f.holders) > 0 }

// seconds returns the time that a mean-sized request takes through all layers, if requests
// are spread over the holders of each layer by their capacity.
func (f *flow) seconds() float64 {
	sum := 0.0
	for l, tokens := range f.tokens {
		sum += f.tokenSeconds[l] / max(tokens, 1)
	}
	return sum
}

// rate returns the tokens per second that pass through all layers. A request takes memory
// of each layer until it ends.
func (f *flow) rate() float64 {
	return max(0, slices.Min(f.tokens)) / max(f.seconds(), 1e-9)
}

// layerFlow returns the tokens that fit into a server which holds the given number of
// layers, and the time that each layer then adds to a mean-sized request there.
func layerFlow(e *route.Engine, s *fleet.Server, layers int) (tokens, seconds float64) {
	tokens = capacity(e, s, layers)
	a := e.Accelerators[s.Accelerator]
	prompt, response := float64(e.MeanPromptTokens), float64(e.MeanResponseTokens)
	requests := tokens / max(prompt+response, 1)
	context := time.Duration(requests * (prompt + response/2) / 1000 * float64(e.StepPerKiloToken))
	step := e.Step + time.Duration(requests*float64(e.StepPerRequest)) + context
	perLayer := (step.Seconds()*a.StepFactor*response + prompt/max(e.PrefillPerSec, 1)*a.PrefillFactor) / float64(e.Layers)
	hop := hopLatency.Seconds() * response / float64(max(layers, 1))
	return tokens, perLayer*max(1, s.SlowdownFactor) + hop
}
