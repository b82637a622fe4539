package pick

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Policy is a way to choose among the servers of a stage: Cost, Random, Robin
// or Least.
type Policy interface{ policy() }

// LeastCost takes the cheaper of two servers drawn by their capacity, by the wait
// to expect there. It is what the system ships.
type LeastCost struct{}

// Random takes any server.
type Random struct{}

// RoundRobin takes the servers of each stage in turn. Make one with NewRobin.
type RoundRobin struct{ next sync.Map }

// NewRoundRobin returns a Robin.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// turn returns the next number of a stage. Each stage counts for itself: with
// one count for all, a chain of three stages would meet every third server of
// each only.
func (p *RoundRobin) turn(stage int) uint64 {
	next, found := p.next.Load(stage)
	if !found {
		next, _ = p.next.LoadOrStore(stage, &atomic.Uint64{})
	}
	return next.(*atomic.Uint64).Add(1)
}

// LeastRequests takes the server with the fewest of this entry's requests in flight.
type LeastRequests struct{}

func (LeastCost) policy()     {}
func (Random) policy()        {}
func (*RoundRobin) policy()   {}
func (LeastRequests) policy() {}

// Policies lists the names that Parse knows.
const Policies = "cost, random, robin or least"

// ParsePolicy returns the policy of a name.
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
