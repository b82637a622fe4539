// Package seat carries out the lines of the operators' language.
//
// A line is accepted by one conditional write of the whole configuration (see
// accept), and called done once every live entry host has it in force (see
// confirm). Whatever goes wrong on the way, the answer says only what is
// known: done, partly, refused (nothing changed), or unknown.
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

// Server carries out lines. Set the exported fields, then Run.
type Server struct {
	View   *view.Publisher
	Store  store.API
	Watch  *watch.Watcher
	Mesh   *mesh.Mesh
	Trace  *trace.Recorder
	Log    *slog.Logger
	Secret string
	// MaxCallTime is the longest time for a call that may not be repeated.
	MaxCallTime time.Duration
	// Workers runs the questions to other entry hosts. Its size bounds how
	// many are out at once.
	Workers *ants.Pool
	// Done is closed when Run has ended; nil if nobody waits.
	Done chan struct{}
}

// The outcomes of a line.
const (
	// Done: accepted, and in force on every live entry host. For a question:
	// answered.
	Done = "done"
	// Partial: accepted, but some entry hosts have not confirmed.
	Partial = "partly"
	// Refused: nothing was changed.
	Refused = "refused"
	// Unknown: the object API answered neither way.
	Unknown = "unknown"
)

// Run answers operators until the context ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	if s.Done != nil {
		defer close(s.Done)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterDesk(mux, &desk{seat: s}); err != nil {
		return err
	}
	back := make(chan struct{})
	go func() { s.putBack(ctx); close(back) }()
	err := drpcserver.New(mux).Serve(ctx, listener)
	<-back
	return err
}

// desk is the operators' call.
type desk struct {
	wire.DRPCDeskUnimplementedServer
	seat *Server
}

// Run implements the operators' call.
func (d *desk) Run(ctx context.Context, line *wire.Line) (*wire.Answer, error) {
	s := d.seat
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

// run carries out one line.
func (s *Server) run(ctx context.Context, line *wire.Line) *wire.Answer {
	parsed, err := lang.Parse(line.Text)
	if err != nil {
		return refused(err)
	}
	if parsed.Show != nil {
		return s.show(ctx, parsed.Show)
	}
	if line.Id == "" {
		return &wire.Answer{Outcome: Refused, Message: "the line has no id"}
	}
	return s.accept(ctx, line, parsed)
}

// refused is the answer to a line that changed nothing.
func refused(err error) *wire.Answer {
	answer := &wire.Answer{Outcome: Refused, Message: err.Error()}
	var at *lang.Error
	if errors.As(err, &at) {
		answer.Column = uint32(at.Column)
	}
	return answer
}
