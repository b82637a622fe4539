// Package rule models services and the routing rules that send a team's
// requests for a service to a pool.
package rule

import "time"

// Service is a model or a plain service that callers request by name.
type Service struct {
	// Name is unique among services.
	Name string `json:"name"`
	// Model is the model that serves the requests; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Path is the path prefix of a plain service, for example "/booking".
	Path string `json:"path,omitempty"`
	// Retryable says that a call may be repeated. Calls of any other service
	// are sent to a backend server at most once.
	Retryable bool `json:"repeat"`
	// OptionalID says that a call that may not be repeated needs no ID from the
	// caller. Each call without one is then a new request.
	OptionalID bool `json:"freeId,omitempty"`
	// Guarded says that the backend servers themselves refuse repeated calls,
	// so that calls can be served while the object API is down.
	Guarded bool `json:"guarded,omitempty"`
	// Deadline is the longest time for one request; zero means DefaultDeadline.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Revision is the configuration revision that last changed the service.
	Revision uint64 `json:"revision"`
}

// IsPlain reports whether this is a plain service, one without a model.
func (s Service) IsPlain() bool {
	return s.Model == ""
}

// DefaultDeadline is the deadline of a service that sets none.
const DefaultDeadline = 30 * time.Second

// EffectiveDeadline returns the deadline that applies to one request.
func (s Service) EffectiveDeadline() time.Duration {
	if s.Deadline == 0 {
		return DefaultDeadline
	}
	return s.Deadline
}

// Rule sends requests for a service to a pool.
type Rule struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Team restricts the rule to one team; empty means every team without a
	// rule of its own.
	Team string `json:"team,omitempty"`
	// Pool is the pool that the requests go to.
	Pool string `json:"pool"`
	// Revision is the configuration revision that last changed the rule.
	Revision uint64 `json:"revision"`
}

// The bounds of a service's deadline. A shorter one would reject calls over a
// slow link; a longer one would keep claims on calls, and the streams of a
// leaving host, for longer than operators can wait.
const (
	MinDeadline = 100 * time.Millisecond
	MaxDeadline = 2 * time.Minute
)
