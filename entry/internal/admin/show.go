package admin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/lang"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// rows collects the rows of an answer.
type rows []string

func (r *rows) add(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

// show answers a show line from the configuration in force here, and from the
// other entry hosts where it asks about them.
func (s *Server) show(ctx context.Context, show *lang.Show) *wire.Answer {
	if show.Command != nil {
		return s.showCommand(ctx, show.Command.Text)
	}
	snap := s.View.Load()
	answer := &wire.Answer{Outcome: Done, Revision: revisionOf(snap.Config)}
	if age := s.Watch.Staleness(); age > staleAfter {
		answer.Message = fmt.Sprintf("the object API has not answered here for %s", age.Truncate(time.Second))
	}
	c := snap.Config.Clone()
	var out rows
	switch {
	case show.Timeline != nil:
		s.showTimeline(ctx, show.Timeline, &out)
	case show.What == "stops":
		s.showStops(ctx, c, answer, &out)
	case show.What == "entries":
		s.showEntries(ctx, answer, &out)
	case show.What == "lines":
		showLines(c, &out)
	default:
		showResources(c, snap, show.What, &out)
		slices.Sort(out)
	}
	answer.Rows = out
	return answer
}

// staleAfter is how long the object API may leave this entry host unanswered
// before answers carry a warning. A line accepted on another entry host should be
// in force here within this time.
const staleAfter = 4 * time.Second

func showResources(c *conf.Config, snap *view.Snapshot, kind string, out *rows) {
	switch kind {
	case "services":
		for _, s := range c.Services {
			out.add("service %s revision %d", formatService(s), s.Revision)
		}
	case "pools":
		for _, p := range c.Pools {
			model := ""
			if !p.IsPlain() {
				model = fmt.Sprintf(" model %s layers %d", p.Model, p.Layers)
			}
			out.add("pool %s%s servers %s revision %d", p.Name, model, strings.Join(p.Servers, " "), p.Revision)
		}
	case "rules":
		for _, r := range c.Rules {
			team := ""
			if r.Team != "" {
				team = " team " + r.Team
			}
			out.add("rule service %s%s to pool %s revision %d", r.Service, team, r.Pool, r.Revision)
		}
	case "servers":
		showServers(c, snap, out)
	}
}

// formatService describes a service in the words of the command language.
func formatService(s rule.Service) string {
	if !s.IsPlain() {
		return fmt.Sprintf("%s model %s within %s", s.Name, s.Model, s.EffectiveDeadline())
	}
	if s.Retryable {
		return fmt.Sprintf("%s path %s repeat yes within %s", s.Name, s.Path, s.EffectiveDeadline())
	}
	ids, guarded := "needed", "no"
	if s.OptionalID {
		ids = "free"
	}
	if s.Guarded {
		guarded = "yes"
	}
	return fmt.Sprintf("%s path %s repeat no ids %s guarded %s within %s", s.Name, s.Path, ids, guarded, s.EffectiveDeadline())
}

func showServers(c *conf.Config, snap *view.Snapshot, out *rows) {
	poolsOf := map[string][]string{}
	for _, p := range c.Pools {
		for _, name := range p.Servers {
			poolsOf[name] = append(poolsOf[name], p.Name)
		}
	}
	for name, h := range snap.Hosts {
		if h.Role == host.Entry {
			continue
		}
		kind := "plain"
		if h.Role == host.Engine {
			kind = fmt.Sprintf("model %s layers %d to %d", h.Model, h.First, h.End)
		}
		state := "takes work"
		if reason, cordoned := snap.Cordoned[name]; cordoned {
			state = string(reason)
		}
		slices.Sort(poolsOf[name])
		out.add("server %s domain %s %s pools [%s] %s", name, h.Domain, kind, strings.Join(poolsOf[name], " "), state)
	}
}

// maxShownLines bounds the rows of show lines.
const maxShownLines = 20

func showLines(c *conf.Config, out *rows) {
	for _, l := range c.History[max(0, len(c.History)-maxShownLines):] {
		out.add("%s", formatLine(l))
	}
}

// formatLine describes an accepted line.
func formatLine(l conf.Line) string {
	return fmt.Sprintf("line %s revision %d by %s at %s: %s",
		l.ID, l.Revision, l.Operator, l.At.UTC().Format(time.DateTime), l.Text)
}

// showCommand reports the outcome of a line. If the line is not in force here it
// reads the object API, where the line may have been accepted already.
func (s *Server) showCommand(ctx context.Context, id string) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	line, found := s.View.Load().Config.Find(id)
	if !found {
		_, stored, err := s.readConfig(ctx)
		if err != nil {
			return &wire.Answer{Outcome: Unknown, Message: "the object API does not answer: " + err.Error()}
		}
		s.Watch.Apply(stored)
		if line, found = stored.Find(id); !found {
			return &wire.Answer{
				Outcome: Unknown, Revision: stored.Revision,
				Message: "no line with this id is among those accepted lately; sending it again with the same id is safe",
			}
		}
	}
	answer := s.confirm(ctx, line)
	answer.Rows = []string{formatLine(line)}
	return answer
}

// showEntries shows the status of every entry host.
func (s *Server) showEntries(ctx context.Context, answer *wire.Answer, out *rows) {
	others := s.Mesh.Others()
	replies := s.statuses(ctx, others)
	snap := s.View.Load()
	replies[snap.Self] = s.Mesh.LocalStatus()
	all := append(others, host.Host{Name: snap.Self, Domain: snap.Domain})
	for _, h := range all {
		reply := replies[h.Name]
		if reply == nil {
			answer.Outcome = Partial
			answer.Missing = append(answer.Missing, h.Name)
			out.add("entry %s domain %s does not answer", h.Name, h.Domain)
			continue
		}
		out.add("entry %s domain %s revision %d %s", h.Name, h.Domain, reply.Revision, formatStatus(reply))
	}
	slices.Sort(answer.Missing)
	slices.Sort(*out)
}

// formatStatus describes whether an entry host accepts callers, and for how long
// the object API has not answered it.
func formatStatus(reply *wire.StatusReply) string {
	text := "not ready"
	if reply.Ready {
		text = "ready"
	}
	age := time.Duration(reply.AgeMs) * time.Millisecond
	switch {
	case reply.AgeMs < 0:
		text += ", the object API never answered"
	case age > staleAfter:
		text += fmt.Sprintf(", the object API silent for %s", age.Truncate(time.Second))
	}
	return text
}

// showTimeline shows the trace events of all entry hosts in order of time, or
// only those of one request.
func (s *Server) showTimeline(ctx context.Context, timeline *lang.Timeline, out *rows) {
	request := ""
	if timeline.Request != nil {
		request = timeline.Request.Text
	}
	events := s.Trace.Find(request)
	others := s.Mesh.Others()
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	replies := queryAll(ctx, s, others, func(ctx context.Context, h host.Host) (*wire.TimelineReply, error) {
		client, err := s.Mesh.Client(ctx, h)
		if err != nil {
			return nil, err
		}
		return client.Timeline(ctx, &wire.TimelineAsk{Secret: s.Mesh.Secret, Request: request})
	})
	for _, h := range others {
		reply := replies[h.Name]
		if reply == nil {
			out.add("entry %s does not answer", h.Name)
			continue
		}
		for _, event := range reply.Events {
			events = append(events, trace.Event{
				Clock: event.Clock, Process: event.Process, Component: event.Part, Request: event.Request, Message: event.What,
			})
		}
	}
	trace.Sort(events)
	for _, event := range events {
		at := time.Unix(0, int64(event.Clock)).UTC().Format("15:04:05.000000")
		out.add("%s %s %s %s %s", at, event.Process, event.Component, event.Request, event.Message)
	}
}
