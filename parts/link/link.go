// Package link models the links between backend servers. Their delays differ
// a hundredfold and change without warning, so a delay is always a
// measurement and never a setting.
package link

// Key names the directed link between two backend servers.
type Key struct {
	// From and To are names of backend servers.
	From, To string
}
