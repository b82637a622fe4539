// Package seat carries out the lines of the operators' language.
//
// A line is accepted by one conditional write of the whole configuration, and
// answered once every live entry host has it in force.
package seat

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/entry/internal/feed"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/lang"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Seat carries out lines. Set the exported fields, then Run.
type Seat struct {
	wire.DRPCDeskUnimplementedServer

	View   *view.Holder
	Store  store.API
	Feed   *feed.Feed
	Mesh   *mesh.Mesh
	Trace  *trace.Line
	Log    *slog.Logger
	Secret string
}

// The outcomes of a line.
const (
	Done    = "done"
	Partly  = "partly"
	Refused = "refused"
	Unknown = "unknown"
)

// confirmWait is how long a line waits for all entry hosts to confirm.
const confirmWait = 4 * time.Second

// confirmTick is the pause between two questions to an entry host.
const confirmTick = 50 * time.Millisecond

// Run answers operators until the context ends.
func (s *Seat) Run(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterDesk(mux, &desk{s}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

type desk struct{ seat *Seat }

// Run implements the operators' call.
func (d *desk) Run(ctx context.Context, line *wire.Line) (*wire.Answer, error) {
	if !mesh.Same(line.Secret, d.seat.Secret) {
		return nil, errors.New("seat: wrong secret")
	}
	answer := d.seat.run(ctx, line)
	answer.Id = line.Id
	d.seat.Log.Info("seat: line answered", "line", line.Text, "outcome", answer.Outcome)
	return answer, nil
}

func refused(err error) *wire.Answer {
	answer := &wire.Answer{Outcome: Refused, Message: err.Error()}
	var at *lang.Error
	if errors.As(err, &at) {
		answer.Column = uint32(at.Column)
	}
	return answer
}

func (s *Seat) run(ctx context.Context, line *wire.Line) *wire.Answer {
	parsed, err := lang.Parse(line.Text)
	if err != nil {
		return refused(err)
	}
	if parsed.Show != nil {
		return s.show(ctx, parsed.Show)
	}
	object, err := s.Store.Get(ctx, conf.Key)
	if err != nil {
		return refused(err)
	}
	now, err := conf.Decode(object.Value)
	if err != nil {
		return refused(err)
	}
	next, err := parsed.Apply(now, lang.World{Hosts: s.View.Load().Hosts, Now: time.Now()})
	if err != nil {
		return refused(err)
	}
	next.Record(conf.Line{
		ID: line.Id, Revision: next.Revision, Operator: line.Operator,
		Text: line.Text, Thing: parsed.Thing(), At: time.Now(),
	})
	value, err := next.Encode()
	if err != nil {
		return refused(err)
	}
	if _, err := s.Store.Put(ctx, conf.Key, value, object.Version); err != nil {
		if fault.As(err).Verdict == fault.NotRun {
			return refused(err)
		}
		return &wire.Answer{Outcome: Unknown, Message: err.Error()}
	}
	s.Feed.Offer(next)
	return s.confirm(ctx, next.Revision)
}

// confirm waits until every entry host has a revision in force.
func (s *Seat) confirm(ctx context.Context, revision uint64) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	answer := &wire.Answer{Outcome: Done, Revision: revision}
	type result struct {
		name string
		ok   bool
	}
	others := s.Mesh.Others()
	results := make(chan result, len(others))
	for _, h := range others {
		go func() {
			for ctx.Err() == nil {
				status, err := s.Mesh.Ask(ctx, h)
				if err == nil && status.Revision >= revision {
					results <- result{h.Name, true}
					return
				}
				pause(ctx, confirmTick)
			}
			results <- result{h.Name, false}
		}()
	}
	for range others {
		if r := <-results; !r.ok {
			answer.Outcome = Partly
			answer.Missing = append(answer.Missing, r.name)
		}
	}
	slices.Sort(answer.Missing)
	return answer
}

func (s *Seat) show(ctx context.Context, show *lang.Show) *wire.Answer {
	snap := s.View.Load()
	answer := &wire.Answer{Outcome: Done}
	if snap.Config == nil {
		return answer
	}
	answer.Revision = snap.Config.Revision
	add := func(format string, args ...any) {
		answer.Rows = append(answer.Rows, fmt.Sprintf(format, args...))
	}
	switch show.What {
	case "services":
		for name := range snap.Config.Services {
			add("service %s", name)
		}
	case "pools":
		for name, p := range snap.Config.Pools {
			add("pool %s servers %v", name, p.Servers)
		}
	case "rules":
		for _, r := range snap.Config.Rules {
			add("route service %s team %s to pool %s", r.Service, r.Team, r.Pool)
		}
	case "stops":
		s.showStops(ctx, add)
	}
	slices.Sort(answer.Rows)
	if show.Timeline != nil {
		s.showTimeline(ctx, show.Timeline, add)
	}
	return answer
}

func (s *Seat) showStops(ctx context.Context, add func(string, ...any)) {
	total := map[string]int64{}
	count := func(status *wire.StatusReply) {
		for _, d := range status.Draining {
			total[d.Server] += d.InFlight
		}
	}
	count(s.Mesh.Own())
	silent := 0
	for _, h := range s.Mesh.Others() {
		status, err := s.Mesh.Ask(ctx, h)
		if err != nil {
			silent++
			continue
		}
		count(status)
	}
	for name, n := range total {
		add("stop server %s in-flight %d silent-entries %d safe %v", name, n, silent, n == 0 && silent == 0)
	}
}

func (s *Seat) showTimeline(ctx context.Context, of *lang.Timeline, add func(string, ...any)) {
	request := ""
	if of.Request != nil {
		request = of.Request.Text
	}
	events := s.Trace.Find(request)
	for _, h := range s.Mesh.Others() {
		client, err := s.Mesh.Client(ctx, h)
		if err != nil {
			continue
		}
		reply, err := client.Timeline(ctx, &wire.TimelineAsk{Secret: s.Mesh.Secret, Request: request})
		if err != nil {
			continue
		}
		for _, e := range reply.Events {
			events = append(events, trace.Event{
				Clock: e.Clock, Process: e.Process, Part: e.Part, Request: e.Request, What: e.What,
			})
		}
	}
	trace.Sort(events)
	for _, e := range events {
		at := time.Unix(0, int64(e.Clock)).UTC().Format("15:04:05.000000")
		add("%s %s %s %s %s", at, e.Process, e.Part, e.Request, e.What)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
