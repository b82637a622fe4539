package admin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/drain"
	"fuchsiashelf.dev/parts/wire"
)

// showStops reports for each planned stop whether the server can be stopped
// safely. If an entry host does not answer, the outcome is Partial and no stop is
// safe.
func (s *Server) showStops(ctx context.Context, c *conf.Config, answer *wire.Answer, out *rows) {
	others := s.Mesh.Others()
	replies := s.statuses(ctx, others)
	self := s.View.Load().Self
	replies[self] = s.Mesh.LocalStatus()
	entries := []string{self}
	for _, h := range others {
		entries = append(entries, h.Name)
	}
	if s.View.Load().HostsRevision == 0 {
		answer.Outcome, answer.Message = Partial, hostsUnknown
		entries = nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.Stops)) {
		stop := c.Stops[name]
		outcome := drain.Evaluate(stop.Revision, entries, drainReports(name, replies))
		out.add("stop server %s %s", name, formatStop(stop, outcome))
		if len(outcome.Unresponsive) > 0 {
			answer.Outcome, answer.Missing = Partial, outcome.Unresponsive
		}
	}
}

// drainReports returns the reports of the entry hosts about one server.
func drainReports(server string, replies map[string]*wire.StatusReply) map[string]drain.Report {
	all := map[string]drain.Report{}
	for name, reply := range replies {
		report := drain.Report{}
		for _, d := range reply.Draining {
			if d.Server == server {
				report = drain.Report{Cordoned: true, Revision: d.Revision, InFlight: d.InFlight}
			}
		}
		all[name] = report
	}
	return all
}

// formatStop describes the state of a stop.
func formatStop(stop conf.Stop, o drain.Outcome) string {
	if !stop.Begun(time.Now()) {
		return "begins at " + stop.At.UTC().Format(time.DateTime)
	}
	if o.Safe {
		return "safe"
	}
	var reasons []string
	if o.InFlight > 0 {
		reasons = append(reasons, fmt.Sprintf("%d requests in flight", o.InFlight))
	}
	if len(o.Unresponsive) > 0 {
		reasons = append(reasons, "no answer from "+strings.Join(o.Unresponsive, " "))
	}
	if len(o.Lagging) > 0 {
		reasons = append(reasons, "not in force on "+strings.Join(o.Lagging, " "))
	}
	if len(reasons) == 0 {
		reasons = append(reasons, "entry hosts not known")
	}
	return "not safe: " + strings.Join(reasons, ", ")
}
