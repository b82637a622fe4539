package route

import "time"

// Service is a group of backend servers that give equivalent responses.
type Service struct {
	Name string
	// Engine describes the backend servers of a model that is split by layers;
	// nil for a plain service.
	Engine *Engine
	// DistinctClasses says that requests to the service may differ in team or priority.
	// Table.Index sets it.
	DistinctClasses bool

	// targets holds, by priority, the longest target of the routes whose requests may be as
	// urgent or less, and untargeted whether one of these routes has none.
	targets    [LowestPriority + 1]time.Duration
	untargeted [LowestPriority + 1]bool
}

// LongestTarget returns the longest target of the routes to the service whose requests may be
// as urgent as the given priority or less; zero if there is none. Unset counts for routes
// without a target.
func (s *Service) LongestTarget(priority int, unset time.Duration) time.Duration {
	priority = min(max(priority, 0), LowestPriority)
	if s.untargeted[priority] {
		return max(s.targets[priority], unset)
	}
	return s.targets[priority]
}

// addRoute records a route to the service whose requests have at most the given priority.
func (s *Service) addRoute(r *Route, lowest int) {
	for priority := range lowest + 1 {
		s.targets[priority] = max(s.targets[priority], r.Target)
		s.untargeted[priority] = s.untargeted[priority] || r.Target == 0
	}
}

// Engine holds the expected performance and sizes of the engines of a service.
type Engine struct {
	// Slots is the number of requests that a backend server runs concurrently
	// as the first of a chain.
	Slots int
	// Layers is the number of layers of the model, and LayerMB the memory of
	// one layer.
	Layers  int
	LayerMB float64
	// TokenBytes is the memory that one token of a request takes over all
	// layers.
	TokenBytes float64
	// HopBytes is the data sent for each token from one backend server of a
	// chain to the next.
	HopBytes float64
	// Step is the time of one token step over all layers on the reference
	// accelerator. StepPerRequest is added for each further request of the
	// batch, and StepPerKiloToken for every 1,000 tokens of context.
	Step, StepPerRequest, StepPerKiloToken time.Duration
	// PrefillPerSec is the number of prompt tokens that the reference
	// accelerator processes per second.
	PrefillPerSec float64
	// StepsPerPass is the number of token steps in one pass through a chain.
	StepsPerPass int
	// InterDomainMbps is the bandwidth of the link that all backend servers of
	// two failure domains share.
	InterDomainMbps float64
	// Load is the time to load all layers.
	Load time.Duration
	// MeanPromptTokens and MeanResponseTokens are the mean lengths of a prompt and of a
	// response, in tokens.
	MeanPromptTokens, MeanResponseTokens int
	// Accelerators holds the kinds of accelerators by name.
	Accelerators map[string]Accelerator
	// Model is the name of the model.
	Model string
}

// concurrentLoadFactor is the factor by which other loads at the same time may slow a
// load down.
const concurrentLoadFactor = 2

// LoadDuration returns the time to load a number of layers while no other load runs.
func (e *Engine) LoadDuration(layers int) time.Duration {
	return e.Load * time.Duration(layers) / time.Duration(max(e.Layers, 1))
}

// MaxLoadDuration returns the time to load a number of layers while others load as well.
func (e *Engine) MaxLoadDuration(layers int) time.Duration {
	return concurrentLoadFactor * e.LoadDuration(layers)
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	// MemoryMB is the memory for layers and requests.
	MemoryMB float64
	// StepFactor and PrefillFactor are the times for a token step and for
	// processing a prompt, relative to the reference accelerator.
	StepFactor, PrefillFactor float64
}
