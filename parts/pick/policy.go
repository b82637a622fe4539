package pick

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Policy is a way to choose among the servers of a stage: Cost, Random, Robin
// or Least.
type Policy interface{ policy() }

// Cost takes the cheaper of two servers drawn by their capacity, by the wait
// to expect there. It is what the system ships.
type Cost struct{}

// Random takes any server.
type Random struct{}

// Robin takes the servers of each stage in turn. Make one with NewRobin.
type Robin struct{ next sync.Map }

// NewRobin returns a Robin.
func NewRobin() *Robin {
	return &Robin{}
}

// turn returns the next number of a stage. Each stage counts for itself: with
// one count for all, a chain of three stages would meet every third server of
// each only.
func (p *Robin) turn(stage int) uint64 {
	next, found := p.next.Load(stage)
	if !found {
		next, _ = p.next.LoadOrStore(stage, &atomic.Uint64{})
	}
	return next.(*atomic.Uint64).Add(1)
}

// Least takes the server with the fewest of this entry's requests in flight.
type Least struct{}

func (Cost) policy()   {}
func (Random) policy() {}
func (*Robin) policy() {}
func (Least) policy()  {}

// Policies lists the names that Parse knows.
const Policies = "cost, random, robin or least"

// Parse returns the policy of a name.
func Parse(name string) (Policy, error) {
	switch name {
	case "cost":
		return Cost{}, nil
	case "random":
		return Random{}, nil
	case "robin":
		return NewRobin(), nil
	case "least":
		return Least{}, nil
	}
	return nil, fmt.Errorf("%q is not %s", name, Policies)
}
