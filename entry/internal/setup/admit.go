package setup

import (
	"flag"
	"fmt"
	"time"
)

// Admit are the settings of admission.
type Admit struct {
	// Wait is the longest time that a request waits for its pool.
	Wait time.Duration
	// Target is the wait of tokens at engines to aim at, in steps.
	Target float64
	// Requests and Bytes bound what waits for one pool.
	Requests, Bytes int
	// Reserve is the part above a pool's limit for teams below their share.
	Reserve float64
	// Credit is the work that a team may save up, in tokens for each unit of
	// its share.
	Credit float64
}

func (a *Admit) flags(fs *flag.FlagSet) {
	fs.DurationVar(&a.Wait, "queue-wait", 200*time.Millisecond, "longest wait of a request for its pool; a request that would wait longer is refused at once")
	fs.IntVar(&a.Requests, "queue-requests", 1024, "most requests that wait for one pool")
	fs.IntVar(&a.Bytes, "queue-bytes", 16<<20, "most memory that requests waiting for one pool hold, in bytes")
	fs.Float64Var(&a.Target, "queue-target", 4, "wait of a token at engines to aim at, in steps of the engine")
	fs.Float64Var(&a.Credit, "queue-credit", 500, "tokens that a team may save up, for each unit of its share, while it uses less than its share")
	fs.Float64Var(&a.Reserve, "queue-reserve", 1, "part above a pool's limit for teams below their share")
}

func (a *Admit) check() []error {
	var faults []error
	if a.Wait < 0 {
		faults = append(faults, fmt.Errorf("-queue-wait: %s is below 0", a.Wait))
	}
	if a.Requests < 0 {
		faults = append(faults, fmt.Errorf("-queue-requests: %d is below 0", a.Requests))
	}
	if a.Bytes < 0 {
		faults = append(faults, fmt.Errorf("-queue-bytes: %d is below 0", a.Bytes))
	}
	if a.Target <= 0 {
		faults = append(faults, fmt.Errorf("-queue-target: %v is not above 0", a.Target))
	}
	if a.Reserve < 0 || a.Reserve > 4 {
		faults = append(faults, fmt.Errorf("-queue-reserve: %v is not from 0 to 4", a.Reserve))
	}
	if a.Credit < 0 {
		faults = append(faults, fmt.Errorf("-queue-credit: %v is below 0", a.Credit))
	}
	return faults
}
