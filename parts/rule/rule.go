// Package rule models services and the routing rules that lead a team's
// requests for a service to a pool.
package rule

import "time"

// Service is something that callers ask for by name.
type Service struct {
	// Name is unique among services.
	Name string `json:"name"`
	// Model is the model that answers; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Path is the path prefix of a plain service, for example "/booking".
	Path string `json:"path,omitempty"`
	// Retryable says that a call may be repeated. Calls of a service without it
	// are sent to a backend server at most once.
	Retryable bool `json:"repeat"`
	// OptionalID says that a call that may not be repeated needs no id of the
	// caller's. Each call without one is then a new request.
	OptionalID bool `json:"freeId,omitempty"`
	// Guarded says that the backend servers themselves refuse repeats, so
	// that calls may go on while the object API is down.
	Guarded bool `json:"guarded,omitempty"`
	// Deadline is the longest time for one request; zero means the default.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Revision is the configuration revision that last changed the service.
	Revision uint64 `json:"revision"`
}

// IsPlain reports whether the service is a plain one, with no model.
func (s Service) IsPlain() bool {
	return s.Model == ""
}

// DefaultDeadline is the deadline of a service that states none.
const DefaultDeadline = 30 * time.Second

// EffectiveDeadline returns the deadline in force for one request.
func (s Service) EffectiveDeadline() time.Duration {
	if s.Deadline == 0 {
		return DefaultDeadline
	}
	return s.Deadline
}

// Rule leads requests for a service to a pool.
type Rule struct {
	// Service is the service asked for.
	Service string `json:"service"`
	// Team restricts the rule to one team; empty means every team that has
	// no rule of its own.
	Team string `json:"team,omitempty"`
	// Pool is where the requests go.
	Pool string `json:"pool"`
	// Revision is the configuration revision that last changed the rule.
	Revision uint64 `json:"revision"`
}

// The bounds of a service's deadline. A shorter one would refuse calls that
// merely cross a slow link; a longer one would hold claims on calls, and the
// streams of a host that is to leave, for longer than operators can wait.
const (
	MinDeadline = 100 * time.Millisecond
	MaxDeadline = 2 * time.Minute
)
