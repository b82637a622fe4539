// Package quota models a team's quota: its share of the system under load, and
// its maximum request rate.
package quota

// Quota is the share and the rate limit of a team.
type Quota struct {
	// Share is the team's weight when the system is at capacity; at least 1.
	Share int `json:"share"`
	// Rate is the maximum number of requests per second over all entry hosts;
	// zero means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests that may exceed Rate at once.
	Burst int `json:"burst,omitempty"`
}
