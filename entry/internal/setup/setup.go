// Package setup holds the settings of fsentry: flags, and environment
// variables with the prefix FSENTRY_.
package setup

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"fuchsiashelf.dev/parts/certs"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/pick"
)

// Settings are the settings of one entry host.
type Settings struct {
	// Name and Domain are the name and failure domain of this entry host.
	Name   string
	Domain string
	// Callers, Peers, Desk and Ops are the addresses of the listeners for callers,
	// peers, operators and metrics.
	Callers string
	Peers   string
	Desk    string
	Ops     string
	// Store is the address of the platform's object API.
	Store string
	// Source is the IP address from which backend servers are connected to; empty leaves
	// the choice to the system.
	Source string
	// Seeds are the addresses of peers, separated by commas.
	Seeds string
	// PeerSecret and DeskSecret authenticate peers and operators. They are never
	// logged.
	PeerSecret string
	DeskSecret string
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// Grace is the maximum time that a stop waits for requests in flight.
	Grace time.Duration
	// Policy is the name of the policy that picks servers.
	Policy string
	// Poll is the interval at which a backend server is polled, PollRate the
	// maximum number of polls per second of all of them.
	Poll     time.Duration
	PollRate float64
	Claims   ClaimSettings
	Admit    AdmissionSettings
	// OrderTerm is how long the lease of orders holds after a renewal.
	OrderTerm time.Duration
	// Linger is how long callers are accepted after a stop begins.
	Linger time.Duration
	// Certs are the certificates for the listeners of peers and operators.
	Certs certs.Bundle
}

// minOrderTerm leaves time for a few round trips to the object API within a term.
const minOrderTerm = time.Second

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "FSENTRY"

// Parse reads the settings from flags and environment variables and validates
// them. The error lists every invalid setting with the name of its flag.
func Parse(args []string, stderr io.Writer) (*Settings, error) {
	s := &Settings{}
	fs := s.Flags(stderr)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return nil, err
	}
	return s, s.check()
}

// Flags returns a flag set whose flags are bound to the settings.
func (s *Settings) Flags(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("fsentry", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.Name, "name", "", "name of this entry host (required)")
	fs.StringVar(&s.Domain, "domain", "", "failure domain of this host (required)")
	fs.StringVar(&s.Callers, "callers", "127.0.0.1:0", "host:port of the callers' listener")
	fs.StringVar(&s.Peers, "peers", "127.0.0.1:0", "host:port of the peers' listener")
	fs.StringVar(&s.Desk, "desk", "127.0.0.1:0", "host:port of the operators' listener")
	fs.StringVar(&s.Ops, "ops", "127.0.0.1:0", "host:port of the metrics page")
	fs.StringVar(&s.Store, "store", "", "host:port of the platform's object API (required)")
	fs.StringVar(&s.Source, "source", "", "IP address from which backend servers are connected to; empty leaves the choice to the system")
	fs.StringVar(&s.Seeds, "seeds", "", "host:port of other entry hosts' peers listeners, separated by commas, for a start while the store is down")
	fs.StringVar(&s.PeerSecret, "peer-secret", "", "secret shared by all entry hosts (required)")
	fs.StringVar(&s.DeskSecret, "desk-secret", "", "secret of the operators (required)")
	fs.IntVar(&s.MaxBody, "max-body", 1<<20, "largest request body, in bytes")
	fs.DurationVar(&s.Linger, "linger", 2*time.Second, "how long callers are still taken when stopping, so that the balancer sees in time that this host is not ready")
	fs.DurationVar(&s.Grace, "grace", 30*time.Second, "longest wait for requests in flight when stopping")
	fs.DurationVar(&s.OrderTerm, "order-term", 10*time.Second, "how long one renewal of the lease of orders to engines holds")
	fs.StringVar(&s.Policy, "policy", "cost", "how servers are chosen: "+pick.Policies)
	fs.DurationVar(&s.Poll, "poll", time.Second, "time between two questions to an engine for its report")
	fs.Float64Var(&s.PollRate, "poll-rate", 50, "most such questions a second, to all engines together")
	s.Certs.Flags(fs)
	s.Claims.flags(fs)
	s.Admit.flags(fs)
	return fs
}

// LocalDomain returns the failure domain of this entry host.
func (s *Settings) LocalDomain() domain.Name {
	return domain.Name(s.Domain)
}

func (s *Settings) check() error {
	errs := slices.Concat(s.checkTexts(), s.checkQuantities())
	if err := s.Certs.Check(certs.Entry); err != nil {
		errs = append(errs, err)
	}
	if s.PeerSecret != "" && s.PeerSecret == s.DeskSecret {
		errs = append(errs, errors.New("-desk-secret: must differ from -peer-secret"))
	}
	errs = append(errs, s.Admit.check()...)
	if err := s.Claims.check(); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// checkTexts checks names, secrets and addresses.
func (s *Settings) checkTexts() []error {
	var errs []error
	require := func(name, value string) {
		if value == "" {
			errs = append(errs, fmt.Errorf("-%s: missing", name))
		}
	}
	checkAddress := func(name, value string) {
		if value == "" {
			return
		}
		if _, _, err := net.SplitHostPort(value); err != nil {
			errs = append(errs, fmt.Errorf("-%s: %q is not host:port", name, value))
		}
	}
	require("name", s.Name)
	require("domain", s.Domain)
	require("store", s.Store)
	require("peer-secret", s.PeerSecret)
	require("desk-secret", s.DeskSecret)
	checkAddress("callers", s.Callers)
	checkAddress("peers", s.Peers)
	checkAddress("desk", s.Desk)
	checkAddress("ops", s.Ops)
	checkAddress("store", s.Store)
	if s.Source != "" && net.ParseIP(s.Source) == nil {
		errs = append(errs, fmt.Errorf("-source: %q is not an IP address", s.Source))
	}
	for seed := range strings.SplitSeq(s.Seeds, ",") {
		checkAddress("seeds", seed)
	}
	return errs
}

// checkQuantities checks sizes, times, rates and the policy.
func (s *Settings) checkQuantities() []error {
	var errs []error
	if s.MaxBody <= 0 {
		errs = append(errs, fmt.Errorf("-max-body: %d is not above 0", s.MaxBody))
	}
	if s.Linger < 0 {
		errs = append(errs, fmt.Errorf("-linger: %s is below 0", s.Linger))
	}
	if s.OrderTerm < minOrderTerm {
		errs = append(errs, fmt.Errorf("-order-term: %s is below %s", s.OrderTerm, minOrderTerm))
	}
	if s.Grace <= 0 {
		errs = append(errs, fmt.Errorf("-grace: %s is not above 0", s.Grace))
	}
	if _, err := pick.ParsePolicy(s.Policy); err != nil {
		errs = append(errs, fmt.Errorf("-policy: %w", err))
	}
	if s.Poll <= 0 {
		errs = append(errs, fmt.Errorf("-poll: %s is not above 0", s.Poll))
	}
	if s.PollRate <= 0 {
		errs = append(errs, fmt.Errorf("-poll-rate: %v is not above 0", s.PollRate))
	}
	return errs
}
