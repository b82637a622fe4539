package setup

import (
	"errors"
	"flag"
	"fmt"
	"time"

	"fuchsiashelf.dev/parts/claim"
)

// ClaimSettings are the settings of claims.
type ClaimSettings struct {
	// Timing holds the deadlines and expiry of claims.
	claim.Timing
	// WriteRate is the maximum number of claim writes per second; 0 means no
	// limit.
	WriteRate float64
}

// The defaults of the claim settings.
const (
	defaultMaxDeadline = 30 * time.Second
	// defaultWriteRate is a quarter of the claim writes per second that the
	// platform's object API accepts, which suits four entry hosts.
	defaultWriteRate = 75
)

func (c *ClaimSettings) flags(fs *flag.FlagSet) {
	fs.DurationVar(&c.MaxDeadline, "claim-longest", defaultMaxDeadline,
		"longest deadline of a call that may not be repeated; the same on all entry hosts")
	fs.DurationVar(&c.Expiry, "claim-expiry", claim.ExpiryFactor*defaultMaxDeadline,
		"how long an id is remembered, at least 1000 times -claim-longest; the same on all entry hosts")
	fs.Float64Var(&c.WriteRate, "claim-writes", defaultWriteRate,
		"claim writes a second of this entry host, its share of what the store takes; 0 means any number")
}

func (c *ClaimSettings) check() error {
	var errs []error
	if err := c.Timing.Check(); err != nil {
		errs = append(errs, fmt.Errorf("-claim-expiry: %w", err))
	}
	if c.WriteRate < 0 {
		errs = append(errs, fmt.Errorf("-claim-writes: %g is below 0", c.WriteRate))
	}
	return errors.Join(errs...)
}
