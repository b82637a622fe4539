// Package admin executes the lines of the operators' command language. A line
// is one command.
//
// A line is accepted by one conditional write of the whole configuration (see
// accept), and done once every live entry host has it in force (see confirm).
// After a failure the answer claims no more than is known: done, partly,
// refused (nothing changed), or unknown.
package admin

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/lang"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Server executes operators' lines. Set the exported fields, then call Run.
type Server struct {
	View   *view.Publisher
	Store  store.API
	Watch  *watch.Watcher
	Mesh   *mesh.Mesh
	Trace  *trace.Recorder
	Log    *slog.Logger
	Secret string
	// MaxCallTime is the longest deadline of a call that must run at most once.
	MaxCallTime time.Duration
	// Workers runs the queries to other entry hosts. Its size bounds how many
	// run concurrently.
	Workers *ants.Pool
	// Done, if not nil, is closed when Run returns.
	Done chan struct{}
}

// The outcomes of a line.
const (
	// Done: accepted, and in force on every live entry host. For a show line:
	// answered.
	Done = "done"
	// Partial: accepted, but some entry hosts have not confirmed.
	Partial = "partly"
	// Refused: nothing was changed.
	Refused = "refused"
	// Unknown: it is not known whether the line was accepted.
	Unknown = "unknown"
)

// Run serves operators until the context ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	if s.Done != nil {
		defer close(s.Done)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterDesk(mux, &deskService{server: s}); err != nil {
		return err
	}
	restoreDone := make(chan struct{})
	go func() { s.restoreLoop(ctx); close(restoreDone) }()
	err := drpcserver.New(mux).Serve(ctx, listener)
	<-restoreDone
	return err
}

// deskService implements the Desk RPC service.
type deskService struct {
	wire.DRPCDeskUnimplementedServer
	server *Server
}

// Run executes one line and returns its outcome.
func (d *deskService) Run(ctx context.Context, line *wire.Line) (*wire.Answer, error) {
	s := d.server
	if !mesh.EqualSecrets(line.Secret, s.Secret) {
		return &wire.Answer{Outcome: Refused, Id: line.Id, Message: "wrong secret"}, nil
	}
	answer := s.run(ctx, line)
	answer.Id = line.Id
	metrics.GetOrRegisterCounter("seat."+answer.Outcome, nil).Inc(1)
	s.Log.Info("seat: line answered",
		"line", line.Text, "id", line.Id, "operator", line.Operator,
		"outcome", answer.Outcome, "revision", answer.Revision, "why", answer.Message)
	if answer.Outcome != Done {
		s.Trace.Record("seat", "", "line "+line.Id+" "+answer.Outcome+": "+answer.Message)
	}
	return answer, nil
}

// run executes one line of an operator that has the secret.
func (s *Server) run(ctx context.Context, line *wire.Line) *wire.Answer {
	parsed, err := lang.Parse(line.Text)
	if err != nil {
		return refusedAnswer(err)
	}
	if parsed.Show != nil {
		return s.show(ctx, parsed.Show)
	}
	if line.Id == "" {
		return &wire.Answer{Outcome: Refused, Message: "the line has no id"}
	}
	return s.accept(ctx, line, parsed)
}

// refusedAnswer returns the answer to a line that changed nothing, with the
// column of a syntax error.
func refusedAnswer(err error) *wire.Answer {
	answer := &wire.Answer{Outcome: Refused, Message: err.Error()}
	var langErr *lang.Error
	if errors.As(err, &langErr) {
		answer.Column = uint32(langErr.Column)
	}
	return answer
}
