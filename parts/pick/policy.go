package pick

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Policy is a policy for picking a server of a stage: LeastCost, Random,
// RoundRobin or LeastRequests.
type Policy interface{ policy() }

// LeastCost draws two servers weighted by their capacity and picks the one with
// the lower expected cost. It is the default policy.
type LeastCost struct{}

// Random picks a random server.
type Random struct{}

// RoundRobin picks the servers of each stage in turn. Create one with
// NewRoundRobin.
type RoundRobin struct{ counters sync.Map }

// NewRoundRobin returns a round-robin policy.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// nextCount increments the counter of a stage and returns it. Each stage has
// its own: with a common counter, a chain of three stages would use only every
// third server of each.
func (p *RoundRobin) nextCount(stage int) uint64 {
	next, found := p.counters.Load(stage)
	if !found {
		next, _ = p.counters.LoadOrStore(stage, &atomic.Uint64{})
	}
	return next.(*atomic.Uint64).Add(1)
}

// LeastRequests picks the server with the fewest requests of this entry host in
// flight.
type LeastRequests struct{}

func (LeastCost) policy()     {}
func (Random) policy()        {}
func (*RoundRobin) policy()   {}
func (LeastRequests) policy() {}

// Policies lists the names that ParsePolicy accepts.
const Policies = "cost, random, robin or least"

// ParsePolicy returns the policy with the given name.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "cost":
		return LeastCost{}, nil
	case "random":
		return Random{}, nil
	case "robin":
		return NewRoundRobin(), nil
	case "least":
		return LeastRequests{}, nil
	}
	return nil, fmt.Errorf("%q is not %s", name, Policies)
}
