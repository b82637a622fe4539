package view

import (
	"maps"
	"time"
)

// cordonPrecedence lists the reasons by precedence: Snapshot.Cordoned holds the
// first of them for a server that several sources have cordoned.
var cordonPrecedence = []Reason{HostLeaving, Stopping, Refusing, PeerReported}

// SetCordoned replaces the set of servers that one source has cordoned, for use
// within Update. A server stays cordoned until no source cordons it: if one
// source could clear what another has set, a leaving server would get new work
// as soon as an outdated host list still showed it as live.
func (s *Snapshot) SetCordoned(source Reason, servers map[string]bool) {
	if maps.Equal(s.CordonedBy[source], servers) {
		return
	}
	s.CordonedBy = Edit(s.CordonedBy, func(m map[Reason]map[string]bool) { m[source] = maps.Clone(servers) })
	merged := map[string]Reason{}
	for _, reason := range cordonPrecedence {
		for name := range s.CordonedBy[reason] {
			if _, exists := merged[name]; !exists {
				merged[name] = reason
			}
		}
	}
	s.Cordoned = merged
}

// Cordon adds a server to the set that one source has cordoned, for use within
// Update.
func (s *Snapshot) Cordon(source Reason, server string) {
	s.SetCordoned(source, Edit(s.CordonedBy[source], func(m map[string]bool) { m[server] = true }))
}

// Uncordon removes a server from the set that one source has cordoned, for use
// within Update.
func (s *Snapshot) Uncordon(source Reason, server string) {
	s.SetCordoned(source, Edit(s.CordonedBy[source], func(m map[string]bool) { delete(m, server) }))
}

// Suspect marks a server as suspected until a time, unless it already is for
// longer, for use within Update. Expired entries are dropped, so that the
// request path finds an empty map while all servers are healthy.
func (s *Snapshot) Suspect(server string, until, now time.Time) {
	if !until.After(s.SuspectedServers[server]) {
		return
	}
	s.SuspectedServers = Edit(s.SuspectedServers, func(m map[string]time.Time) {
		maps.DeleteFunc(m, func(_ string, end time.Time) bool { return !now.Before(end) })
		m[server] = until
	})
}
