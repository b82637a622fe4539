// Package prog is the program fsstand: stand-ins for what lies outside the
// system, one role a process.
package prog

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/parts/httpd"
	"fuchsiashelf.dev/stand/inject"
	"fuchsiashelf.dev/stand/internal/engine"
	"fuchsiashelf.dev/stand/internal/object"
	"fuchsiashelf.dev/stand/internal/plain"
)

// role is what a stand-in serves.
type role interface {
	Routes(h *server.Hertz)
	Control(h *server.Hertz)
}

// grace is how long a stand-in waits for requests in flight when it stops.
const grace = 200 * time.Millisecond

// Main runs the program until the context ends and returns its exit status.
func Main(ctx context.Context, args []string, _ io.Reader, stdout, stderr io.Writer) int {
	root := &ffcli.Command{
		Name:       "fsstand",
		ShortUsage: "fsstand store|engine|plain|version [flags]",
		FlagSet:    flags("fsstand", stderr),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{
			storeCommand(stdout, stderr), engineCommand(stdout, stderr),
			plainCommand(stdout, stderr), versionCommand(stdout, stderr),
		},
	}
	err := root.ParseAndRun(ctx, args)
	if errors.Is(err, flag.ErrHelp) {
		return 2
	}
	if err != nil {
		fmt.Fprintln(stderr, "fsstand:", err)
		return 1
	}
	return 0
}

func flags(name string, stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	return fs
}

func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("FSSTAND")}
}

// shell holds the settings that all roles share.
type shell struct {
	name, listen, control string
	stdout                io.Writer
}

func (s *shell) register(fs *flag.FlagSet) {
	fs.StringVar(&s.name, "name", "stand", "name of this backend server")
	fs.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to serve on")
	fs.StringVar(&s.control, "control", "127.0.0.1:0", "address for switching faults")
}

// serve runs a role on both listeners and says where on standard output.
func (s *shell) serve(ctx context.Context, r role) error {
	front, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp", s.control)
	if err != nil {
		return err
	}
	serve := &httpd.Server{Listener: front}
	serve.Init()
	r.Routes(serve.Hertz)
	control := &httpd.Server{Listener: back}
	control.Init()
	r.Control(control.Hertz)
	fmt.Fprintf(s.stdout, "ready serve=%s control=%s\n", front.Addr(), back.Addr())
	failed := make(chan error, 2)
	go func() { failed <- serve.Run(ctx, grace) }()
	go func() { failed <- control.Run(ctx, grace) }()
	return errors.Join(<-failed, <-failed)
}

func storeCommand(stdout, stderr io.Writer) *ffcli.Command {
	s := &shell{stdout: stdout}
	fs := flags("fsstand store", stderr)
	s.register(fs)
	f := &object.Server{Store: object.New(), Faults: &inject.Set{}}
	fs.IntVar(&f.Writes, "writes", 0, "writes a second that it takes; 0 means any number")
	fs.IntVar(&f.Reads, "reads", 0, "reads a second that it takes, each wait counted once; 0 means any number")
	fs.DurationVar(&f.HostLag, "host-lag", 0, "how far the host list lags behind")
	return &ffcli.Command{
		Name: "store", ShortUsage: "fsstand store [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "the platform's object API and host list",
		Exec: func(ctx context.Context, _ []string) error {
			return s.serve(ctx, f)
		},
	}
}

func engineCommand(stdout, stderr io.Writer) *ffcli.Command {
	s := &shell{stdout: stdout}
	fs := flags("fsstand engine", stderr)
	s.register(fs)
	e := &engine.Engine{Faults: &inject.Set{}}
	fs.StringVar(&e.Model, "model", "lotus", "model whose layers it holds")
	fs.IntVar(&e.First, "first", 0, "first layer")
	fs.IntVar(&e.End, "end", 32, "one past the last layer")
	fs.StringVar(&e.Kind, "kind", "std", "kind of accelerator")
	fs.DurationVar(&e.TokenTime, "token-time", time.Millisecond, "time of one step")
	fs.DurationVar(&e.PrefillTime, "prefill-time", 0, "time to read one word of a prompt")
	fs.IntVar(&e.Capacity, "capacity", 8, "tokens that one step runs together")
	fs.DurationVar(&e.LinkDelay, "link-delay", 0, "one-way delay to other servers")
	links := fs.String("links", "", "one-way delays to some servers, as in b1=20ms,b2=300us")
	fs.DurationVar(&e.ReportLag, "report-lag", 0, "how old the load reports are")
	fs.BoolVar(&e.Fencing, "fencing", true, "refuse an order whose fencing number is older than one seen")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "fsstand engine [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "a model engine that holds a range of layers",
		Exec: func(ctx context.Context, _ []string) error {
			var err error
			if e.Links, err = engine.ParseLinks(*links); err != nil {
				return fmt.Errorf("-links: %w", err)
			}
			e.Name = s.name
			go e.Run(ctx)
			return s.serve(ctx, e)
		},
	}
}

func plainCommand(stdout, stderr io.Writer) *ffcli.Command {
	s := &shell{stdout: stdout}
	fs := flags("fsstand plain", stderr)
	s.register(fs)
	p := &plain.Service{Faults: &inject.Set{}}
	fs.BoolVar(&p.Deduplicate, "guard", false, "refuse an id that has run before")
	return &ffcli.Command{
		Name: "plain", ShortUsage: "fsstand plain [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "a plain service",
		Exec: func(ctx context.Context, _ []string) error {
			p.Name = s.name
			return s.serve(ctx, p)
		},
	}
}

func versionCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "version", ShortUsage: "fsstand version", FlagSet: flags("fsstand version", stderr),
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(stdout, "fsstand", boot.Version)
			return nil
		},
	}
}
