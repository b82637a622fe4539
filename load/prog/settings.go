package prog

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"fuchsiashelf.dev/load/internal/call"
	"fuchsiashelf.dev/load/internal/chaos"
	"fuchsiashelf.dev/load/internal/plan"
	"fuchsiashelf.dev/load/internal/runner"
	"fuchsiashelf.dev/load/internal/stats"
)

// settings holds the settings of one run.
type settings struct {
	entries, rate, teams, tokens, format, series string
	faults                                       faults
	warm, drain, tick, progress, timeout         time.Duration
	maxOpen                                      int
	plan                                         plan.Plan
	caller                                       call.Caller
}

// faults is the value of the -fault flag, which may be repeated.
type faults []chaos.Fault

// String implements flag.Value.
func (f *faults) String() string {
	return fmt.Sprint([]chaos.Fault(*f))
}

// Set implements flag.Value.
func (f *faults) Set(text string) error {
	fault, err := chaos.Parse(text)
	*f = append(*f, fault)
	return err
}

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "FSLOAD"

func parse(args []string, stderr io.Writer) (*settings, error) {
	s := &settings{}
	fs := s.flags(stderr)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *settings) flags(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("fsload", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.entries, "entries", "", "callers' host:port of entry hosts, with commas (required)")
	fs.StringVar(&s.rate, "rate", "10", "requests per second, or points of a ramp: 0s:10,30s:100")
	fs.DurationVar(&s.plan.Duration, "duration", 10*time.Second, "length of the run")
	fs.IntVar(&s.plan.Limit, "max-requests", 1_000_000, "most requests")
	fs.IntVar(&s.maxOpen, "max-open", 4096, "most requests open at once; more are skipped and counted")
	fs.DurationVar(&s.warm, "warm", time.Second, "first part of the run, not counted")
	fs.DurationVar(&s.drain, "drain", 30*time.Second, "longest wait for open requests at the end")
	fs.Uint64Var(&s.plan.Seed, "seed", 1, "seed of all draws")
	fs.StringVar(&s.teams, "teams", "cantata", "teams with weights: cantata:10,lyra:1")
	fs.StringVar(&s.tokens, "tokens", "16", "answer lengths with weights: 16:3,64:1")
	fs.IntVar(&s.plan.Prompts, "prompts", 1000, "number of distinct prompts")
	fs.StringVar(&s.caller.Service, "service", "assist", "model service asked for")
	fs.IntVar(&s.caller.Layers, "layers", 24, "layers of the model, to check tokens; 0: no check")
	fs.Float64Var(&s.plan.PlainShare, "plain-share", 0, "share of plain calls, from 0 to 1")
	fs.StringVar(&s.caller.Plain.Method, "plain-method", "POST", "method of the plain calls")
	fs.StringVar(&s.caller.Plain.URI, "plain-uri", "/booking/load", "path of the plain calls")
	fs.BoolVar(&s.caller.Plain.ID, "plain-id", true, "give each plain call an id")
	fs.DurationVar(&s.timeout, "timeout", 60*time.Second, "longest wait for one answer")
	fs.Var(&s.faults, "fault", "fault in a stand-in: \"10s CONTROL KIND [VALUE]\"; may be repeated")
	fs.StringVar(&s.format, "o", "text", "form of the result: text or json")
	fs.StringVar(&s.series, "series", "", "file for the time series: *.csv or *.json")
	fs.DurationVar(&s.tick, "tick", 100*time.Millisecond, "length of one row of the time series")
	fs.DurationVar(&s.progress, "progress", 10*time.Second, "pause between progress lines; 0: none")
	return fs
}

// maxTicks is the most rows of a time series.
const maxTicks = 100_000

// check parses the flags whose values are lists and validates all flags. Its error
// lists all invalid flags.
func (s *settings) check() error {
	var errs []error
	addError := func(name, format string, args ...any) {
		errs = append(errs, fmt.Errorf("-%s: %s", name, fmt.Sprintf(format, args...)))
	}
	checkError := func(name string, err error) {
		if err != nil {
			addError(name, "%v", err)
		}
	}
	var err error
	s.caller.Entries = strings.Split(s.entries, ",")
	for _, address := range s.caller.Entries {
		if _, _, err := net.SplitHostPort(address); err != nil {
			addError("entries", "%q is not host:port", address)
		}
	}
	s.plan.Ramp, err = plan.ParseRamp(s.rate)
	checkError("rate", err)
	s.plan.Teams, err = plan.ParseMix(s.teams)
	checkError("teams", err)
	s.plan.Sizes, err = plan.ParseSizes(s.tokens)
	checkError("tokens", err)
	if s.plan.Duration <= 0 || s.warm < 0 || s.warm >= s.plan.Duration {
		addError("duration", "must be above 0 and above -warm")
	}
	if s.tick <= 0 || s.plan.Duration/max(s.tick, 1) > maxTicks {
		addError("tick", "gives no rows, or more than %d", maxTicks)
	}
	if s.plan.PlainShare < 0 || s.plan.PlainShare > 1 {
		addError("plain-share", "%v is not from 0 to 1", s.plan.PlainShare)
	}
	if s.maxOpen < 1 {
		addError("max-open", "%d is not above 0", s.maxOpen)
	}
	if s.format != "text" && s.format != "json" {
		addError("o", "%q is neither text nor json", s.format)
	}
	return errors.Join(errs...)
}

func (s *settings) newRun(log io.Writer) *runner.Run {
	s.caller.Timeout = s.timeout
	return &runner.Run{
		Plan: &s.plan, Caller: &s.caller,
		Recorder: &stats.Recorder{Warmup: s.warm, Duration: s.plan.Duration, Tick: s.tick},
		Faults:   s.faults, MaxOpen: s.maxOpen, Drain: s.drain,
		Progress: s.progress, Log: log,
	}
}
