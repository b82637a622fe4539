// Package host models the platform's host list: which hosts exist, what runs on
// each, and which are leaving. The list lags behind, so a host that it shows
// as live may no longer exist.
package host

import "fuchsiashelf.dev/parts/domain"

// State is the state of a host according to the platform.
type State string

// The states of a host. A host that is gone is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role says what runs on a host.
type Role string

// The roles of a host.
const (
	// Entry hosts run fsentry.
	Entry Role = "entry"
	// Engine hosts run a model engine that holds a range of layers.
	Engine Role = "engine"
	// Plain hosts run a plain service.
	Plain Role = "plain"
)

// Host is one entry of the host list.
type Host struct {
	// Name is unique across all regions.
	Name string `json:"name"`
	// Address is the host:port of what runs on the host; for an entry host,
	// that of its listener for peers.
	Address string `json:"address"`
	// Domain is the failure domain that the host is in.
	Domain domain.Name `json:"domain"`
	// Role says what runs there.
	Role Role `json:"role"`
	// State is Live or Leaving.
	State State `json:"state"`
	// Kind is the kind of accelerator of an engine.
	Kind string `json:"kind,omitempty"`
	// Model is the model whose layers an engine holds.
	Model string `json:"model,omitempty"`
	// First is the first layer that an engine holds.
	First int `json:"first,omitempty"`
	// End is one past the last layer that an engine holds.
	End int `json:"end,omitempty"`
	// Fencing reports whether the engine refuses an order whose fencing number
	// is lower than one it has seen.
	Fencing bool `json:"fencing,omitempty"`
}

// List is the host list at one revision.
type List struct {
	// Revision grows with each change.
	Revision uint64 `json:"revision"`
	// Hosts are in no particular order.
	Hosts []Host `json:"hosts"`
}
