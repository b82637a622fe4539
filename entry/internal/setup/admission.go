package setup

import (
	"flag"
	"fmt"
	"time"
)

// AdmissionSettings are the settings of admission control.
type AdmissionSettings struct {
	// MaxWait is the maximum time that a request waits for its pool.
	MaxWait time.Duration
	// TargetWait is the target for the mean time that tokens wait at backend
	// servers, in units of their run time.
	TargetWait float64
	// MaxRequests and MaxBytes bound the requests that wait for one pool.
	MaxRequests, MaxBytes int
	// Headroom is the capacity above a pool's limit for teams below their share,
	// as a fraction of the limit.
	Headroom float64
	// MaxCredit is the number of tokens, for each unit of its share, that a team may
	// accumulate while it uses less than its share.
	MaxCredit float64
}

func (a *AdmissionSettings) flags(fs *flag.FlagSet) {
	fs.DurationVar(&a.MaxWait, "queue-wait", 200*time.Millisecond, "longest wait of a request for its pool; a request that would wait longer is refused at once")
	fs.IntVar(&a.MaxRequests, "queue-requests", 1024, "most requests that wait for one pool")
	fs.IntVar(&a.MaxBytes, "queue-bytes", 16<<20, "most memory that requests waiting for one pool hold, in bytes")
	fs.Float64Var(&a.TargetWait, "queue-target", 4, "wait of a token at engines to aim at, in steps of the engine")
	fs.Float64Var(&a.MaxCredit, "queue-credit", 500, "tokens that a team may save up, for each unit of its share, while it uses less than its share")
	fs.Float64Var(&a.Headroom, "queue-reserve", 1, "part above a pool's limit for teams below their share")
}

func (a *AdmissionSettings) check() []error {
	var errs []error
	if a.MaxWait < 0 {
		errs = append(errs, fmt.Errorf("-queue-wait: %s is below 0", a.MaxWait))
	}
	if a.MaxRequests < 0 {
		errs = append(errs, fmt.Errorf("-queue-requests: %d is below 0", a.MaxRequests))
	}
	if a.MaxBytes < 0 {
		errs = append(errs, fmt.Errorf("-queue-bytes: %d is below 0", a.MaxBytes))
	}
	if a.TargetWait <= 0 {
		errs = append(errs, fmt.Errorf("-queue-target: %v is not above 0", a.TargetWait))
	}
	if a.Headroom < 0 || a.Headroom > 4 {
		errs = append(errs, fmt.Errorf("-queue-reserve: %v is not from 0 to 4", a.Headroom))
	}
	if a.MaxCredit < 0 {
		errs = append(errs, fmt.Errorf("-queue-credit: %v is below 0", a.MaxCredit))
	}
	return errs
}
