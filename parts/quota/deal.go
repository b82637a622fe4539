// Package quota models the contract with a team: what share of the system it
// may use, and how much at most.
package quota

// Quota is a team's contract.
type Quota struct {
	// Share is the team's weight when the system is full; at least 1.
	Share int `json:"share"`
	// Rate is the most requests per second over all entries; zero means no
	// limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the most requests that may come at once above Rate.
	Burst int `json:"burst,omitempty"`
}
