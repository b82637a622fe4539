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

// Robin takes the servers of each stage in turn. A count for all stages
// together would take the same few of each, since a chain moves it on by the
// number of stages.
type Robin struct {
	// next holds an *atomic.Uint32 for each stage by its first server.
	next sync.Map
}

// turn returns the next turn of a stage.
func (r *Robin) turn(s *stage) uint64 {
	count, _ := r.next.LoadOrStore(s.choices[0].name, &atomic.Uint32{})
	return uint64(count.(*atomic.Uint32).Add(1))
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
		return &Robin{}, nil
	case "least":
		return Least{}, nil
	}
	return nil, fmt.Errorf("%q is not %s", name, Policies)
}
