// Package setup holds the settings of fsentry: flags, and environment
// variables with the prefix FSENTRY_.
package setup

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"fuchsiashelf.dev/parts/certs"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/pick"
)

// Settings are the settings of one entry host.
type Settings struct {
	Name    string
	Domain  string
	Callers string
	Peers   string
	Desk    string
	Ops     string
	Store   string
	// Seeds are peers' addresses, separated by commas.
	Seeds string
	// PeerSecret and DeskSecret are never logged.
	PeerSecret string
	DeskSecret string
	MaxBody    int
	Grace      time.Duration
	// Policy names how servers are chosen.
	Policy string
	// Poll and PollRate say how often engines are asked for their reports.
	Poll     time.Duration
	PollRate float64
	Claims   ClaimSettings
	Admit    AdmissionSettings
	// OrderTerm is how long one renewal of the lease of orders holds.
	OrderTerm time.Duration
	// Linger is how long callers are taken after the stop began.
	Linger time.Duration
	// Certs secure the listeners of peers and operators.
	Certs certs.Bundle
}

// leastOrderTerm leaves a few round trips to the object API within a term.
const leastOrderTerm = time.Second

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "FSENTRY"

// Parse reads flags and environment, and checks every setting. The error
// lists all faults, each with the name of its flag.
func Parse(args []string, stderr io.Writer) (*Settings, error) {
	s := &Settings{}
	fs := s.Flags(stderr)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return nil, err
	}
	return s, s.check()
}

// Flags returns the flags, bound to the settings.
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

// LocalDomain returns the failure domain.
func (s *Settings) LocalDomain() domain.Name {
	return domain.Name(s.Domain)
}

func (s *Settings) check() error {
	var faults []error
	need := func(flag, value string) {
		if value == "" {
			faults = append(faults, fmt.Errorf("-%s: missing", flag))
		}
	}
	address := func(flag, value string) {
		if value == "" {
			return
		}
		if _, _, err := net.SplitHostPort(value); err != nil {
			faults = append(faults, fmt.Errorf("-%s: %q is not host:port", flag, value))
		}
	}
	need("name", s.Name)
	need("domain", s.Domain)
	need("store", s.Store)
	need("peer-secret", s.PeerSecret)
	need("desk-secret", s.DeskSecret)
	address("callers", s.Callers)
	address("peers", s.Peers)
	address("desk", s.Desk)
	address("ops", s.Ops)
	address("store", s.Store)
	for seed := range strings.SplitSeq(s.Seeds, ",") {
		address("seeds", seed)
	}
	if s.MaxBody <= 0 {
		faults = append(faults, fmt.Errorf("-max-body: %d is not above 0", s.MaxBody))
	}
	if err := s.Certs.Check(certs.Entry); err != nil {
		faults = append(faults, err)
	}
	if s.Linger < 0 {
		faults = append(faults, fmt.Errorf("-linger: %s is below 0", s.Linger))
	}
	if s.OrderTerm < leastOrderTerm {
		faults = append(faults, fmt.Errorf("-order-term: %s is below %s", s.OrderTerm, leastOrderTerm))
	}
	if s.Grace <= 0 {
		faults = append(faults, fmt.Errorf("-grace: %s is not above 0", s.Grace))
	}
	if _, err := pick.ParsePolicy(s.Policy); err != nil {
		faults = append(faults, fmt.Errorf("-policy: %w", err))
	}
	if s.Poll <= 0 {
		faults = append(faults, fmt.Errorf("-poll: %s is not above 0", s.Poll))
	}
	if s.PollRate <= 0 {
		faults = append(faults, fmt.Errorf("-poll-rate: %v is not above 0", s.PollRate))
	}
	if s.PeerSecret != "" && s.PeerSecret == s.DeskSecret {
		faults = append(faults, errors.New("-desk-secret: must differ from -peer-secret"))
	}
	faults = append(faults, s.Admit.check()...)
	if err := s.Claims.check(); err != nil {
		faults = append(faults, err)
	}
	return errors.Join(faults...)
}
