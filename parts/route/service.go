package route

import "time"

// Service is a group of backend servers that give the same answers.
type Service struct {
	Name string
	// Engine describes the backend servers of a model that is split by layers;
	// nil for a plain service.
	Engine *Engine
}

// Engine is what is known beforehand of the engines of a service.
type Engine struct {
	// Slots is how many requests a backend server runs at once as the first
	// of a chain.
	Slots int
	// Layers is the number of layers of the model, and LayerMB the memory of
	// one of them.
	Layers  int
	LayerMB float64
	// TokenBytes is the memory that one token of a request takes over all
	// layers.
	TokenBytes float64
	// HopBytes is what a token takes on the way from one backend server of a
	// chain to the next.
	HopBytes float64
	// Step is the time of one token step over all layers on a card of pace 1,
	// StepPerRequest what each further request of the batch adds, and StepPerKiloToken
	// what 1,000 tokens of context add.
	Step, StepPerRequest, StepPerKiloToken time.Duration
	// PrefillPerSec is how many prompt tokens a card of pace 1 reads in a second.
	PrefillPerSec float64
	// StepsPerPass is how many steps one pass makes.
	StepsPerPass int
	// InterDomainMbps is the rate of the link that all backend servers of two failure
	// domains share.
	InterDomainMbps float64
	// Load is the time to load all layers.
	Load time.Duration
	// Usual are the mean sizes of a prompt and of an answer, in tokens.
	MeanPrompt, MeanAnswer int
	// Accelerators are the kinds of accelerators by name.
	Accelerators map[string]Accelerator
	// Model is the name of the model.
	Model string
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	// MemoryMB holds the layers and the requests.
	MemoryMB float64
	// StepFactor and PrefillFactor say how many times longer than the reference card it takes
	// for a token step and for reading a prompt.
	StepFactor, PrefillFactor float64
}
