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
	// Terms are the times that claims rest on.
	claim.Timing
	// WriteRate is the number of claim writes a second.
	WriteRate float64
}

// The defaults of the claims' settings.
const (
	defaultLongest = 30 * time.Second
	// defaultWrites is a quarter of what the platform's object API takes for
	// claims, for four entry hosts.
	defaultWrites = 75
)

func (c *ClaimSettings) flags(fs *flag.FlagSet) {
	fs.DurationVar(&c.MaxDeadline, "claim-longest", defaultLongest,
		"longest deadline of a call that may not be repeated; the same on all entry hosts")
	fs.DurationVar(&c.Expiry, "claim-expiry", claim.ExpiryFactor*defaultLongest,
		"how long an id is remembered, at least 1000 times -claim-longest; the same on all entry hosts")
	fs.Float64Var(&c.WriteRate, "claim-writes", defaultWrites,
		"claim writes a second of this entry host, its share of what the store takes; 0 means any number")
}

func (c *ClaimSettings) check() error {
	var faults []error
	if err := c.Timing.Check(); err != nil {
		faults = append(faults, fmt.Errorf("-claim-expiry: %w", err))
	}
	if c.WriteRate < 0 {
		faults = append(faults, fmt.Errorf("-claim-writes: %g is below 0", c.WriteRate))
	}
	return errors.Join(faults...)
}
