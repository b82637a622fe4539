// Package prog implements the program fsstand. Each process is a stand-in for one
// external dependency of the system: the object API, an engine or a plain service.
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

// role registers the service routes and the control routes of a stand-in.
type role interface {
	Routes(h *server.Hertz)
	Control(h *server.Hertz)
}

// shutdownTimeout is how long a stopping stand-in waits for requests in flight.
const shutdownTimeout = 200 * time.Millisecond

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

// common holds the settings that all roles share.
type common struct {
	name, listen, control string
	stdout                io.Writer
}

func (c *common) register(fs *flag.FlagSet) {
	fs.StringVar(&c.name, "name", "stand", "name of this backend server")
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to serve on")
	fs.StringVar(&c.control, "control", "127.0.0.1:0", "address for switching faults")
}

// serve runs a role on its service and control listeners and prints their addresses
// to standard output.
func (c *common) serve(ctx context.Context, r role) error {
	serviceListener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	controlListener, err := net.Listen("tcp", c.control)
	if err != nil {
		return err
	}
	service := &httpd.Server{Listener: serviceListener}
	service.Init()
	r.Routes(service.Hertz)
	control := &httpd.Server{Listener: controlListener}
	control.Init()
	r.Control(control.Hertz)
	fmt.Fprintf(c.stdout, "ready serve=%s control=%s\n", serviceListener.Addr(), controlListener.Addr())
	errs := make(chan error, 2)
	go func() { errs <- service.Run(ctx, shutdownTimeout) }()
	go func() { errs <- control.Run(ctx, shutdownTimeout) }()
	return errors.Join(<-errs, <-errs)
}

func storeCommand(stdout, stderr io.Writer) *ffcli.Command {
	c := &common{stdout: stdout}
	fs := flags("fsstand store", stderr)
	c.register(fs)
	objects := &object.Server{Store: object.New(), Faults: &inject.Set{}}
	fs.IntVar(&objects.Writes, "writes", 0, "writes a second that it takes; 0 means any number")
	fs.IntVar(&objects.Reads, "reads", 0, "reads a second that it takes, each wait counted once; 0 means any number")
	fs.DurationVar(&objects.HostLag, "host-lag", 0, "how far the host list lags behind")
	return &ffcli.Command{
		Name: "store", ShortUsage: "fsstand store [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "the platform's object API and host list",
		Exec: func(ctx context.Context, _ []string) error {
			return c.serve(ctx, objects)
		},
	}
}

func engineCommand(stdout, stderr io.Writer) *ffcli.Command {
	c := &common{stdout: stdout}
	fs := flags("fsstand engine", stderr)
	c.register(fs)
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
			e.Name = c.name
			go e.RecordReports(ctx)
			return c.serve(ctx, e)
		},
	}
}

func plainCommand(stdout, stderr io.Writer) *ffcli.Command {
	c := &common{stdout: stdout}
	fs := flags("fsstand plain", stderr)
	c.register(fs)
	p := &plain.Service{Faults: &inject.Set{}}
	fs.BoolVar(&p.Deduplicate, "guard", false, "refuse an id that has run before")
	return &ffcli.Command{
		Name: "plain", ShortUsage: "fsstand plain [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "a plain service",
		Exec: func(ctx context.Context, _ []string) error {
			p.Name = c.name
			return c.serve(ctx, p)
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
