// Package conf models the configuration that the operators set: services,
// pools, rules and planned stops.
//
// The whole configuration is one object of the object API. Its [Config] carries
// a revision that grows by one with each accepted line, so that any two
// configurations can be compared and an older one never replaces a newer one. A
// Config is never changed in place: a change makes a new one.
package conf

import (
	"time"

	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
)

// Key is the key of the configuration object in the object API.
const Key = "config/desk"

// TeamsKey is the key of the teams object in the object API.
const TeamsKey = "config/teams"

// Prefix is the common prefix of Key and TeamsKey, so that one watch covers
// both.
const Prefix = "config/"

// Stop is a planned stop of a backend server.
type Stop struct {
	// Server is the backend server to stop.
	Server string `json:"server"`
	// At is when the stop begins; the zero time means at once.
	At time.Time `json:"at,omitzero"`
	// Revision is the configuration revision that set the stop.
	Revision uint64 `json:"revision"`
}

// Begun reports whether the stop has begun at the given time.
func (s Stop) Begun(now time.Time) bool {
	return !now.Before(s.At)
}

// Line is the record of one accepted line of the operators' language.
type Line struct {
	// ID identifies the line, so that a repeated line is recognized.
	ID string `json:"id"`
	// Revision is the configuration revision that the line created.
	Revision uint64 `json:"revision"`
	// Operator is the name of the operator who sent the line.
	Operator string `json:"operator"`
	// Text is the line as the operator sent it.
	Text string `json:"text"`
	// Resource names what the line changed, for example "pool assist".
	Resource string `json:"thing"`
	// At is when the line was accepted.
	At time.Time `json:"at"`
}

// Config is the configuration at one revision.
type Config struct {
	// Revision grows by one with each accepted line.
	Revision uint64 `json:"revision"`
	// Epoch is incremented whenever a configuration in force overwrites a stored
	// one that lacks some of its lines, which ends the history of the stored one.
	Epoch uint64 `json:"epoch,omitempty"`
	// Services holds the services by name.
	Services map[string]rule.Service `json:"services"`
	// Pools holds the pools by name.
	Pools map[string]pool.Pool `json:"pools"`
	// Rules holds the rules in no particular order, at most one for each
	// service and team.
	Rules []rule.Rule `json:"rules"`
	// Stops holds the planned stops by server.
	Stops map[string]Stop `json:"stops"`
	// History holds the latest accepted lines, oldest first.
	History []Line `json:"tail"`
}

// Route returns the pool for a team's requests for a service. A rule for the
// team takes precedence over the rule for every team.
func (c *Config) Route(service, team string) (pool.Pool, bool) {
	if c == nil {
		return pool.Pool{}, false
	}
	name := ""
	for _, r := range c.Rules {
		if r.Service != service {
			continue
		}
		if r.Team == team {
			name = r.Pool
			break
		}
		if r.Team == "" {
			name = r.Pool
		}
	}
	p, ok := c.Pools[name]
	return p, ok
}
