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

// rows collects the result of a question, a line each.
type rows []string

func (r *rows) add(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

// show answers a question from the configuration in force here, and from the
// other entry hosts where it is about them.
func (s *Server) show(ctx context.Context, show *lang.Show) *wire.Answer {
	if show.Command != nil {
		return s.showCommand(ctx, show.Command.Text)
	}
	snap := s.View.Load()
	answer := &wire.Answer{Outcome: Done, Revision: revision(snap.Config)}
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
		showThings(c, snap, show.What, &out)
		slices.Sort(out)
	}
	answer.Rows = out
	return answer
}

// staleAfter is when a question is answered with a remark: what is accepted
// elsewhere should have been in force here within this time.
const staleAfter = 4 * time.Second

func showThings(c *conf.Config, snap *view.Snapshot, what string, out *rows) {
	switch what {
	case "services":
		for _, s := range c.Services {
			out.add("service %s revision %d", service(s), s.Revision)
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

// service describes a service in the words of the language.
func service(s rule.Service) string {
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
	in := map[string][]string{}
	for _, p := range c.Pools {
		for _, name := range p.Servers {
			in[name] = append(in[name], p.Name)
		}
	}
	for name, h := range snap.Hosts {
		if h.Role == host.Entry {
			continue
		}
		what := "plain"
		if h.Role == host.Engine {
			what = fmt.Sprintf("model %s layers %d to %d", h.Model, h.First, h.End)
		}
		state := "takes work"
		if reason, gone := snap.Cordoned[name]; gone {
			state = string(reason)
		}
		slices.Sort(in[name])
		out.add("server %s domain %s %s pools [%s] %s", name, h.Domain, what, strings.Join(in[name], " "), state)
	}
}

// maxLines is how many lines are shown.
const maxLines = 20

func showLines(c *conf.Config, out *rows) {
	for _, l := range c.History[max(0, len(c.History)-maxLines):] {
		out.add("%s", record(l))
	}
}

func record(l conf.Line) string {
	return fmt.Sprintf("line %s revision %d by %s at %s: %s",
		l.ID, l.Revision, l.Operator, l.At.UTC().Format(time.DateTime), l.Text)
}

// showCommand tells what became of a line. It asks the object API, since the
// line may have been accepted without having come into force here.
func (s *Server) showCommand(ctx context.Context, id string) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	line, found := s.View.Load().Config.Find(id)
	if !found {
		_, stored, err := s.read(ctx)
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
	answer.Rows = []string{record(line)}
	return answer
}

// showEntries asks every entry host what it has in force.
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
		out.add("entry %s domain %s revision %d %s", h.Name, h.Domain, reply.Revision, condition(reply))
	}
	slices.Sort(answer.Missing)
	slices.Sort(*out)
}

// condition says whether an entry host takes callers, and how long it has
// been cut off from the object API.
func condition(reply *wire.StatusReply) string {
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

func (s *Server) showTimeline(ctx context.Context, of *lang.Timeline, out *rows) {
	request := ""
	if of.Request != nil {
		request = of.Request.Text
	}
	events := s.Trace.Find(request)
	others := s.Mesh.Others()
	ctx, cancel := context.WithTimeout(ctx, surveyWait)
	defer cancel()
	replies := askAll(ctx, s, others, func(ctx context.Context, h host.Host) (*wire.TimelineReply, error) {
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
		for _, e := range reply.Events {
			events = append(events, trace.Event{
				Clock: e.Clock, Process: e.Process, Component: e.Part, Request: e.Request, Message: e.What,
			})
		}
	}
	trace.Sort(events)
	for _, e := range events {
		at := time.Unix(0, int64(e.Clock)).UTC().Format("15:04:05.000000")
		out.add("%s %s %s %s %s", at, e.Process, e.Component, e.Request, e.Message)
	}
}
