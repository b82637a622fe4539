package view

import (
	"maps"
	"time"
)

// sources are the reasons in the order in which they are told: a server that
// several sources take out is listed under the first of them.
var sources = []Reason{HostLeaving, Stopping, Refusing, PeerReported}

// SetCordoned replaces the servers that one source takes out, for use within
// Update. A server stays out until the last source lets it in again: if one
// source could clear what another has set, a server that is leaving would get
// new work as soon as a late host list still calls it live.
func (s *Snapshot) SetCordoned(source Reason, servers map[string]bool) {
	if maps.Equal(s.CordonedBy[source], servers) {
		return
	}
	s.CordonedBy = Edit(s.CordonedBy, func(m map[Reason]map[string]bool) { m[source] = maps.Clone(servers) })
	merged := map[string]Reason{}
	for _, reason := range sources {
		for name := range s.CordonedBy[reason] {
			if _, known := merged[name]; !known {
				merged[name] = reason
			}
		}
	}
	s.Cordoned = merged
}

// Cordon takes one server out for one source, for use within Update.
func (s *Snapshot) Cordon(source Reason, server string) {
	s.SetCordoned(source, Edit(s.CordonedBy[source], func(m map[string]bool) { m[server] = true }))
}

// Uncordon ends what MarkOut began.
func (s *Snapshot) Uncordon(source Reason, server string) {
	s.SetCordoned(source, Edit(s.CordonedBy[source], func(m map[string]bool) { delete(m, server) }))
}

// Suspect has a server avoided until a time, or longer if it is already, for
// use within Update. What is over is dropped, so that the request path looks
// at nothing while all servers are well.
func (s *Snapshot) Suspect(server string, until, now time.Time) {
	if !until.After(s.SuspectedServers[server]) {
		return
	}
	s.SuspectedServers = Edit(s.SuspectedServers, func(m map[string]time.Time) {
		maps.DeleteFunc(m, func(_ string, end time.Time) bool { return !now.Before(end) })
		m[server] = until
	})
}
