// Package pool models a pool: the backend servers that together serve one
// model, or that run plain services.
package pool

// Pool is a set of backend servers. It is never changed in place.
type Pool struct {
	// Name is unique among pools.
	Name string `json:"name"`
	// Model is the model that the pool serves; empty for a plain pool.
	Model string `json:"model,omitempty"`
	// Layers is the number of layers of the model; zero for a plain pool.
	Layers int `json:"layers,omitempty"`
	// Servers holds the names of the backend servers, sorted.
	Servers []string `json:"servers"`
	// Revision is the configuration revision that last changed the pool.
	Revision uint64 `json:"revision"`
}

// IsPlain reports whether the pool serves plain services.
func (p Pool) IsPlain() bool {
	return p.Model == ""
}

// MaxLayers is the largest number of layers that a model may have.
const MaxLayers = 10000
